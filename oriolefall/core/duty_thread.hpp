#ifndef ORIOLEFALL_CORE_DUTY_THREAD_HPP
#define ORIOLEFALL_CORE_DUTY_THREAD_HPP

#include <cstddef>
#include <functional>
#include <pthread.h>
#include <string>

namespace oriolefall::core {

/// Stack size in bytes for threads that only decode, wait and encode.
inline constexpr std::size_t small_stack_bytes = 256 * 1024;

/// A named POSIX thread that runs one duty and is joined by the destructor.
/// The rings that the thread waits on must be closed before.
class duty_thread
{
public:
    /// Starts `work` immediately. `name`: shown by system tools, truncated to
    /// 15 bytes. `stack_bytes`: 0 for the system's default. Throws
    /// std::system_error if the thread cannot be created.
    duty_thread(const std::string& name, std::function<void()> work,
                std::size_t stack_bytes = 0);
    duty_thread(duty_thread&& other) noexcept;
    duty_thread(const duty_thread&) = delete;
    duty_thread& operator=(const duty_thread&) = delete;
    duty_thread& operator=(duty_thread&&) = delete;
    ~duty_thread();

    /// Blocks until `work` has returned. Not thread-safe.
    void join();

private:
    pthread_t thread_{};
    bool joinable_ = false;
};

} // namespace oriolefall::core

#endif
