#include "tests/adapter/soak/store_server.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <ranges>
#include <utility>

namespace oriolefall::soak {

namespace {

constexpr milliseconds answer_time{4};
constexpr milliseconds late_write_time{2500};
/// Longer than any run.
constexpr milliseconds silence{600000};
constexpr unsigned http_1_1 = 11;
const std::string objects_segment = "objects";
/// Segments of the paths /objects/KIND and /objects/KIND/NAME.
constexpr std::size_t kind_segments = 3;
constexpr std::size_t name_segments = 4;

std::uint64_t number(const std::string& text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http::response<http::string_body> make_answer(http::status status,
                                              const nlohmann::json& body)
{
    http::response<http::string_body> made(status, http_1_1);
    made.set(http::field::content_type, "application/json");
    made.body() = body.dump();
    made.prepare_payload();
    return made;
}

} // namespace

store_server::store_server(asio::io_context& context)
    : context_(context),
      acceptor_(context, {asio::ip::address_v4::loopback(), 0})
{
    asio::co_spawn(context_, accept(), asio::detached);
}

std::uint16_t store_server::port() const
{
    return acceptor_.local_endpoint().port();
}

std::uint64_t store_server::put(const std::string& kind,
                                const std::string& name, const json& value)
{
    json& object = objects_[kind][name];
    ++revision_;
    const json created = object.is_null()
                             ? json(revision_)
                             : object["metadata"].value("created", json(0));
    object = {{"metadata",
               {{"name", name},
                {"revision", revision_},
                {"created", created},
                {"finalizers", json::array()},
                {"deletionPending", false}}},
              {"spec", value},
              {"status", nullptr}};
    note(kind, object, false);
    return revision_;
}

void store_server::erase(const std::string& kind, const std::string& name)
{
    auto& objects = objects_[kind];
    const auto found = objects.find(name);
    if (found == objects.end())
        return;
    ++revision_;
    json object = std::move(found->second);
    objects.erase(found);
    object["metadata"]["revision"] = revision_;
    note(kind, object, true);
}

void store_server::set_fault(store_fault fault)
{
    fault_ = fault;
    wake();
}

void store_server::forget_history()
{
    history_.clear();
    history_from_ = revision_;
    wake();
}

void store_server::copy()
{
    copied_objects_ = objects_;
    copied_revision_ = revision_;
}

void store_server::restore()
{
    objects_ = copied_objects_;
    revision_ = copied_revision_;
    history_from_ = std::min(history_from_, revision_);
    std::erase_if(history_, [this](const change& each) {
        return each.revision > revision_;
    });
    ++epoch_;
    wake();
}

std::vector<std::string> store_server::names_of(const std::string& kind) const
{
    std::vector<std::string> names;
    const auto found = objects_.find(kind);
    if (found != objects_.end())
        std::ranges::copy(found->second | std::views::keys,
                          std::back_inserter(names));
    return names;
}

void store_server::set_page_items(std::size_t count)
{
    page_items_ = count;
}

std::size_t store_server::list_calls(const std::string& kind) const
{
    const auto found = list_calls_.find(kind);
    return found == list_calls_.end() ? 0 : found->second;
}

void store_server::wake()
{
    for (asio::steady_timer* each : waiting_)
        each->cancel();
}

void store_server::note(const std::string& kind, const json& object,
                        bool deleted)
{
    history_.push_back(
        {revision_, kind, {{"object", object}, {"deleted", deleted}}});
    wake();
}

task<void> store_server::accept()
{
    while (true) {
        error_code error;
        tcp::socket socket = co_await acceptor_.async_accept(into(error));
        if (error)
            co_return;
        asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
    }
}

task<void> store_server::serve(tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    while (true) {
        request asked;
        error_code error;
        co_await http::async_read(socket, buffer, asked, into(error));
        if (error)
            co_return;
        std::optional<response> made = co_await answer(asked);
        if (!made)
            co_return;
        made->set("Store-Era", std::to_string(epoch_));
        co_await http::async_write(socket, *made, into(error));
        if (error)
            co_return;
    }
}

task<std::optional<store_server::response>>
store_server::answer(const request& asked)
{
    co_await pause(answer_time);
    const auto target =
        parse_request_target({asked.target().data(), asked.target().size()});
    if (!target)
        co_return make_answer(http::status::bad_request, {});
    const auto& segments = target->segments;
    if (segments.size() < kind_segments || segments.size() > name_segments ||
        segments[1] != objects_segment)
        co_return make_answer(http::status::not_found, {});
    const std::string& kind = segments[2];
    const std::string name =
        segments.size() == name_segments ? segments[3] : std::string();
    const bool is_read = asked.method() == http::verb::get;
    if (fault_ == store_fault::resets)
        co_return std::nullopt;
    if (fault_ == store_fault::refuses)
        co_return make_answer(http::status::service_unavailable, {});
    if (fault_ == store_fault::too_many)
        co_return make_answer(http::status::too_many_requests, {});
    if (fault_ == store_fault::late_writes && !is_read)
        asio::co_spawn(context_, write_late(asked, kind, name), asio::detached);
    const bool loses_answer = fault_ == store_fault::silent ||
                              (fault_ == store_fault::late_writes && !is_read);
    if (loses_answer) {
        // A connection on which an answer is lost says nothing further.
        co_await pause(silence);
        co_return std::nullopt;
    }
    if (is_read) {
        response made = co_await read(kind, name, *target);
        if (fault_ == store_fault::silent)
            co_await pause(silence);
        co_return made;
    }
    co_return write(asked, kind, name);
}

task<store_server::response> store_server::read(const std::string& kind,
                                                const std::string& name,
                                                const request_target& target)
{
    if (!name.empty()) {
        const auto& objects = objects_[kind];
        const auto found = objects.find(name);
        co_return found == objects.end()
            ? make_answer(http::status::not_found, {})
            : make_answer(http::status::ok, found->second);
    }
    const std::string from = target.parameter("watchFromRev");
    if (from.empty()) {
        ++list_calls_[kind];
        co_return list(kind, target.parameter("after"));
    }
    const milliseconds wait(number(target.parameter("waitMs")));
    response made = co_await watch(kind, number(from), wait);
    co_return made;
}

store_server::response store_server::list(const std::string& kind,
                                          const std::string& after) const
{
    json items = json::array();
    bool has_more = false;
    const auto found = objects_.find(kind);
    if (found != objects_.end()) {
        const auto& objects = found->second;
        auto each =
            after.empty() ? objects.begin() : objects.upper_bound(after);
        for (; each != objects.end(); ++each) {
            has_more = items.size() == page_items_;
            if (has_more)
                break;
            items.push_back(each->second);
        }
    }
    return make_answer(
        http::status::ok,
        {{"items", items}, {"hasMore", has_more}, {"at", revision_}});
}

task<store_server::response> store_server::watch(const std::string& kind,
                                                 std::uint64_t from,
                                                 milliseconds wait)
{
    const auto until = clock::now() + wait;
    json events = events_since(kind, from);
    const auto is_known = [this, from] {
        return from >= history_from_ && from <= revision_;
    };
    while (events.empty() && is_known() && clock::now() < until &&
           fault_ == store_fault::none) {
        asio::steady_timer timer(context_, until);
        waiting_.insert(&timer);
        error_code cancelled;
        co_await timer.async_wait(into(cancelled));
        waiting_.erase(&timer);
        events = events_since(kind, from);
    }
    if (!is_known())
        co_return make_answer(http::status::gone, {});
    co_return make_answer(http::status::ok,
                          {{"events", events}, {"at", revision_}});
}

nlohmann::json store_server::events_since(const std::string& kind,
                                          std::uint64_t from) const
{
    json events = json::array();
    for (const change& each : history_)
        if (each.revision > from && each.kind == kind)
            events.push_back(each.event);
    return events;
}

store_server::response store_server::write(const request& asked,
                                           const std::string& kind,
                                           const std::string& name)
{
    const json given = json::parse(asked.body(), nullptr, false);
    auto& objects = objects_[kind];
    if (asked.method() == http::verb::delete_) {
        if (!objects.contains(name))
            return make_answer(http::status::not_found, {});
        erase(kind, name);
        return make_answer(http::status::ok, {});
    }
    if (!given.is_object() || !given.contains("metadata"))
        return make_answer(http::status::bad_request, {});
    const bool creates = asked.method() == http::verb::post;
    const std::string own =
        creates ? given["metadata"].value("name", "") : name;
    if (creates == objects.contains(own))
        return make_answer(
            creates ? http::status::conflict : http::status::not_found, {});
    put(kind, own, given["spec"]);
    return make_answer(http::status::ok, objects[own]);
}

task<void> store_server::write_late(request asked, std::string kind,
                                    std::string name)
{
    co_await pause(late_write_time);
    write(asked, kind, name);
}

} // namespace oriolefall::soak
