#ifndef ORIOLEFALL_SIZING_DEMAND_READER_HPP
#define ORIOLEFALL_SIZING_DEMAND_READER_HPP

#include "oriolefall/duties/planner.hpp"
#include "oriolefall/sizing/size_planner.hpp"
#include "oriolefall/usage/usage_objects.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace oriolefall::sizing {

/// Reads the demand that the watchers of the regions publish and passes the sum
/// on. Pure; for use by one thread.
class demand_reader
{
public:
    /// `regions`: number of regions from which demand is expected.
    using demand_hook = std::function<void(
        absl::Time now, const fleet_demand& demand, std::size_t regions)>;

    explicit demand_reader(demand_hook on_demand);

    /// Refers to this object, which must live longer.
    [[nodiscard]] duties::planner make_planner();

private:
    struct seen_object
    {
        std::uint64_t revision = 0;
        absl::Time changed_at;
    };

    void on_objects(absl::Time now, const duties::objects_read& read);
    /// Whether the object has changed lately: its watcher is there.
    [[nodiscard]] bool is_current(absl::Time now,
                                  const duties::object_version& object);

    demand_hook on_demand_;
    std::map<std::string, seen_object> seen_;
    absl::Time read_at_ = absl::InfiniteFuture();
};

} // namespace oriolefall::sizing

#endif
