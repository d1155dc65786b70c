#ifndef ORIOLEFALL_CORE_LATEST_VALUE_HPP
#define ORIOLEFALL_CORE_LATEST_VALUE_HPP

#include <memory>
#include <mutex>
#include <utility>

namespace oriolefall::core {

/// The latest of a series of immutable values, set by one thread and read by
/// many. Readers share ownership of the value that they got. Thread-safe.
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
