#ifndef ORIOLEFALL_TESTS_ADAPTER_FOLLOWING_INSTANCE_HPP
#define ORIOLEFALL_TESTS_ADAPTER_FOLLOWING_INSTANCE_HPP

#include "oriolefall/follow/store_duty.hpp"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

namespace oriolefall::tests {

/// Collection in which a `following_instance` registers.
inline const std::string instances_collection = "instances";

/// The store duty of an instance that follows one collection, and what it told
/// of last.
class following_instance
{
public:
    using view_check = std::function<bool(const follow::collection_view&)>;

    following_instance(const core::endpoint& store,
                       const std::string& collection);

    /// Whether the followed collection passes the check before long.
    bool wait_for(const view_check& check);
    /// Removes an object of the list of instances.
    void remove_instance(const std::string& name);

private:
    follow::store_duty_hooks hooks();

    std::mutex mutex_;
    std::condition_variable changed_;
    follow::collection_view view_;
    follow::store_duty duty_;
};

} // namespace oriolefall::tests

#endif
