#ifndef ORIOLEFALL_SETTINGS_OBJECT_READER_HPP
#define ORIOLEFALL_SETTINGS_OBJECT_READER_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/strong_id.hpp"
#include "oriolefall/settings/endpoint_text.hpp"
#include "oriolefall/settings/json_text.hpp"
#include "oriolefall/settings/setting.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace oriolefall::settings {

/// State shared by the readers of one document.
struct reader_context
{
    /// All faults found so far.
    errors faults;
    /// When set, no values are read: the settings are described here instead.
    std::vector<setting_description>* descriptions = nullptr;
};

/// Reads one JSON object into the members of an aggregate. The same `read`
/// calls parse a value, or describe the settings when the context has
/// `descriptions`, so that the parser and the reference page cannot differ.
/// Faults are collected, never thrown. Not thread-safe.
class object_reader
{
public:
    /// Parses one element of a list of texts; false when it is not valid.
    using text_parser = std::function<bool(const std::string&)>;

    /// `path`: the path of `value`; "" for the whole document.
    object_reader(const nlohmann::json& value, std::string path,
                  reader_context& context);

    void read(const setting_spec& spec, bool& result);
    void read(const setting_spec& spec, double& result, range<double> allowed);
    void read(const setting_spec& spec, absl::Duration& result,
              range<absl::Duration> allowed);
    /// Reads "ADDRESS:PORT" with an IP address.
    void read(const setting_spec& spec, core::endpoint& result);
    void read(const setting_spec& spec, std::optional<core::endpoint>& result);
    /// Reads a secret of at least `min_length` characters. The value is never
    /// shown in faults.
    void read_secret(const setting_spec& spec, std::string& result,
                     std::size_t min_length);
    /// Reads a byte count with its unit.
    void read_bytes(const setting_spec& spec, std::size_t& result,
                    range<std::size_t> allowed);

    template <std::unsigned_integral Number>
        requires(!std::same_as<Number, bool>)
    void read(const setting_spec& spec, Number& result, range<Number> allowed)
    {
        std::uint64_t value = result;
        read_count(spec, value, {allowed.low, allowed.high});
        result = static_cast<Number>(value);
    }

    /// Reads a name of up to 64 letters, digits, '.', '_' and '-'.
    template <class Tag>
    void read(const setting_spec& spec, core::strong_id<Tag>& result)
    {
        std::string name = result.value();
        read_name(spec, name);
        result = core::strong_id<Tag>(std::move(name));
    }

    template <class Tag>
    void read(const setting_spec& spec,
              std::vector<core::strong_id<Tag>>& result)
    {
        std::vector<std::string> names;
        read_names(spec, names);
        for (std::string& name : names)
            result.emplace_back(std::move(name));
    }

    void read_names(const setting_spec& spec, std::vector<std::string>& result);
    void read(const setting_spec& spec, std::vector<core::endpoint>& result);

    /// Reads an enum value; `names` and `values` are in the same order.
    template <class Enum>
    void read(const setting_spec& spec, Enum& result,
              std::span<const std::string_view> names,
              std::span<const Enum> values)
    {
        const auto current = std::ranges::find(values, result) - values.begin();
        const std::size_t chosen =
            read_choice(spec, static_cast<std::size_t>(current), names);
        result = values[chosen];
    }

    /// Reads a nested object.
    void read_object(const setting_spec& spec,
                     const std::function<void(object_reader&)>& fill);

    /// Reads a list of objects; `fill` reads one element.
    template <class Element>
    void read_list(const setting_spec& spec, std::vector<Element>& result,
                   void (*fill)(object_reader&, Element&))
    {
        for_each_object(spec, [&](object_reader& reader) {
            Element element{};
            fill(reader, element);
            result.push_back(std::move(element));
        });
    }

    /// Reports every key that no `read` call named. Must be called last.
    void report_unknown_keys();

private:
    /// Finds the value of a setting, and reports a missing required one.
    [[nodiscard]] const nlohmann::json* find_value(const setting_spec& spec);
    [[nodiscard]] std::string path_of(std::string_view name) const;
    /// Adds a description and returns true when the context has `descriptions`;
    /// returns false otherwise.
    [[nodiscard]] bool describe_if_requested(const setting_spec& spec,
                                             std::string type,
                                             std::string allowed,
                                             std::string default_value);
    void report_fault(std::string path, const nlohmann::json& found,
                      std::string allowed);
    void read_count(const setting_spec& spec, std::uint64_t& result,
                    range<std::uint64_t> allowed);
    void read_name(const setting_spec& spec, std::string& result);
    [[nodiscard]] std::size_t
    read_choice(const setting_spec& spec, std::size_t current,
                std::span<const std::string_view> names);
    void for_each_object(const setting_spec& spec,
                         const std::function<void(object_reader&)>& fill);
    void for_each_text(const setting_spec& spec, const std::string& allowed,
                       const text_parser& parse_text);

    const nlohmann::json& value_;
    std::string path_;
    reader_context& context_;
    std::set<std::string, std::less<>> known_keys_;
};

} // namespace oriolefall::settings

#endif
