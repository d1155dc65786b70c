#include "oriolefall/settings/object_reader.hpp"

#include "oriolefall/core/concat.hpp"
#include "oriolefall/settings/units.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace oriolefall::settings {

namespace {

constexpr std::size_t longest_name = 64;
constexpr std::size_t longest_found_text = 60;
constexpr std::string_view name_rule =
    "1 to 64 letters, digits, '.', '_' and '-'";
constexpr std::string_view endpoint_rule = "an IP number and a port, such as "
                                           "\"127.0.0.1:8080\"";

std::string show(const nlohmann::json& value)
{
    std::string text =
        value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > longest_found_text)
        text = core::concat(text.substr(0, longest_found_text), "...");
    return text;
}

bool is_name(const std::string& text)
{
    return !text.empty() && text.size() <= longest_name &&
           std::ranges::all_of(text, [](unsigned char c) {
               return absl::ascii_isalnum(c) || c == '.' || c == '_' ||
                      c == '-';
           });
}

template <class List>
std::string join(const List& words)
{
    std::string text;
    for (const std::string_view word : words)
        text += core::concat(text.empty() ? "" : ", ", word);
    return text;
}

template <class T, class Print>
std::string show_range(const range<T>& allowed, Print print)
{
    return core::concat(print(allowed.low), " to ", print(allowed.high));
}

template <class T>
bool inside(const range<T>& allowed, T value)
{
    return allowed.low <= value && value <= allowed.high;
}

std::string show_number(double value)
{
    return core::concat(value);
}

std::string show_count(std::uint64_t value)
{
    return core::concat(value);
}

} // namespace

object_reader::object_reader(const nlohmann::json& value, std::string path,
                             reading& shared)
    : value_(value), path_(std::move(path)), shared_(shared)
{
    if (!value_.is_object())
        fault(path_.empty() ? "/" : path_, value_, "an object");
}

void object_reader::read(const setting& what, bool& into)
{
    if (describing(what, "boolean", "true or false", into ? "true" : "false"))
        return;
    const nlohmann::json* found = take(what);
    if (found == nullptr)
        return;
    if (!found->is_boolean())
        return fault(path_of(what.name), *found, "true or false");
    into = found->get<bool>();
}

void object_reader::read(const setting& what, double& into,
                         range<double> allowed)
{
    const std::string rule = show_range(allowed, show_number);
    if (describing(what, "number", rule, show_number(into)))
        return;
    const nlohmann::json* found = take(what);
    if (found == nullptr)
        return;
    if (!found->is_number() || !inside(allowed, found->get<double>()))
        return fault(path_of(what.name), *found,
                     core::concat("a number, ", rule));
    into = found->get<double>();
}

void object_reader::read(const setting& what, absl::Duration& into,
                         range<absl::Duration> allowed)
{
    const std::string rule = show_range(allowed, print_duration);
    const bool unlimited = into == absl::InfiniteDuration();
    if (describing(what, "duration", rule,
                   unlimited ? "none" : print_duration(into)))
        return;
    const nlohmann::json* found = take(what);
    if (found == nullptr)
        return;
    const auto value = found->is_string()
                           ? parse_duration(found->get<std::string>())
                           : std::nullopt;
    if (!value || !inside(allowed, *value))
        return fault(
            path_of(what.name), *found,
            core::concat("a duration with its unit (ms, s, m, h), ", rule));
    into = *value;
}

void object_reader::read(const setting& what, core::endpoint& into)
{
    if (describing(what, "endpoint", std::string(endpoint_rule),
                   print_endpoint(into)))
        return;
    const nlohmann::json* found = take(what);
    if (found == nullptr)
        return;
    const auto value = found->is_string()
                           ? parse_endpoint(found->get<std::string>())
                           : std::nullopt;
    if (!value)
        return fault(path_of(what.name), *found, std::string(endpoint_rule));
    into = *value;
}

void object_reader::read(const setting& what,
                         std::optional<core::endpoint>& into)
{
    core::endpoint value;
    if (describing(what, "endpoint", std::string(endpoint_rule), "none"))
        return;
    if (!value_.is_object() || !value_.contains(what.name))
        return;
    const std::size_t faults = shared_.faults.size();
    read(what, value);
    if (shared_.faults.size() == faults)
        into = value;
}

void object_reader::read_secret(const setting& what, std::string& into,
                                std::size_t least)
{
    const std::string rule = core::concat(least, " characters or more");
    if (describing(what, "text", rule, "none"))
        return;
    const nlohmann::json* found = take(what);
    if (found == nullptr)
        return;
    if (!found->is_string() || found->get<std::string>().size() < least)
        return fault(path_of(what.name), "(not shown)", rule);
    into = found->get<std::string>();
}

void object_reader::read_bytes(const setting& what, std::size_t& into,
                               range<std::size_t> allowed)
{
    const std::string rule = show_range(allowed, print_bytes);
    if (describing(what, "size", rule, print_bytes(into)))
        return;
    const nlohmann::json* found = take(what);
    if (found == nullptr)
        return;
    const auto value = found->is_string()
                           ? parse_bytes(found->get<std::string>())
                           : std::nullopt;
    if (!value || !inside<std::size_t>(allowed, *value))
        return fault(
            path_of(what.name), *found,
            core::concat("a size with its unit (B, KiB, MiB, GiB), ", rule));
    into = *value;
}

