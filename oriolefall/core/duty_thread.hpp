#ifndef ORIOLEFALL_CORE_DUTY_THREAD_HPP
#define ORIOLEFALL_CORE_DUTY_THREAD_HPP

#include <cstddef>
#include <functional>
#include <pthread.h>
#include <string>

namespace oriolefall::core {

/// Stack of a thread whose work is to decode, wait and encode, in bytes.
inline constexpr std::size_t small_stack_bytes = 256 * 1024;

/// A named POSIX thread that carries out one duty and is joined when it is
/// destroyed. Whoever destroys it has closed the rings that it waits on.
class duty_thread
{
public:
    /// Starts `work` at once. `name`: shown by the system, 15 bytes at most.
    /// `stack_bytes`: 0 takes the system's default. Throws std::system_error
    /// when no thread can be had.
    duty_thread(const std::string& name, std::function<void()> work,
                std::size_t stack_bytes = 0);
    duty_thread(duty_thread&& other) noexcept;
    duty_thread(const duty_thread&) = delete;
    duty_thread& operator=(const duty_thread&) = delete;
    duty_thread& operator=(duty_thread&&) = delete;
    ~duty_thread();

    /// Waits until the work has returned. One thread only.
    void join();

private:
    pthread_t thread_{};
    bool joinable_ = false;
};

} // namespace oriolefall::core

#endif
