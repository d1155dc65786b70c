#ifndef ORIOLEFALL_STAND_INS_SERVICE_LEDGER_HPP
#define ORIOLEFALL_STAND_INS_SERVICE_LEDGER_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace oriolefall::stand_ins {

/// Faults of a plain service that a test has switched on.
struct service_faults
{
    bool refuse = false;
    /// The next call runs and its connection is cut before the answer; once.
    bool drop_answer = false;
    /// Time that each call takes.
    std::uint32_t delay_ms = 0;
    std::strong_ordering operator<=>(const service_faults&) const = default;
};

/// How one call went.
struct service_run
{
    /// Number of the call, from 1; 0 when it was refused.
    std::uint64_t id = 0;
    /// Calls with this key up to now; 0 without a key.
    std::uint64_t runs = 0;
    service_faults faults;
    std::strong_ordering operator<=>(const service_run&) const = default;
};

/// Calls that ran since the start.
struct service_counts
{
    std::uint64_t calls = 0;
    std::map<std::string, std::uint64_t> by_key;
    std::strong_ordering operator<=>(const service_counts&) const = default;
};

/// The thread that owns what a plain service has run. Members may be called
/// from any thread.
class service_ledger
{
public:
    /// `faults`: those in force at the start.
    explicit service_ledger(const service_faults& faults);
    service_ledger(const service_ledger&) = delete;
    service_ledger& operator=(const service_ledger&) = delete;
    ~service_ledger();

    /// Runs a call; an empty `key` is none.
    [[nodiscard]] service_run run(const std::string& key);
    [[nodiscard]] service_counts counts();
    void change_faults(std::function<void(service_faults&)> change);

private:
    struct run_command
    {
        std::string key;
        std::shared_ptr<core::bounded_ring<service_run>> reply;
    };
    struct counts_command
    {
        std::shared_ptr<core::bounded_ring<service_counts>> reply;
    };
    struct faults_command
    {
        std::function<void(service_faults&)> change;
    };
    using command = std::variant<run_command, counts_command, faults_command>;

    void work();
    void apply(const run_command& what);
    void apply(const counts_command& what);
    void apply(const faults_command& what);

    service_faults faults_;
    service_counts counts_;
    core::bounded_ring<command> commands_;
    core::duty_thread thread_;
};

} // namespace oriolefall::stand_ins

#endif