void object_reader::read_names(const setting& what,
                               std::vector<std::string>& into)
{
    const std::string rule = core::concat("names of ", name_rule);
    each_text(what, rule, [&](const std::string& text) {
        into.push_back(text);
        return is_name(text);
    });
}

void object_reader::read(const setting& what, std::vector<core::endpoint>& into)
{
    each_text(what, std::string(endpoint_rule), [&](const std::string& text) {
        const auto value = parse_endpoint(text);
        if (value)
            into.push_back(*value);
        return value.has_value();
    });
}

void object_reader::read_object(const setting& what,
                                const std::function<void(object_reader&)>& fill)
{
    static const nlohmann::json nothing = nlohmann::json::object();
    const nlohmann::json* found =
        shared_.catalogue != nullptr ? nullptr : take(what);
    object_reader inner(found != nullptr ? *found : nothing, path_of(what.name),
                        shared_);
    fill(inner);
    inner.refuse_unknown_keys();
}

void object_reader::refuse_unknown_keys()
{
    if (!value_.is_object() || shared_.catalogue != nullptr)
        return;
    for (const auto& [key, value] : value_.items()) {
        if (!named_.contains(key))
            fault(path_of(key), value, core::concat("one of: ", join(named_)));
    }
}

const nlohmann::json* object_reader::take(const setting& what)
{
    named_.emplace(what.name);
    if (!value_.is_object())
        return nullptr;
    const auto found = value_.find(what.name);
    if (found != value_.end())
        return &*found;
    if (what.required)
        shared_.faults.push_back(
            {path_of(what.name), "nothing", "a value: it is required"});
    return nullptr;
}

std::string object_reader::path_of(std::string_view name) const
{
    return core::concat(path_, "/", name);
}

bool object_reader::describing(const setting& what, std::string type,
                               std::string allowed, std::string fallback)
{
    if (shared_.catalogue == nullptr)
        return false;
    shared_.catalogue->push_back(
        {path_of(what.name), std::move(type), std::move(allowed),
         what.required ? "required" : std::move(fallback),
         std::string(what.purpose)});
    return true;
}

void object_reader::fault(std::string path, const nlohmann::json& found,
                          std::string allowed)
{
    shared_.faults.push_back(
        {std::move(path), show(found), std::move(allowed)});
}

void object_reader::read_count(const setting& what, std::uint64_t& into,
                               range<std::uint64_t> allowed)
{
    const std::string rule = show_range(allowed, show_count);
    if (describing(what, "count", rule, show_count(into)))
        return;
    const nlohmann::json* found = take(what);
    if (found == nullptr)
        return;
    if (!found->is_number_unsigned() ||
        !inside(allowed, found->get<std::uint64_t>()))
        return fault(path_of(what.name), *found,
                     core::concat("a whole number, ", rule));
    into = found->get<std::uint64_t>();
}

void object_reader::read_name(const setting& what, std::string& into)
{
    if (describing(what, "name", std::string(name_rule),
                   into.empty() ? "none" : into))
        return;
    const nlohmann::json* found = take(what);
    if (found == nullptr)
        return;
    if (!found->is_string() || !is_name(found->get<std::string>()))
        return fault(path_of(what.name), *found, std::string(name_rule));
    into = found->get<std::string>();
}

std::size_t object_reader::read_choice(const setting& what, std::size_t now,
                                       std::span<const std::string_view> names)
{
    const std::string rule = join(names);
    if (describing(what, "word", rule, std::string(names[now])))
        return now;
    const nlohmann::json* found = take(what);
    if (found == nullptr)
        return now;
    const std::string text =
        found->is_string() ? found->get<std::string>() : std::string();
    const auto chosen = std::ranges::find(names, text);
    if (chosen == names.end()) {
        fault(path_of(what.name), *found, core::concat("one of: ", rule));
        return now;
    }
    return static_cast<std::size_t>(chosen - names.begin());
}

void object_reader::each_object(const setting& what,
                                const std::function<void(object_reader&)>& fill)
{
    static const nlohmann::json nothing = nlohmann::json::object();
    if (describing(what, "list", "objects", "empty")) {
        object_reader element(nothing, path_of(what.name) + "/*", shared_);
        return fill(element);
    }
    const nlohmann::json* found = take(what);
    if (found == nullptr)
        return;
    if (!found->is_array())
        return fault(path_of(what.name), *found, "a list of objects");
    for (std::size_t i = 0; i < found->size(); ++i) {
        object_reader element(
            found->at(i), core::concat(path_of(what.name), "/", i), shared_);
        fill(element);
        element.refuse_unknown_keys();
    }
}

void object_reader::each_text(const setting& what, const std::string& allowed,
                              const text_rule& take_text)
{
    if (describing(what, "list", allowed, "empty"))
        return;
    const nlohmann::json* found = take(what);
    if (found == nullptr)
        return;
    if (!found->is_array())
        return fault(path_of(what.name), *found,
                     core::concat("a list: ", allowed));
    for (std::size_t i = 0; i < found->size(); ++i) {
        const nlohmann::json& item = found->at(i);
        if (!item.is_string() || !take_text(item.get<std::string>()))
            fault(core::concat(path_of(what.name), "/", i), item, allowed);
    }
}

} // namespace oriolefall::settings
