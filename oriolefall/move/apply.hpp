#ifndef ORIOLEFALL_MOVE_APPLY_HPP
#define ORIOLEFALL_MOVE_APPLY_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/service_class.hpp"
#include "oriolefall/move/move_object.hpp"

#include <vector>

namespace oriolefall::move {

/// Backend servers as a move wants them used: leaving ones get no new work
/// from acceptance on, arriving ones run their percentage of slots. Every
/// instance applies it to its own table, so the mark is as quick as the
/// object. Any thread.
[[nodiscard]] std::vector<core::backend_server>
apply_to_servers(const move_object& move,
                 std::vector<core::backend_server> servers);

/// Classes with the service level that they hold during the move.
[[nodiscard]] std::vector<core::service_class>
apply_to_classes(const move_object& move,
                 std::vector<core::service_class> classes);

} // namespace oriolefall::move

#endif
