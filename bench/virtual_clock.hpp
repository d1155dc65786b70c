#ifndef ORIOLEFALL_BENCH_VIRTUAL_CLOCK_HPP
#define ORIOLEFALL_BENCH_VIRTUAL_CLOCK_HPP

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace oriolefall::bench {

/// Runs tasks in the order of their virtual times; tasks of one time run in
/// the order in which they were added.
class virtual_clock
{
public:
    using task = std::function<void()>;

    [[nodiscard]] absl::Time now() const
    {
        return now_;
    }

    /// Runs `what` at `when`, or at once when that has passed.
    void at(absl::Time when, task what)
    {
        if (when < absl::InfiniteFuture())
            tasks_.push(entry{std::max(when, now_), next_++, std::move(what)});
    }

    /// Runs tasks until none is left or `end` has passed.
    void run_until(absl::Time end)
    {
        while (!tasks_.empty() && tasks_.top().when <= end) {
            const entry next = tasks_.top();
            tasks_.pop();
            now_ = next.when;
            next.what();
        }
    }

private:
    struct entry
    {
        absl::Time when;
        std::uint64_t number;
        task what;
        bool operator>(const entry& other) const
        {
            return std::pair(when, number) >
                   std::pair(other.when, other.number);
        }
    };

    absl::Time now_ = absl::UnixEpoch();
    std::uint64_t next_ = 0;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> tasks_;
};

} // namespace oriolefall::bench

#endif
