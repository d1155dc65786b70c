#ifndef ORIOLEFALL_FRONT_STOP_SIGNAL_HPP
#define ORIOLEFALL_FRONT_STOP_SIGNAL_HPP

namespace oriolefall::front {

/// Wakes all threads that wait on sockets, once and for good. Any thread.
class stop_signal
{
public:
    /// Throws std::system_error when the system has no descriptor left.
    stop_signal();
    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;
    ~stop_signal();

    /// Harmless when repeated.
    void raise();
    [[nodiscard]] bool raised() const;
    /// Readable for poll() once raised.
    [[nodiscard]] int descriptor() const
    {
        return descriptor_;
    }

private:
    int descriptor_;
};

} // namespace oriolefall::front

#endif
