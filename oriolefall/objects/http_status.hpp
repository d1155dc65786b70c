#ifndef ORIOLEFALL_OBJECTS_HTTP_STATUS_HPP
#define ORIOLEFALL_OBJECTS_HTTP_STATUS_HPP

/// HTTP status codes (RFC 9110) that the object API uses.
namespace oriolefall::objects::http_status {

inline constexpr int first_error = 400;
inline constexpr int not_found = 404;
inline constexpr int gone = 410;
inline constexpr int precondition_failed = 412;
inline constexpr int too_many_requests = 429;
inline constexpr int first_server_error = 500;
inline constexpr int service_unavailable = 503;

} // namespace oriolefall::objects::http_status

#endif
