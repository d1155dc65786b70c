#ifndef ORIOLEFALL_CORE_LATEST_VALUE_HPP
#define ORIOLEFALL_CORE_LATEST_VALUE_HPP

#include <memory>
#include <mutex>
#include <utility>

namespace oriolefall::core {

/// The latest of a row of immutable values, set by one thread and read by
/// many. A reader keeps what it got for as long as it likes. Any thread.
template <class T>
class latest_value
{
public:
    using pointer = std::shared_ptr<const T>;

    explicit latest_value(pointer first) : value_(std::move(first)) {}

    [[nodiscard]] pointer get() const
    {
        const std::lock_guard lock(mutex_);
        return value_;
    }

    void set(pointer next)
    {
        const std::lock_guard lock(mutex_);
        value_ = std::move(next);
    }

private:
    mutable std::mutex mutex_;
    pointer value_;
};

} // namespace oriolefall::core

#endif
