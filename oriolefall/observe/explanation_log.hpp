#ifndef ORIOLEFALL_OBSERVE_EXPLANATION_LOG_HPP
#define ORIOLEFALL_OBSERVE_EXPLANATION_LOG_HPP

#include "oriolefall/observe/record.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::observe {

/// Keeps the decision steps of the latest requests. One thread at a time.
class explanation_log
{
public:
    /// `capacity`: requests kept; the oldest goes first.
    explicit explanation_log(std::size_t capacity);

    void add(const decision_step& step);
    void add(const request_finished& end);

    /// JSON text with the steps of a request and its end; empty when it is
    /// not known.
    [[nodiscard]] std::string explain(core::request_id request) const;

private:
    struct entry
    {
        std::vector<decision_step> steps;
        std::optional<request_finished> end;
    };

    entry& entry_of(core::request_id request);

    std::size_t capacity_;
    std::deque<core::request_id> order_;
    absl::flat_hash_map<core::request_id, entry> entries_;
};

} // namespace oriolefall::observe

#endif
