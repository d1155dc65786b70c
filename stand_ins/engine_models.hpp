#ifndef ORIOLEFALL_STAND_INS_ENGINE_MODELS_HPP
#define ORIOLEFALL_STAND_INS_ENGINE_MODELS_HPP

#include "stand_ins/engine_messages.hpp"

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

namespace oriolefall::stand_ins {

/// Models of an engine and the orders that change them. One thread.
class engine_models
{
public:
    /// `load_time`: how long a model takes to load.
    engine_models(const std::vector<std::string>& loaded,
                  absl::Duration load_time, bool checks_fencing);

    order_result apply(absl::Time now, const model_order& order);
    [[nodiscard]] bool is_loaded(absl::Time now,
                                 const std::string& model) const;
    [[nodiscard]] model_list list(absl::Time now) const;

private:
    absl::Duration load_time_;
    bool checks_fencing_;
    std::uint64_t highest_fencing_number_ = 0;
    /// When each model is, or will be, loaded.
    std::map<std::string, absl::Time> loaded_at_;
};

} // namespace oriolefall::stand_ins

#endif
