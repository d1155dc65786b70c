#ifndef ORIOLEFALL_FRONT_CONNECTION_POOL_HPP
#define ORIOLEFALL_FRONT_CONNECTION_POOL_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <vector>

namespace oriolefall::front {

/// Which paths are answered on a connection.
enum class connection_kind
{
    /// All paths, for any number of requests.
    regular,
    /// A connection above `max_connections`: one request, and only for the
    /// operators' paths.
    overflow
};

/// An accepted socket that is handed to a worker thread, which closes it.
struct accepted_socket
{
    int descriptor = -1;
    connection_kind kind = connection_kind::regular;
};

/// A pool of worker threads that each serve one connection at a time. Threads
/// are started on demand, so an instance without callers has none.
class connection_pool
{
public:
    using serve_hook = std::function<void(accepted_socket)>;

    /// Serves up to `max_regular` connections at once and up to
    /// `max_overflow` more as overflow. `serve` is called on the worker
    /// threads and returns when it has closed the connection.
    connection_pool(std::size_t max_regular, std::size_t max_overflow,
                    serve_hook serve);
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    ~connection_pool();

    /// Hands a socket to a worker thread. Never blocks. False when all workers
    /// are busy or no thread could be started; the socket is then not closed
    /// here. Called on the accepting thread.
    [[nodiscard]] bool submit(int descriptor);
    /// Blocks until all connections have been served. Called on the thread
    /// that owns the pool, after the last `submit`. Later calls have no
    /// effect.
    void finish();

private:
    void run_worker();
    /// Starts one more worker when there are fewer than `count`. False when no
    /// thread could be started.
    [[nodiscard]] bool ensure_workers(std::size_t count);

    std::size_t max_regular_;
    std::size_t max_overflow_;
    serve_hook serve_;
    core::bounded_ring<accepted_socket> accepted_;
    std::atomic<std::size_t> open_count_{0};
    std::vector<core::duty_thread> workers_;
};

} // namespace oriolefall::front

#endif
