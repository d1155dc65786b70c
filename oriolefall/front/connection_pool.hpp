#ifndef ORIOLEFALL_FRONT_CONNECTION_POOL_HPP
#define ORIOLEFALL_FRONT_CONNECTION_POOL_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <vector>

namespace oriolefall::front {

/// What a connection is served with.
enum class connection_kind
{
    regular,
    /// Beyond the limit: only operators' paths, one request.
    overflow
};

/// An accepted socket on its way to a worker, which closes it.
struct accepted_socket
{
    int descriptor = -1;
    connection_kind kind = connection_kind::regular;
};

/// Workers that each serve one connection at a time. They are started as
/// connections come, so an instance that nobody calls has none.
class connection_pool
{
public:
    using serve_hook = std::function<void(accepted_socket)>;

    /// `regular` connections are served at once, and `reserved` more as
    /// overflow. `serve` runs on the workers and returns when the connection
    /// is closed.
    connection_pool(std::size_t regular, std::size_t reserved,
                    serve_hook serve);
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    ~connection_pool();

    /// Hands a socket to a worker. Never blocks; false when all workers are
    /// taken, the socket then stays the caller's. For the accepting thread.
    [[nodiscard]] bool submit(int descriptor);
    /// Returns when all connections have been served. For the thread that
    /// owns the pool, after the last `submit`. Harmless when repeated.
    void finish();

private:
    void run_worker();
    /// Has as many workers as open connections; false when no thread could
    /// be started.
    [[nodiscard]] bool ensure_workers(std::size_t wanted);

    std::size_t regular_;
    std::size_t reserved_;
    serve_hook serve_;
    core::bounded_ring<accepted_socket> waiting_;
    std::atomic<std::size_t> open_{0};
    std::vector<core::duty_thread> workers_;
};

} // namespace oriolefall::front

#endif
