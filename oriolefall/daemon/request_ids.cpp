#include "oriolefall/daemon/request_ids.hpp"

#include <absl/random/random.h>

namespace oriolefall::daemon {

namespace {

constexpr unsigned block_bits = 27;
constexpr unsigned counter_bits = 25;

std::uint64_t random_block()
{
    absl::BitGen random;
    const auto block =
        absl::Uniform<std::uint64_t>(random, 0, 1ULL << block_bits);
    return block << counter_bits;
}

} // namespace

request_ids::request_ids() : next_id_(random_block() + 1) {}

core::request_id request_ids::next()
{
    return core::request_id(next_id_++);
}

} // namespace oriolefall::daemon
