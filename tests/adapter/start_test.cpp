// Starts of a process whose addresses are still in use.
#include "tests/adapter/soak/instance_process.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace oriolefall;
using soak::instance_place;
using soak::instance_process;

namespace {

constexpr unsigned own_number = 150;

std::filesystem::path build_folder()
{
    return std::getenv("ORIOLEFALL_BUILD");
}

/// A folder of its own for each test, for settings and logs.
std::filesystem::path make_folder(const std::string& name)
{
    auto folder = build_folder() / "start" / name;
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return folder;
}

/// Another process's listener at one of the instance's addresses.
class occupied_address
{
public:
    occupied_address(const std::string& address, std::uint16_t port)
    {
        acceptor_.emplace(context_,
                          tcp::endpoint(asio::ip::make_address(address), port));
        // Not handed on to the process that waits for the address.
        ::fcntl(acceptor_->native_handle(), F_SETFD, FD_CLOEXEC);
    }
    void release()
    {
        acceptor_.reset();
    }

private:
    asio::io_context context_;
    std::optional<tcp::acceptor> acceptor_;
};

bool is_listening(const std::string& address, std::uint16_t port)
{
    asio::io_context context;
    tcp::socket socket(context);
    error_code error;
    socket.connect({asio::ip::make_address(address), port}, error);
    return !error;
}

std::string log_of(const std::filesystem::path& folder,
                   const instance_place& place)
{
    std::ifstream file(folder / (place.name + ".log"));
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

// A process that was started while the one before it was still draining ended
// with status 1 within a second, with a message that named no address.
Test(start, an_address_in_use_is_waited_for)
{
    for (const std::uint16_t port :
         {soak::callers_port, soak::ready_port, soak::directory_port}) {
        const auto folder = make_folder(std::to_string(port));
        instance_place place{
            "edge-1", "north-a", soak::own_address(own_number), 1, {}};
        occupied_address occupied(place.address, port);
        instance_process process(build_folder() / "oriolefall", folder, place);
        process.start();
        std::this_thread::sleep_for(std::chrono::milliseconds(800));
        cr_assert_not(process.has_ended());
        const std::string log = log_of(folder, place);
        cr_assert(log.find("not_listening") != std::string::npos);
        cr_assert(log.find(place.address + ":" + std::to_string(port)) !=
                  std::string::npos);
        occupied.release();
        bool is_up = false;
        for (int i = 0; i < 100 && !is_up; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            is_up = is_listening(place.address, soak::directory_port) &&
                    is_listening(place.address, soak::callers_port);
        }
        cr_assert(is_up, "port %d", static_cast<int>(port));
        process.send_signal(SIGKILL);
        static_cast<void>(process.exit_status());
    }
}

// An address that isn't this machine's will not become free.
Test(start, an_address_of_another_machine_ends_the_start_with_its_name)
{
    const auto folder = make_folder("elsewhere");
    const instance_place place{"edge-1", "north-a", "192.0.2.1", 1, {}};
    instance_process process(build_folder() / "oriolefall", folder, place);
    process.start();
    cr_assert_eq(process.exit_status(), EXIT_FAILURE);
    const std::string log = log_of(folder, place);
    cr_assert(log.find("cannot listen at 192.0.2.1:7001: ") !=
              std::string::npos);
}
