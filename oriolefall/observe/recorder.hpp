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

/// Settings that are fixed for the lifetime of a `recorder`.
struct recorder_settings
{
    std::size_t ring_capacity = 16384;
    /// Maximum number of requests whose decisions can be explained.
    std::size_t max_explained_requests = 4096;
    auto operator<=>(const recorder_settings&) const = default;
};

/// Owns the thread that maintains the metrics and explanations and writes the
/// log. Other threads report records through a ring; only queries wait.
class recorder
{
public:
    explicit recorder(const recorder_settings& settings);
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;
    ~recorder();

    /// Queues a record. Never blocks; if the ring is full, the record is
    /// dropped and counted. Thread-safe.
    void report(record entry);

    /// Returns the metrics page, or an empty string if the recorder's thread
    /// does not answer in time. Must be called on another thread.
    [[nodiscard]] std::string metrics();
    /// Returns JSON text, or nullopt if the request is unknown or there is no
    /// answer in time. Must be called on another thread.
    [[nodiscard]] std::optional<std::string> explain(core::request_id request);

private:
    void run();
    void handle(const request_finished& end);
    void handle(const decision_step& step);
    void handle(const early_refusal& refusal);
    void handle(const log_entry& entry);
    void handle(const counter_added& counter);
    void handle(const metrics_query& query);
    void handle(const explain_query& query);

    core::bounded_ring<record> records_;
    std::atomic<std::uint64_t> dropped_ = 0;
    metrics_registry metrics_;
    explanation_log explanations_;
    core::duty_thread thread_;
};

} // namespace oriolefall::observe

#endif
