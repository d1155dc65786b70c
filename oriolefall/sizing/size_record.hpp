#ifndef ORIOLEFALL_SIZING_SIZE_RECORD_HPP
#define ORIOLEFALL_SIZING_SIZE_RECORD_HPP

#include "oriolefall/sizing/server_pool.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::sizing {

/// What a holder wanted to order, for the next holder.
struct size_record
{
    std::uint64_t fencing_number = 0;
    pool_counts orders = {};
    auto operator<=>(const size_record&) const = default;
};

/// Prints a record as JSON. Thread-safe.
[[nodiscard]] std::string print(const size_record& record);

/// Returns nullopt for text that is no record; skips orders that can't be
/// read. Thread-safe.
[[nodiscard]] std::optional<size_record>
parse_size_record(std::string_view text);

} // namespace oriolefall::sizing

#endif
