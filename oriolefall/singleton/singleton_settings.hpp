#ifndef ORIOLEFALL_SINGLETON_SINGLETON_SETTINGS_HPP
#define ORIOLEFALL_SINGLETON_SINGLETON_SETTINGS_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/ids.hpp"
#include "oriolefall/leasing/lease.hpp"

#include <absl/time/time.h>

#include <chrono>
#include <cstddef>
#include <string>

namespace oriolefall::singleton {

/// Settings of the lease of the duties. The defaults fit together: a provider
/// call starts with 600 ms of the lease left and takes 1,200 ms at most, so
/// that it has ended when another instance can hold the lease.
struct lease_client_settings
{
    core::instance_id instance;
    std::string collection;
    std::string name;
    leasing::lease_settings lease{
        .duration = absl::Milliseconds(2700),
        .margin = absl::Milliseconds(300),
        .fencing = leasing::fencing_source::replaced_version};
    /// Longest time between two reads of a candidate that does not hold the
    /// lease.
    absl::Duration read_interval = absl::Seconds(3);
    /// Part of `read_interval` by which it is shortened at random.
    double read_jitter = 0.2;
    /// Time after which the holder reads again if a read has failed.
    absl::Duration holder_read_interval = absl::Milliseconds(300);
    /// Time until the answer of the store has to start.
    std::chrono::milliseconds answer_timeout{1200};
};

struct singleton_settings
{
    core::endpoint store;
    core::endpoint provider;
    lease_client_settings lease;
    /// Remaining time of the lease without which no provider call is sent.
    absl::Duration min_lease_left = absl::Milliseconds(600);
    /// Time until the answer of the provider or the store has to start.
    std::chrono::milliseconds answer_timeout{1200};
    /// Maximum number of calls that this instance makes to the provider: half
    /// of what it accepts from all, as a holder before may have used its part
    /// in the same second.
    double provider_calls_per_s = 0.5;
    /// Calls that may follow each other without a pause.
    double provider_burst = 4;
    /// Maximum number of objects of a listed collection.
    std::size_t max_objects = 4096;
    /// Maximum number of posted closures that wait.
    std::size_t ring_capacity = 1024;
};

} // namespace oriolefall::singleton

#endif
