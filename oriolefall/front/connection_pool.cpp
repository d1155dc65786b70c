#include "oriolefall/front/connection_pool.hpp"

#include <system_error>
#include <utility>

namespace oriolefall::front {

namespace {

/// Stack of a worker: enough for the regular expressions by which the library
/// matches the longest path that it is given. Bytes.
constexpr std::size_t worker_stack_bytes = 1024UL * 1024;

} // namespace

connection_pool::connection_pool(std::size_t regular, std::size_t reserved,
                                 serve_hook serve)
    : regular_(regular), reserved_(reserved), serve_(std::move(serve)),
      waiting_(regular + reserved)
{
}

connection_pool::~connection_pool()
{
    finish();
}

bool connection_pool::submit(int descriptor)
{
    const std::size_t open = open_.load();
    if (open >= regular_ + reserved_ || !ensure_workers(open + 1))
        return false;
    const auto kind =
        open < regular_ ? connection_kind::regular : connection_kind::overflow;
    ++open_;
    if (waiting_.try_push({descriptor, kind}))
        return true;
    --open_;
    return false;
}

void connection_pool::finish()
{
    waiting_.close();
    workers_.clear();
}

bool connection_pool::ensure_workers(std::size_t wanted)
{
    if (workers_.size() >= wanted)
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
    while (const auto accepted = waiting_.pop()) {
        serve_(*accepted);
        --open_;
    }
}

} // namespace oriolefall::front
