#include "oriolefall/front/connection_pool.hpp"

#include <system_error>
#include <utility>

namespace oriolefall::front {

namespace {

/// Stack size of a worker thread, in bytes: enough for the recursion of the
/// regular expressions by which the library matches the longest path allowed.
constexpr std::size_t worker_stack_bytes = 1024UL * 1024;

} // namespace

connection_pool::connection_pool(std::size_t max_regular,
                                 std::size_t max_overflow, serve_hook serve)
    : max_regular_(max_regular), max_overflow_(max_overflow),
      serve_(std::move(serve)), accepted_(max_regular + max_overflow)
{
}

connection_pool::~connection_pool()
{
    finish();
}

bool connection_pool::submit(int descriptor)
{
    const std::size_t open_count = open_count_.load();
    if (open_count >= max_regular_ + max_overflow_ ||
        !ensure_workers(open_count + 1))
        return false;
    const auto kind = open_count < max_regular_ ? connection_kind::regular
                                                : connection_kind::overflow;
    ++open_count_;
    if (accepted_.try_push({descriptor, kind}))
        return true;
    --open_count_;
    return false;
}

void connection_pool::finish()
{
    accepted_.close();
    workers_.clear();
}

bool connection_pool::ensure_workers(std::size_t count)
{
    if (workers_.size() >= count)
        return true;
    try {
        workers_.emplace_back(
            "caller", [this] { run_worker(); }, worker_stack_bytes);
        return true;
    } catch (const std::system_error&) {
        return false;
    }
}

void connection_pool::run_worker()
{
    while (const auto accepted = accepted_.pop()) {
        serve_(*accepted);
        --open_count_;
    }
}

} // namespace oriolefall::front
