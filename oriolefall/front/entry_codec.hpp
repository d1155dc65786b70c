#ifndef ORIOLEFALL_FRONT_ENTRY_CODEC_HPP
#define ORIOLEFALL_FRONT_ENTRY_CODEC_HPP

#include "oriolefall/front/handlers.hpp"

#include <string>

namespace oriolefall::front {

/// Encodes the body of `GET /v1/entry`:
/// {"endpoints":[{"address","port"}],"lifetime_ms"}. Thread-safe.
[[nodiscard]] std::string encode_entry(const entry_answer& answer);

} // namespace oriolefall::front

#endif
