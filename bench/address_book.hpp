#ifndef ORIOLEFALL_BENCH_ADDRESS_BOOK_HPP
#define ORIOLEFALL_BENCH_ADDRESS_BOOK_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/ids.hpp"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace oriolefall::bench {

/// Addresses that a caller was given, kept for their lifetime as callers do.
/// One thread.
class address_book
{
public:
    /// `first`: instances that may be asked for addresses.
    explicit address_book(std::vector<core::endpoint> first);

    /// Addresses for a workspace, best first. Asks an instance when those
    /// known have expired; gives the first ones when none answers.
    const std::vector<core::endpoint>& find(const core::workspace_id& workspace,
                                            absl::Time now);

private:
    struct entry
    {
        std::vector<core::endpoint> endpoints;
        absl::Time expires = absl::InfinitePast();
    };

    [[nodiscard]] bool refresh(entry& known, const core::endpoint& from,
                               const core::workspace_id& workspace,
                               absl::Time now) const;

    std::vector<core::endpoint> first_;
    std::map<core::workspace_id, entry> entries_;
};

} // namespace oriolefall::bench

#endif
