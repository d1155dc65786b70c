#ifndef ORIOLEFALL_TESTS_OBJECTS_PLATFORM_FIXTURE_HPP
#define ORIOLEFALL_TESTS_OBJECTS_PLATFORM_FIXTURE_HPP

#include "oriolefall/core/concat.hpp"
#include "oriolefall/objects/client.hpp"
#include "stand_ins/platform_server.hpp"

#include <httplib.h>

#include <atomic>
#include <string>
#include <vector>

namespace oriolefall::tests {

/// Runs a platform stand-in on a free port and makes settings for clients of
/// it.
class platform_fixture
{
public:
    explicit platform_fixture(std::size_t history = 1000)
        : server_(history, {.port = 0, .threads = 16})
    {
    }

    [[nodiscard]] objects::client_settings settings()
    {
        objects::client_settings settings;
        settings.endpoint = {"127.0.0.1", server_.port()};
        settings.write_id_prefix =
            core::concat("writer", client_count_.fetch_add(1) + 1);
        settings.backoff = {absl::Milliseconds(1), absl::Milliseconds(4)};
        settings.max_retry_after = absl::Milliseconds(5);
        settings.calls_per_second = 100000;
        settings.burst = 100000;
        return settings;
    }

    void set_faults(const std::string& json)
    {
        httplib::Client http("127.0.0.1", server_.port());
        http.Post("/faults", json, "application/json");
    }

    [[nodiscard]] std::string stats()
    {
        httplib::Client http("127.0.0.1", server_.port());
        return http.Get("/stats")->body;
    }

private:
    stand_ins::platform_server server_;
    std::atomic<int> client_count_ = 0;
};

} // namespace oriolefall::tests

#endif
