#include "oriolefall/singleton/object_publisher.hpp"

#include <utility>
#include <variant>

namespace oriolefall::singleton {

object_publisher::object_publisher(
    std::shared_ptr<follow::store_connection> connection,
    core::clock_hook clock, publisher_hooks hooks)
    : connection_(std::move(connection)), clock_(std::move(clock)),
      hooks_(std::move(hooks))
{
}

void object_publisher::step(absl::Time now)
{
    if (is_writing_ || !hooks_.due)
        return;
    const auto object = hooks_.due(now);
    if (!object)
        return;
    is_writing_ = true;
    calls_ = hooks_.put(object->collection, object->name, object->value);
    try_call(0);
}

void object_publisher::try_call(std::size_t attempt)
{
    if (attempt == calls_.size()) {
        finish(false);
        return;
    }
    const std::size_t chosen = (first_call_ + attempt) % calls_.size();
    connection_->call(calls_[chosen], [this, attempt, chosen](
                                          const follow::store_result& result) {
        if (follow::is_success(result)) {
            first_call_ = chosen;
            finish(true);
        } else if (std::holds_alternative<follow::store_failure>(result)) {
            finish(false);
        } else {
            try_call(attempt + 1);
        }
    });
}

void object_publisher::finish(bool is_written)
{
    is_writing_ = false;
    hooks_.on_written(clock_(), is_written);
}

} // namespace oriolefall::singleton
