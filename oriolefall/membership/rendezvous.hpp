#ifndef ORIOLEFALL_MEMBERSHIP_RENDEZVOUS_HPP
#define ORIOLEFALL_MEMBERSHIP_RENDEZVOUS_HPP

#include <cstdint>
#include <string_view>

namespace oriolefall::membership {

/// Weight of `candidate` for `key`; the candidate with the highest weight is
/// chosen. The value is the same in every process, so all instances make the
/// same choice. Rendezvous hashing (Thaler and Ravishankar, IEEE/ACM Trans.
/// Networking 6(1), 1998) over XXH3.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key,
                                              std::string_view candidate);

} // namespace oriolefall::membership

#endif
