#include "bench/trace_fields.hpp"

#include <limits>

namespace oriolefall::bench {

namespace {
constexpr double most_milliseconds = 1e12;
constexpr double most_count = std::numeric_limits<std::uint32_t>::max();
} // namespace

trace_fields::trace_fields(const nlohmann::json& object, std::string what)
    : object_(object), what_(std::move(what))
{
    if (!object_.is_object())
        fail("must be an object");
}

bool trace_fields::has(const std::string& name) const
{
    return object_.is_object() && object_.contains(name);
}

std::string trace_fields::text(const std::string& name)
{
    const nlohmann::json* value = require(name);
    if (value == nullptr)
        return {};
    if (!value->is_string() || value->get<std::string>().empty()) {
        fail("\"" + name + "\" must be a text that is not empty");
        return {};
    }
    return value->get<std::string>();
}

std::string trace_fields::text_or(const std::string& name,
                                  const std::string& fallback)
{
    return find(name) == nullptr ? fallback : text(name);
}

double trace_fields::number(const std::string& name, double least, double most)
{
    const nlohmann::json* value = require(name);
    if (value == nullptr)
        return least;
    if (!value->is_number()) {
        fail("\"" + name + "\" must be a number");
        return least;
    }
    const auto got = value->get<double>();
    if (got < least || got > most) {
        fail("\"" + name + "\" must be from " + std::to_string(least) + " to " +
             std::to_string(most));
        return least;
    }
    return got;
}

double trace_fields::number_or(const std::string& name, double fallback,
                               double least, double most)
{
    return find(name) == nullptr ? fallback : number(name, least, most);
}

std::uint32_t trace_fields::count(const std::string& name)
{
    const double value = number(name, 0.0, most_count);
    const auto whole = static_cast<std::uint32_t>(value);
    if (static_cast<double>(whole) != value)
        fail("\"" + name + "\" must be a whole number");
    return whole;
}

std::uint32_t trace_fields::count_or(const std::string& name,
                                     std::uint32_t fallback)
{
    return find(name) == nullptr ? fallback : count(name);
}

bool trace_fields::flag_or(const std::string& name, bool fallback)
{
    const nlohmann::json* value = find(name);
    if (value == nullptr)
        return fallback;
    if (!value->is_boolean()) {
        fail("\"" + name + "\" must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

absl::Duration trace_fields::milliseconds(const std::string& name)
{
    return absl::Milliseconds(number(name, 0.0, most_milliseconds));
}

absl::Duration trace_fields::milliseconds_or(const std::string& name,
                                             absl::Duration fallback)
{
    return find(name) == nullptr ? fallback : milliseconds(name);
}

std::vector<std::string> trace_fields::texts(const std::string& name)
{
    std::vector<std::string> all;
    for (const nlohmann::json& entry : list(name)) {
        if (!entry.is_string()) {
            fail("\"" + name + "\" must be a list of texts");
            return {};
        }
        all.push_back(entry.get<std::string>());
    }
    return all;
}

nlohmann::json trace_fields::list(const std::string& name)
{
    const nlohmann::json* value = require(name);
    if (value == nullptr)
        return nlohmann::json::array();
    if (!value->is_array() || value->empty()) {
        fail("\"" + name + "\" must be a list that is not empty");
        return nlohmann::json::array();
    }
    return *value;
}

nlohmann::json trace_fields::object_or_empty(const std::string& name)
{
    const nlohmann::json* value = find(name);
    return value == nullptr ? nlohmann::json::object() : *value;
}

void trace_fields::fail(const std::string& message)
{
    if (error_.empty())
        error_ = what_ + ": " + message;
}

std::string trace_fields::error()
{
    if (!error_.empty())
        return error_;
    for (const auto& [name, value] : object_.items())
        if (!known_.contains(name))
            fail("unknown member \"" + name + "\"");
    return error_;
}

const nlohmann::json* trace_fields::find(const std::string& name)
{
    known_.insert(name);
    return has(name) ? &object_.at(name) : nullptr;
}

const nlohmann::json* trace_fields::require(const std::string& name)
{
    const nlohmann::json* value = find(name);
    if (value == nullptr)
        fail("\"" + name + "\" is missing");
    return value;
}

} // namespace oriolefall::bench
