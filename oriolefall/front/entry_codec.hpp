#ifndef ORIOLEFALL_FRONT_ENTRY_CODEC_HPP
#define ORIOLEFALL_FRONT_ENTRY_CODEC_HPP

#include "oriolefall/front/handlers.hpp"

#include <string>

namespace oriolefall::front {

/// The body of `GET /v1/entry`:
/// {"endpoints":[{"address","port"}],"lifetime_ms"}. Any thread.
[[nodiscard]] std::string encode_entry(const entry_answer& answer);

} // namespace oriolefall::front

#endif
