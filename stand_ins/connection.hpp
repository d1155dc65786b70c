#ifndef ORIOLEFALL_STAND_INS_CONNECTION_HPP
#define ORIOLEFALL_STAND_INS_CONNECTION_HPP

#include <httplib.h>

namespace oriolefall::stand_ins {

/// The connection that a request came on, which the HTTP library keeps to
/// itself. For the request's own worker, while it handles the request.
class connection
{
public:
    /// Found among the open sockets by the port at the other end.
    [[nodiscard]] static connection of(const httplib::Request& request);

    /// True once the caller has closed it.
    [[nodiscard]] bool is_closed() const;
    /// Cuts it, so that nothing further reaches the caller.
    void cut() const;

private:
    explicit connection(int socket) : socket_(socket) {}

    int socket_;
};

} // namespace oriolefall::stand_ins

#endif
