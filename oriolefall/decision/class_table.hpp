#ifndef ORIOLEFALL_DECISION_CLASS_TABLE_HPP
#define ORIOLEFALL_DECISION_CLASS_TABLE_HPP

#include "oriolefall/core/request.hpp"
#include "oriolefall/core/service_class.hpp"
#include "oriolefall/decision/length_distribution.hpp"
#include "oriolefall/decision/moving_average.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace oriolefall::decision {

/// A service class and the statistics of its requests.
struct class_record
{
    core::service_class settings;
    /// False once the current settings no longer contain the class.
    bool is_configured = true;
    length_distribution output_lengths;
    /// Seconds from the start of a call to its first token, or to the answer of
    /// a plain service.
    moving_average first_byte_time{0.05};
    /// Seconds between consecutive tokens.
    moving_average token_interval{0.005};
    /// Requests in the queues, and the sum of their body sizes.
    std::size_t waiting_requests = 0;
    std::size_t waiting_bytes = 0;

    /// Expected service time of a request at a server, in seconds.
    [[nodiscard]] double
    expected_service_time_s(const core::request& request) const;
    /// Service time if the answer has the length at `quantile` of the learned
    /// lengths, in seconds.
    [[nodiscard]] double service_time_quantile_s(const core::request& request,
                                                 double quantile) const;
    /// Longest wait before the first call with which the target is still met.
    [[nodiscard]] absl::Duration allowed_wait(const core::request& request,
                                              double quantile) const;
};

/// All service classes by index. An index stays valid for the life of the
/// process.
class class_table
{
public:
    void apply(const std::vector<core::service_class>& classes);
    /// Index of a class in the current settings.
    [[nodiscard]] std::optional<std::uint32_t>
    find(const core::class_name& name) const;
    [[nodiscard]] class_record& at(std::uint32_t index)
    {
        return records_[index];
    }
    [[nodiscard]] const class_record& at(std::uint32_t index) const
    {
        return records_[index];
    }

private:
    std::vector<class_record> records_;
    absl::flat_hash_map<core::class_name, std::uint32_t> indices_;
};

} // namespace oriolefall::decision

#endif
