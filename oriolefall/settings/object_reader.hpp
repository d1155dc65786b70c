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

/// What the readers of one text share.
struct reading
{
    /// Every fault found so far.
    errors faults;
    /// Set: no text is read; each setting is described here instead.
    std::vector<setting_description>* catalogue = nullptr;
};

/// Reads one JSON object into the members of an aggregate. Each `read` names
/// a setting once, so that the parser and the reference page cannot differ:
/// the same calls fill a value, or describe the settings when the `reading`
/// has a catalogue. Faults are gathered, never thrown. One thread.
class object_reader
{
public:
    using text_rule = std::function<bool(const std::string&)>;

    /// `path`: where `value` stands; "" for the whole text.
    object_reader(const nlohmann::json& value, std::string path,
                  reading& shared);

    void read(const setting& what, bool& into);
    void read(const setting& what, double& into, range<double> allowed);
    void read(const setting& what, absl::Duration& into,
              range<absl::Duration> allowed);
    /// "ADDRESS:PORT" with an IP number.
    void read(const setting& what, core::endpoint& into);
    void read(const setting& what, std::optional<core::endpoint>& into);
    /// Text that holds a secret; `least` characters or more. Never printed.
    void read_secret(const setting& what, std::string& into, std::size_t least);
    /// A count of bytes with its unit.
    void read_bytes(const setting& what, std::size_t& into,
                    range<std::size_t> allowed);

    template <std::unsigned_integral Number>
        requires(!std::same_as<Number, bool>)
    void read(const setting& what, Number& into, range<Number> allowed)
    {
        std::uint64_t value = into;
        read_count(what, value, {allowed.low, allowed.high});
        into = static_cast<Number>(value);
    }

    /// A name of letters, digits, '.', '_' and '-', 64 at most.
    template <class Tag>
    void read(const setting& what, core::strong_id<Tag>& into)
    {
        std::string name = into.value();
        read_name(what, name);
        into = core::strong_id<Tag>(std::move(name));
    }

    template <class Tag>
    void read(const setting& what, std::vector<core::strong_id<Tag>>& into)
    {
        std::vector<std::string> names;
        read_names(what, names);
        for (std::string& name : names)
            into.emplace_back(std::move(name));
    }

    void read_names(const setting& what, std::vector<std::string>& into);
    void read(const setting& what, std::vector<core::endpoint>& into);

    /// One of a few words; `names` and `values` are in the same order.
    template <class Enum>
    void read(const setting& what, Enum& into,
              std::span<const std::string_view> names,
              std::span<const Enum> values)
    {
        const auto now = std::ranges::find(values, into) - values.begin();
        const std::size_t chosen =
            read_choice(what, static_cast<std::size_t>(now), names);
        into = values[chosen];
    }

    /// An object inside this one.
    void read_object(const setting& what,
                     const std::function<void(object_reader&)>& fill);

    /// A list of objects, each read by `fill`.
    template <class Element>
    void read_list(const setting& what, std::vector<Element>& into,
                   void (*fill)(object_reader&, Element&))
    {
        each_object(what, [&](object_reader& reader) {
            Element element{};
            fill(reader, element);
            into.push_back(std::move(element));
        });
    }

    /// Notes every key that no `read` named. To be called last.
    void refuse_unknown_keys();

private:
    [[nodiscard]] const nlohmann::json* take(const setting& what);
    [[nodiscard]] std::string path_of(std::string_view name) const;
    [[nodiscard]] bool describing(const setting& what, std::string type,
                                  std::string allowed, std::string fallback);
    void fault(std::string path, const nlohmann::json& found,
               std::string allowed);
    void read_count(const setting& what, std::uint64_t& into,
                    range<std::uint64_t> allowed);
    void read_name(const setting& what, std::string& into);
    [[nodiscard]] std::size_t
    read_choice(const setting& what, std::size_t now,
                std::span<const std::string_view> names);
    void each_object(const setting& what,
                     const std::function<void(object_reader&)>& fill);
    void each_text(const setting& what, const std::string& allowed,
                   const text_rule& take_text);

    const nlohmann::json& value_;
    std::string path_;
    reading& shared_;
    std::set<std::string, std::less<>> named_;
};

} // namespace oriolefall::settings

#endif
