#ifndef ORIOLEFALL_CORE_IDS_HPP
#define ORIOLEFALL_CORE_IDS_HPP

#include "oriolefall/core/strong_id.hpp"

namespace oriolefall::core {

/// A request accepted by this instance; unique until the instance restarts.
using request_id = strong_id<struct request_tag, std::uint64_t>;
/// A call of a request at one backend server; unique like `request_id`.
using call_id = strong_id<struct call_tag, std::uint64_t>;

using workspace_id = strong_id<struct workspace_tag>;
using class_name = strong_id<struct class_tag>;
using model_name = strong_id<struct model_tag>;
using backend_server_id = strong_id<struct backend_server_tag>;
using instance_id = strong_id<struct instance_tag>;
using region_name = strong_id<struct region_tag>;
using failure_domain_name = strong_id<struct failure_domain_tag>;
using team_name = strong_id<struct team_tag>;
using move_name = strong_id<struct move_tag>;
/// Chosen by the caller; requests with the same key run at most once.
using idempotency_key = strong_id<struct idempotency_key_tag>;

} // namespace oriolefall::core

#endif
