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

/// Retains the decision steps of the most recent requests. Not thread-safe.
class explanation_log
{
public:
    /// `capacity`: maximum number of requests; the oldest is evicted first.
    explicit explanation_log(std::size_t capacity);

    void add(const decision_step& step);
    void add(const request_finished& end);

    /// Returns JSON text with the steps and the end of a request, or an empty
    /// string if the request is unknown.
    [[nodiscard]] std::string explain(core::request_id request) const;

private:
    struct entry
    {
        std::vector<decision_step> steps;
        std::optional<request_finished> end;
    };

    entry& entry_of(core::request_id request);

    std::size_t capacity_;
    std::deque<core::request_id> insertion_order_;
    absl::flat_hash_map<core::request_id, entry> entries_;
};

} // namespace oriolefall::observe

#endif
