#ifndef ORIOLEFALL_STAND_INS_OBJECT_STORE_HPP
#define ORIOLEFALL_STAND_INS_OBJECT_STORE_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace oriolefall::stand_ins {

/// One version of an object.
struct object_version
{
    std::string path;
    std::uint64_t version = 0;
    /// JSON text; nothing when this version is a deletion.
    std::optional<std::string> value;
    std::strong_ordering operator<=>(const object_version&) const = default;
};

/// What must hold for a write to take effect.
struct write_condition
{
    /// The object has this version.
    std::optional<std::uint64_t> version;
    /// There is no such object.
    bool absent = false;
    std::strong_ordering operator<=>(const write_condition&) const = default;
};

struct write_done
{
    std::uint64_t version = 0;
    std::strong_ordering operator<=>(const write_done&) const = default;
};

/// The condition did not hold; the object has this version, 0 when absent.
struct write_conflict
{
    std::uint64_t current = 0;
    std::strong_ordering operator<=>(const write_conflict&) const = default;
};

using write_result = std::variant<write_done, write_conflict>;

/// Whether a read gives the newest version or the one before it.
enum class freshness
{
    newest,
    previous
};

/// Versioned objects under paths, with the latest changes. One thread.
class object_store
{
public:
    /// `history`: changes that a watch can still be told.
    explicit object_store(std::size_t history) : history_(history) {}

    /// A value of nothing deletes the object.
    write_result write(const std::string& path,
                       std::optional<std::string> value,
                       const write_condition& condition);
    [[nodiscard]] std::optional<object_version> read(const std::string& path,
                                                     freshness wanted) const;
    [[nodiscard]] std::vector<object_version> list(std::string_view prefix,
                                                   freshness wanted) const;
    /// Changes after `revision` in order; nothing when it is too old.
    [[nodiscard]] std::optional<std::vector<object_version>>
    changes_since(std::string_view prefix, std::uint64_t revision) const;
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }

private:
    struct record
    {
        object_version newest;
        object_version previous;
    };

    [[nodiscard]] std::uint64_t current_version(const std::string& path) const;

    std::size_t history_;
    std::uint64_t revision_ = 0;
    /// Changes up to this revision are no longer known.
    std::uint64_t forgotten_ = 0;
    std::map<std::string, record, std::less<>> records_;
    std::deque<object_version> changes_;
};

} // namespace oriolefall::stand_ins

#endif
