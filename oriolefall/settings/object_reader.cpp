#include "oriolefall/settings/object_reader.hpp"

#include "oriolefall/core/concat.hpp"
#include "oriolefall/settings/units.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace oriolefall::settings {

namespace {

constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_found_length = 60;
constexpr std::string_view name_format =
    "1 to 64 letters, digits, '.', '_' and '-'";
constexpr std::string_view endpoint_format = "an IP number and a port, such as "
                                             "\"127.0.0.1:8080\"";

std::string format_json(const nlohmann::json& value)
{
    std::string text =
        value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > max_found_length)
        text = core::concat(text.substr(0, max_found_length), "...");
    return text;
}

bool is_name(const std::string& text)
{
    return !text.empty() && text.size() <= max_name_length &&
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

template <class T, class Format>
std::string format_range(const range<T>& allowed, Format format)
{
    return core::concat(format(allowed.low), " to ", format(allowed.high));
}

template <class T>
bool is_in_range(const range<T>& allowed, T value)
{
    return allowed.low <= value && value <= allowed.high;
}

std::string format_number(double value)
{
    return core::concat(value);
}

std::string format_count(std::uint64_t value)
{
    return core::concat(value);
}

} // namespace

object_reader::object_reader(const nlohmann::json& value, std::string path,
                             reader_context& context)
    : value_(value), path_(std::move(path)), context_(context)
{
    if (!value_.is_object())
        report_fault(path_.empty() ? "/" : path_, value_, "an object");
}

void object_reader::read(const setting_spec& spec, bool& result)
{
    if (describe_if_requested(spec, "boolean", "true or false",
                              result ? "true" : "false"))
        return;
    const nlohmann::json* found = find_value(spec);
    if (found == nullptr)
        return;
    if (!found->is_boolean())
        return report_fault(path_of(spec.name), *found, "true or false");
    result = found->get<bool>();
}

void object_reader::read(const setting_spec& spec, double& result,
                         range<double> allowed)
{
    const std::string allowed_text = format_range(allowed, format_number);
    if (describe_if_requested(spec, "number", allowed_text,
                              format_number(result)))
        return;
    const nlohmann::json* found = find_value(spec);
    if (found == nullptr)
        return;
    if (!found->is_number() || !is_in_range(allowed, found->get<double>()))
        return report_fault(path_of(spec.name), *found,
                            core::concat("a number, ", allowed_text));
    result = found->get<double>();
}

void object_reader::read(const setting_spec& spec, absl::Duration& result,
                         range<absl::Duration> allowed)
{
    const std::string allowed_text = format_range(allowed, format_duration);
    const bool is_unlimited = result == absl::InfiniteDuration();
    if (describe_if_requested(spec, "duration", allowed_text,
                              is_unlimited ? "none" : format_duration(result)))
        return;
    const nlohmann::json* found = find_value(spec);
    if (found == nullptr)
        return;
    const auto value = found->is_string()
                           ? parse_duration(found->get<std::string>())
                           : std::nullopt;
    if (!value || !is_in_range(allowed, *value))
        return report_fault(
            path_of(spec.name), *found,
            core::concat("a duration with its unit (ms, s, m, h), ",
                         allowed_text));
    result = *value;
}

void object_reader::read(const setting_spec& spec, core::endpoint& result)
{
    if (describe_if_requested(spec, "endpoint", std::string(endpoint_format),
                              format_endpoint(result)))
        return;
    const nlohmann::json* found = find_value(spec);
    if (found == nullptr)
        return;
    const auto value = found->is_string()
                           ? parse_endpoint(found->get<std::string>())
                           : std::nullopt;
    if (!value)
        return report_fault(path_of(spec.name), *found,
                            std::string(endpoint_format));
    result = *value;
}

void object_reader::read(const setting_spec& spec,
                         std::optional<core::endpoint>& result)
{
    core::endpoint value;
    if (describe_if_requested(spec, "endpoint", std::string(endpoint_format),
                              "none"))
        return;
    if (!value_.is_object() || !value_.contains(spec.name))
        return;
    const std::size_t fault_count = context_.faults.size();
    read(spec, value);
    if (context_.faults.size() == fault_count)
        result = value;
}

void object_reader::read_secret(const setting_spec& spec, std::string& result,
                                std::size_t min_length)
{
    const std::string allowed_text =
        core::concat(min_length, " characters or more");
    if (describe_if_requested(spec, "text", allowed_text, "none"))
        return;
    const nlohmann::json* found = find_value(spec);
    if (found == nullptr)
        return;
    if (!found->is_string() || found->get<std::string>().size() < min_length)
        return report_fault(path_of(spec.name), "(not shown)", allowed_text);
    result = found->get<std::string>();
}

void object_reader::read_bytes(const setting_spec& spec, std::size_t& result,
                               range<std::size_t> allowed)
{
    const std::string allowed_text = format_range(allowed, format_bytes);
    if (describe_if_requested(spec, "size", allowed_text, format_bytes(result)))
        return;
    const nlohmann::json* found = find_value(spec);
    if (found == nullptr)
        return;
    const auto value = found->is_string()
                           ? parse_bytes(found->get<std::string>())
                           : std::nullopt;
    if (!value || !is_in_range<std::size_t>(allowed, *value))
        return report_fault(
            path_of(spec.name), *found,
            core::concat("a size with its unit (B, KiB, MiB, GiB), ",
                         allowed_text));
    result = *value;
}

void object_reader::read_names(const setting_spec& spec,
                               std::vector<std::string>& result)
{
    const std::string allowed_text = core::concat("names of ", name_format);
    for_each_text(spec, allowed_text, [&](const std::string& text) {
        result.push_back(text);
        return is_name(text);
    });
}

