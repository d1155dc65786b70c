#ifndef ORIOLEFALL_MOVE_APPLY_HPP
#define ORIOLEFALL_MOVE_APPLY_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/service_class.hpp"
#include "oriolefall/move/move_object.hpp"

#include <vector>

namespace oriolefall::move {

/// Backend servers with the changes that a move makes to them: from acceptance
/// on, leaving servers get no new work, and arriving ones use only their
/// percentage of slots. Every instance applies this to its own server table, so
/// the change takes effect as soon as the instance has read the move. May be
/// called from any thread.
[[nodiscard]] std::vector<core::backend_server>
apply_to_servers(const move_object& move,
                 std::vector<core::backend_server> servers);

/// Classes with the service level that they have during the move.
[[nodiscard]] std::vector<core::service_class>
apply_to_classes(const move_object& move,
                 std::vector<core::service_class> classes);

} // namespace oriolefall::move

#endif
