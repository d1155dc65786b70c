#ifndef ORIOLEFALL_TESTS_ADAPTER_SOAK_WORLD_HPP
#define ORIOLEFALL_TESTS_ADAPTER_SOAK_WORLD_HPP

#include "tests/adapter/soak/proxy.hpp"
#include "tests/adapter/soak/store_server.hpp"
#include "tests/adapter/soak/work_server.hpp"

#include <memory>
#include <string>
#include <vector>

namespace oriolefall::soak {

inline constexpr unsigned stream_events = 20;
inline constexpr milliseconds route_time_limit{6000};
inline constexpr const char* host_name = "soak.example";
inline constexpr const char* workspace_name = "workshop";
inline constexpr const char* api_key = "soak-key";

/// What surrounds the system under test: the store, the operator who writes to
/// it, the backend servers and the links to them. One thread.
class world
{
public:
    world(asio::io_context& context, ledger& seen, std::uint64_t seed);

    /// Writes the first settings and starts the servers.
    void start();
    store_server& store();
    [[nodiscard]] std::size_t server_count() const;
    /// Moves the plain routes to the other service.
    void move_routes();
    /// Tells that the server leaves, ends it later, and starts another one.
    task<void> drain_server(unsigned target);
    /// Ends a server and starts another one at its address.
    /// It says in its answers that it leaves, and does not in the store until
    /// it drains after this time.
    task<void> leave_server(unsigned target, milliseconds unlisted);
    task<void> crash_server(unsigned target, milliseconds away);
    /// The store goes back to what it is now after this time, and is away for a
    /// moment. The operator and the servers write again what it has lost.
    task<void> restore_store(milliseconds copy_age);
    task<void> spoil_server(unsigned target, server_fault fault,
                            milliseconds lasts);
    task<void> spoil_link(unsigned target, link_fault fault,
                          milliseconds lasts);

private:
    struct place
    {
        std::string service;
        std::string zone;
        std::shared_ptr<work_server> server;
        std::shared_ptr<proxy> link;
        /// As its server last wrote it.
        std::string state{};
        bool is_changing = false;
    };

    void write_odd_entries();
    void write_settings();
    void put_settings();
    void start_server(place& at);
    void write_entry(place& at, const std::string& state);
    /// Removes the entries of servers that are gone.
    void erase_lapsed();

    asio::io_context& context_;
    ledger& seen_;
    store_server store_;
    std::uint64_t seed_;
    std::vector<place> places_;
    unsigned next_server_ = 1;
    std::uint64_t version_ = 3;
    std::string plain_service_ = "desk";
};

} // namespace oriolefall::soak

#endif
