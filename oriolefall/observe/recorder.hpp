#ifndef ORIOLEFALL_OBSERVE_RECORDER_HPP
#define ORIOLEFALL_OBSERVE_RECORDER_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/observe/explanation_log.hpp"
#include "oriolefall/observe/metrics_registry.hpp"
#include "oriolefall/observe/record.hpp"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

namespace oriolefall::observe {

/// What is fixed for the life of a `recorder`.
struct recorder_settings
{
    std::size_t ring_capacity = 16384;
    /// Requests whose decisions can be explained.
    std::size_t explained_requests = 4096;
    auto operator<=>(const recorder_settings&) const = default;
};

/// The thread that keeps metrics, explanations and the log. Other threads
/// tell it records through a ring and never wait for it.
class recorder
{
public:
    explicit recorder(const recorder_settings& settings);
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;
    ~recorder();

    /// Never blocks; a record that finds no room is dropped and counted. Any
    /// thread.
    void tell(record what);

    /// The metrics page. Waits for the recorder's thread. Any other thread.
    [[nodiscard]] std::string metrics();
    /// JSON text; nothing when the request is not known. Any other thread.
    [[nodiscard]] std::optional<std::string> explain(core::request_id request);

private:
    void run();
    void take(const request_finished& end);
    void take(const decision_step& step);
    void take(const early_refusal& refusal);
    void take(const log_note& note);
    void take(const counter_added& counter);
    void take(const metrics_query& query);
    void take(const explain_query& query);

    core::bounded_ring<record> records_;
    std::atomic<std::uint64_t> dropped_ = 0;
    metrics_registry metrics_;
    explanation_log explanations_;
    core::duty_thread thread_;
};

} // namespace oriolefall::observe

#endif
