#include "tests/adapter/soak/work_server.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace oriolefall::soak {

namespace {

constexpr unsigned slow_times = 20;
constexpr unsigned grey_in = 3;
/// Requests that wait for a slot, in slots.
constexpr unsigned queue_slots = 2;
constexpr milliseconds hang_step{500};

/// The head of a stream that ends with its connection, or comes in chunks.
std::string stream_head(bool is_framed)
{
    return std::string("Content-Type: text/event-stream\r\n") +
           (is_framed ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
}

std::string format_chunk(const std::string& data)
{
    std::array<char, 16> size{};
    const auto end =
        std::to_chars(size.data(), size.data() + size.size(), data.size(), 16);
    return std::string(size.data(), end.ptr) + "\r\n" + data + "\r\n";
}

/// A header of a request, empty when there is none.
template <class Request>
std::string field(const Request& asked, const char* name)
{
    return std::string(asked[name]);
}

} // namespace

work_server::work_server(asio::io_context& context,
                         work_server_settings settings, ledger& seen,
                         std::uint64_t seed)
    : context_(context), settings_(std::move(settings)), seen_(seen),
      random_(seed)
{
}

void work_server::start(std::uint16_t port)
{
    acceptor_ = std::make_unique<tcp::acceptor>(
        context_, tcp::endpoint(asio::ip::address_v4::loopback(), port));
    asio::co_spawn(context_, accept(), asio::detached);
}

std::uint16_t work_server::port() const
{
    return acceptor_->local_endpoint().port();
}

const work_server_settings& work_server::settings() const
{
    return settings_;
}

void work_server::set_fault(server_fault fault)
{
    fault_ = fault;
}

void work_server::set_leaving()
{
    is_leaving_ = true;
}

bool work_server::is_running() const
{
    return acceptor_ != nullptr;
}

void work_server::crash()
{
    acceptor_.reset();
    for (const socket_ptr& each : sockets_) {
        error_code ignored;
        each->set_option(asio::socket_base::linger(true, 0), ignored);
        each->close(ignored);
    }
    sockets_.clear();
    running_ = 0;
}

task<void> work_server::accept()
{
    const auto self = shared_from_this();
    while (acceptor_) {
        error_code error;
        tcp::socket socket = co_await acceptor_->async_accept(into(error));
        if (error)
            co_return;
        const auto held = std::make_shared<tcp::socket>(std::move(socket));
        sockets_.insert(held);
        asio::co_spawn(context_, serve(held), asio::detached);
    }
}

task<void> work_server::serve(socket_ptr socket)
{
    const auto self = shared_from_this();
    boost::beast::flat_buffer buffer;
    bool goes_on = true;
    while (goes_on) {
        request asked;
        error_code error;
        co_await http::async_read(*socket, buffer, asked, into(error));
        if (error)
            break;
        goes_on = co_await handle(socket, asked);
    }
    error_code ignored;
    socket->close(ignored);
    sockets_.erase(socket);
}

task<bool> work_server::handle(const socket_ptr& socket, const request& asked)
{
    const std::string id = field(asked, "Oriolefall-Attempt-Id");
    const std::string wanted = field(asked, "Oriolefall-Expect-Instance");
    if (!wanted.empty() && wanted != settings_.id)
        co_return co_await refuse(socket, id,
                                  http::status::misdirected_request);
    seen_.note_arrival({id, settings_.id, clock::now()});
    if (fault_ == server_fault::wants_quiet ||
        running_ >= settings_.slots * queue_slots)
        co_return co_await refuse(socket, id,
                                  http::status::service_unavailable);
    run& begun = seen_.begin_run(
        id, {settings_.id, settings_.service, std::string(asked.target()),
             asked.body(), field(asked, "Oriolefall-Tenant"), clock::now()});
    ++running_;
    const bool waits = fault_ == server_fault::hangs;
    while (waits && socket->is_open())
        co_await pause(hang_step);
    co_await pause(settings_.work *
                   (fault_ == server_fault::slow ? slow_times : 1));
    const bool is_stream =
        std::string(asked.target()).find("stream") != std::string::npos;
    bool goes_on = false;
    if (is_stream && fault_ != server_fault::loses_answers)
        goes_on = co_await stream(socket, asked);
    else if (fault_ != server_fault::loses_answers)
        goes_on = co_await answer(socket, id, begun);
    running_ -= running_ > 0 ? 1 : 0;
    co_return goes_on;
}

task<bool> work_server::refuse(const socket_ptr& socket, const std::string& id,
                               http::status status)
{
    std::string text =
        head(id, std::to_string(static_cast<unsigned>(status)) + " Not run");
    if (fault_ == server_fault::wants_quiet &&
        status == http::status::service_unavailable) {
        seen_.note_quiet({id, settings_.id, clock::now()},
                         clock::now() + quiet_time);
        text += "Retry-After: " + std::to_string(quiet_time.count()) + "\r\n";
    }
    text += "Oriolefall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    error_code error;
    co_await asio::async_write(*socket, asio::buffer(text), into(error));
    co_return !error;
}

std::string work_server::head(const std::string& id, const std::string& status)
{
    if (is_leaving_)
        seen_.note_said_leaving({id, settings_.id, clock::now()});
    return "HTTP/1.1 " + status + "\r\nOriolefall-Attempt-Id: " + id +
           "\r\nOriolefall-Server-Load: " + std::to_string(running_) + ",0," +
           std::to_string(settings_.slots) + "\r\n" +
           (is_leaving_ ? "Server-Leaving: 1\r\n" : "");
}

task<bool> work_server::answer(const socket_ptr& socket, const std::string& id,
                               run& begun)
{
    const bool fails = fault_ == server_fault::grey && random_() % grey_in == 0;
    begun.was_failure = fails;
    const std::string body = answer_of(id, settings_.id);
    std::string text =
        head(id, fails ? "500 Internal Server Error" : "200 OK") +
        "Oriolefall-Server-Seal: " + signature_of(id, settings_.id) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    if (fault_ == server_fault::garbles) {
        begun.was_failure = random_() % 2 == 0;
        text = begun.was_failure ? "no answer in the protocol\r\n\r\n"
                                 : text + text;
    }
    error_code error;
    co_await asio::async_write(*socket, asio::buffer(text), into(error));
    co_return !error;
}

task<bool> work_server::stream(const socket_ptr& socket, const request& asked)
{
    const std::string id = field(asked, "Oriolefall-Attempt-Id");
    const std::string after = field(asked, "Last-Event-Id");
    unsigned last = 0;
    std::from_chars(after.data(), after.data() + after.size(), last);
    last = std::min(last, settings_.stream_events);
    const bool garbles = fault_ == server_fault::garbles && random_() % 2 == 0;
    const bool is_framed = !garbles || random_() % 2 == 0;
    // Garbage may also come behind the last event.
    const unsigned garbage_after =
        garbles ? last + random_() % (settings_.stream_events - last + 1) + 1
                : settings_.stream_events + 2;
    std::string text = head(id, "200 OK") + "Oriolefall-Server-Seal: " +
                       signature_of(id, settings_.id) + "\r\n" +
                       stream_head(is_framed);
    error_code error;
    for (unsigned event = last + 1; event <= settings_.stream_events; ++event) {
        const std::string data = "id: " + std::to_string(event) +
                                 "\ndata: " + id + " " + std::to_string(event) +
                                 "\n\n";
        const std::string bytes =
            (event == garbage_after ? garbage() : "") + data;
        text += is_framed ? format_chunk(bytes) : bytes;
        co_await asio::async_write(*socket, asio::buffer(text), into(error));
        if (error)
            co_return false;
        text.clear();
        co_await pause(settings_.event_pause);
        // A grey server breaks streams off in the middle.
        const bool breaks = fault_ == server_fault::grey &&
                            random_() % settings_.stream_events == 0;
        if (breaks)
            co_return false;
    }
    if (garbage_after == settings_.stream_events + 1)
        text = is_framed ? format_chunk(garbage()) : garbage();
    if (is_framed)
        text += "0\r\n\r\n";
    co_await asio::async_write(*socket, asio::buffer(text), into(error));
    co_return is_framed && !error;
}

std::string work_server::garbage()
{
    const std::string other = "HTTP/1.1 200 OK\r\nOriolefall-Attempt-Id: other"
                              "\r\nContent-Length: 5\r\n\r\nother";
    const std::array<std::string, 4> forms{other + "\r\n\r\n", "no event\n\n",
                                           "\n\nno event\r\n\r\n",
                                           "data: no number\n\n"};
    return forms.at(random_() % forms.size());
}

} // namespace oriolefall::soak
