#include "stand_ins/engine_models.hpp"

#include <algorithm>

namespace oriolefall::stand_ins {

engine_models::engine_models(const std::vector<std::string>& loaded,
                             absl::Duration load_time, bool checks_fencing)
    : load_time_(load_time), checks_fencing_(checks_fencing)
{
    for (const std::string& model : loaded)
        loaded_at_.emplace(model, absl::InfinitePast());
}

order_result engine_models::apply(absl::Time now, const model_order& order)
{
    if (checks_fencing_ && order.fencing_number < highest_fencing_number_)
        return order_result::fenced;
    highest_fencing_number_ =
        std::max(highest_fencing_number_, order.fencing_number);
    if (order.kind == order_kind::unload_model) {
        loaded_at_.erase(order.model);
        return order_result::unloaded;
    }
    loaded_at_.try_emplace(order.model, now + load_time_);
    return is_loaded(now, order.model) ? order_result::loaded
                                       : order_result::loading;
}

bool engine_models::is_loaded(absl::Time now, const std::string& model) const
{
    const auto found = loaded_at_.find(model);
    return found != loaded_at_.end() && found->second <= now;
}

model_list engine_models::list(absl::Time now) const
{
    model_list models;
    for (const auto& [model, at] : loaded_at_)
        (at <= now ? models.loaded : models.loading).push_back(model);
    return models;
}

} // namespace oriolefall::stand_ins
