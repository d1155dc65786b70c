#ifndef ORIOLEFALL_FRONT_STOP_SIGNAL_HPP
#define ORIOLEFALL_FRONT_STOP_SIGNAL_HPP

namespace oriolefall::front {

/// Wakes all threads that wait on sockets. Cannot be reset. Thread-safe.
class stop_signal
{
public:
    /// Throws std::system_error when no file descriptor can be created.
    stop_signal();
    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;
    ~stop_signal();

    /// Later calls have no effect.
    void raise();
    [[nodiscard]] bool is_raised() const;
    /// A descriptor that poll() reports as readable once the signal is raised.
    [[nodiscard]] int descriptor() const
    {
        return descriptor_;
    }

private:
    int descriptor_;
};

} // namespace oriolefall::front

#endif
