#ifndef ORIOLEFALL_TESTS_ADAPTER_SOAK_STORE_SERVER_HPP
#define ORIOLEFALL_TESTS_ADAPTER_SOAK_STORE_SERVER_HPP

#include "tests/adapter/soak/coroutine.hpp"
#include "tests/adapter/soak/request_target.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolefall::soak {

/// How the store misbehaves.
enum class store_fault : unsigned char
{
    none,
    /// 503: nothing was done.
    refuses,
    /// 429.
    too_many,
    /// Takes calls and answers nothing; watches fall silent.
    silent,
    /// Closes connections.
    resets,
    /// Writes are done seconds later, with no answer.
    late_writes
};

/// Stand-in of the users' store: objects by kind and name, lists, watches,
/// writes under a condition. One thread.
class store_server
{
public:
    explicit store_server(asio::io_context& context);

    [[nodiscard]] std::uint16_t port() const;
    /// Writes past all faults, as the operator and the servers do; the new
    /// revision.
    std::uint64_t put(const std::string& kind, const std::string& name,
                      const nlohmann::json& value);
    void erase(const std::string& kind, const std::string& name);
    void set_fault(store_fault fault);
    /// Drops what watches could be answered from.
    void forget_history();
    /// Makes a copy of all objects.
    void copy();
    /// Goes back to the copy: what was written since is lost, and its revisions
    /// are given out again.
    void restore();
    [[nodiscard]] std::vector<std::string>
    names_of(const std::string& kind) const;
    /// Objects in a page of a list.
    void set_page_items(std::size_t count);
    /// Pages that were asked for.
    [[nodiscard]] std::size_t list_calls(const std::string& kind) const;

private:
    using json = nlohmann::json;
    using request = http::request<http::string_body>;
    using response = http::response<http::string_body>;
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        json event;
    };

    task<void> accept();
    task<void> serve(tcp::socket socket);
    /// Nothing when the connection is to end without an answer.
    task<std::optional<response>> answer(const request& asked);
    task<response> read(const std::string& kind, const std::string& name,
                        const request_target& target);
    [[nodiscard]] response list(const std::string& kind,
                                const std::string& after) const;
    task<response> watch(const std::string& kind, std::uint64_t from,
                         milliseconds wait);
    response write(const request& asked, const std::string& kind,
                   const std::string& name);
    task<void> write_late(request asked, std::string kind, std::string name);
    void wake();
    void note(const std::string& kind, const json& object, bool deleted);
    [[nodiscard]] json events_since(const std::string& kind,
                                    std::uint64_t from) const;

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    /// Timers of waiting watches, cancelled at each change and each fault.
    std::set<asio::steady_timer*> waiting_;
    store_fault fault_ = store_fault::none;
    std::uint64_t revision_ = 100;
    std::uint64_t history_from_ = 100;
    std::map<std::string, std::map<std::string, json>> objects_;
    std::deque<change> history_;
    std::uint64_t epoch_ = 1;
    std::map<std::string, std::map<std::string, json>> copied_objects_;
    std::uint64_t copied_revision_ = 100;
    std::size_t page_items_ = 4;
    std::map<std::string, std::size_t> list_calls_;
};

} // namespace oriolefall::soak

#endif