void object_reader::read(const setting_spec& spec,
                         std::vector<core::endpoint>& result)
{
    for_each_text(spec, std::string(endpoint_format),
                  [&](const std::string& text) {
                      const auto value = parse_endpoint(text);
                      if (value)
                          result.push_back(*value);
                      return value.has_value();
                  });
}

void object_reader::read_object(const setting_spec& spec,
                                const std::function<void(object_reader&)>& fill)
{
    static const nlohmann::json empty_object = nlohmann::json::object();
    const nlohmann::json* found =
        context_.descriptions != nullptr ? nullptr : find_value(spec);
    object_reader inner(found != nullptr ? *found : empty_object,
                        path_of(spec.name), context_);
    fill(inner);
    inner.report_unknown_keys();
}

void object_reader::report_unknown_keys()
{
    if (!value_.is_object() || context_.descriptions != nullptr)
        return;
    for (const auto& [key, value] : value_.items()) {
        if (!known_keys_.contains(key))
            report_fault(path_of(key), value,
                         core::concat("one of: ", join(known_keys_)));
    }
}

const nlohmann::json* object_reader::find_value(const setting_spec& spec)
{
    known_keys_.emplace(spec.name);
    if (!value_.is_object())
        return nullptr;
    const auto found = value_.find(spec.name);
    if (found != value_.end())
        return &*found;
    if (spec.is_required)
        context_.faults.push_back(
            {path_of(spec.name), "nothing", "a value: it is required"});
    return nullptr;
}

std::string object_reader::path_of(std::string_view name) const
{
    return core::concat(path_, "/", name);
}

bool object_reader::describe_if_requested(const setting_spec& spec,
                                          std::string type, std::string allowed,
                                          std::string default_value)
{
    if (context_.descriptions == nullptr)
        return false;
    context_.descriptions->push_back(
        {path_of(spec.name), std::move(type), std::move(allowed),
         spec.is_required ? "required" : std::move(default_value),
         std::string(spec.purpose)});
    return true;
}

void object_reader::report_fault(std::string path, const nlohmann::json& found,
                                 std::string allowed)
{
    context_.faults.push_back(
        {std::move(path), format_json(found), std::move(allowed)});
}

void object_reader::read_count(const setting_spec& spec, std::uint64_t& result,
                               range<std::uint64_t> allowed)
{
    const std::string allowed_text = format_range(allowed, format_count);
    if (describe_if_requested(spec, "count", allowed_text,
                              format_count(result)))
        return;
    const nlohmann::json* found = find_value(spec);
    if (found == nullptr)
        return;
    if (!found->is_number_unsigned() ||
        !is_in_range(allowed, found->get<std::uint64_t>()))
        return report_fault(path_of(spec.name), *found,
                            core::concat("a whole number, ", allowed_text));
    result = found->get<std::uint64_t>();
}

void object_reader::read_name(const setting_spec& spec, std::string& result)
{
    if (describe_if_requested(spec, "name", std::string(name_format),
                              result.empty() ? "none" : result))
        return;
    const nlohmann::json* found = find_value(spec);
    if (found == nullptr)
        return;
    if (!found->is_string() || !is_name(found->get<std::string>()))
        return report_fault(path_of(spec.name), *found,
                            std::string(name_format));
    result = found->get<std::string>();
}

std::size_t object_reader::read_choice(const setting_spec& spec,
                                       std::size_t current,
                                       std::span<const std::string_view> names)
{
    const std::string allowed_text = join(names);
    if (describe_if_requested(spec, "word", allowed_text,
                              std::string(names[current])))
        return current;
    const nlohmann::json* found = find_value(spec);
    if (found == nullptr)
        return current;
    const std::string text =
        found->is_string() ? found->get<std::string>() : std::string();
    const auto chosen = std::ranges::find(names, text);
    if (chosen == names.end()) {
        report_fault(path_of(spec.name), *found,
                     core::concat("one of: ", allowed_text));
        return current;
    }
    return static_cast<std::size_t>(chosen - names.begin());
}

void object_reader::for_each_object(
    const setting_spec& spec, const std::function<void(object_reader&)>& fill)
{
    static const nlohmann::json empty_object = nlohmann::json::object();
    if (describe_if_requested(spec, "list", "objects", "empty")) {
        object_reader element(empty_object, path_of(spec.name) + "/*",
                              context_);
        return fill(element);
    }
    const nlohmann::json* found = find_value(spec);
    if (found == nullptr)
        return;
    if (!found->is_array())
        return report_fault(path_of(spec.name), *found, "a list of objects");
    for (std::size_t i = 0; i < found->size(); ++i) {
        object_reader element(
            found->at(i), core::concat(path_of(spec.name), "/", i), context_);
        fill(element);
        element.report_unknown_keys();
    }
}

void object_reader::for_each_text(const setting_spec& spec,
                                  const std::string& allowed,
                                  const text_parser& parse_text)
{
    if (describe_if_requested(spec, "list", allowed, "empty"))
        return;
    const nlohmann::json* found = find_value(spec);
    if (found == nullptr)
        return;
    if (!found->is_array())
        return report_fault(path_of(spec.name), *found,
                            core::concat("a list: ", allowed));
    for (std::size_t i = 0; i < found->size(); ++i) {
        const nlohmann::json& item = found->at(i);
        if (!item.is_string() || !parse_text(item.get<std::string>()))
            report_fault(core::concat(path_of(spec.name), "/", i), item,
                         allowed);
    }
}

} // namespace oriolefall::settings
