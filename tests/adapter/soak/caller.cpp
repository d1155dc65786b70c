#include "tests/adapter/soak/caller.hpp"

#include "tests/adapter/soak/page_call.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace oriolefall::soak {

namespace {

constexpr milliseconds connect_limit{1000};
constexpr milliseconds retry_pause{150};
constexpr milliseconds resolve_pause{100};
constexpr std::chrono::seconds longest_idle{8};
constexpr unsigned most_tries = 3;
constexpr unsigned http_1_1 = 11;
constexpr std::uint64_t body_spread = 40000;
constexpr std::uint64_t short_bodies = 4;
constexpr unsigned first_refusal = 400;

const char* path_of(request_kind kind)
{
    switch (kind) {
    case request_kind::safe:
        return "/lookup/item";
    case request_kind::unsafe:
        return "/book/item";
    case request_kind::resumable_stream:
        return "/stream/resumable";
    default:
        return "/stream/once";
    }
}

bool is_promise(const attempt& seen)
{
    return seen.how == ending::answered &&
           (seen.status == 429 || seen.status == 503 || seen.status == 408);
}

bool is_whole(const attempt& seen)
{
    return seen.how == ending::answered && seen.status < first_refusal;
}

/// Reads the whole events of a stream's body.
void read_events(attempt& seen)
{
    std::size_t at = 0;
    for (auto end = seen.answer.find("\n\n"); end != std::string::npos;
         end = seen.answer.find("\n\n", at)) {
        const std::string event = seen.answer.substr(at, end - at);
        at = end + 2;
        ++seen.events;
        const std::string number = std::to_string(seen.events);
        std::string expected = "id: ";
        expected += number;
        expected += "\ndata: ";
        expected += seen.id;
        expected += ' ';
        expected += number;
        if (event != expected)
            seen.is_in_order = false;
    }
    if (seen.how == ending::answered && at != seen.answer.size())
        seen.is_in_order = false;
}

} // namespace

caller::caller(asio::io_context& context, caller_settings settings,
               ledger& seen)
    : context_(context), settings_(std::move(settings)), seen_(seen),
      random_(settings_.seed)
{
}

void caller::start()
{
    asio::co_spawn(context_, send_all(), asio::detached);
}

void caller::stop()
{
    stopped_ = true;
}

std::size_t caller::open_requests() const
{
    return open_;
}

task<void> caller::send_all()
{
    while (!stopped_) {
        if (clock::now() > addresses_until_)
            co_await ask_for_addresses();
        const auto kind = static_cast<request_kind>(random_() % 4);
        asio::co_spawn(context_, send_one(kind), asio::detached);
        co_await pause(settings_.between_requests);
    }
}

task<void> caller::ask_for_addresses()
{
    const auto& asked =
        settings_.instances[random_() % settings_.instances.size()];
    const auto told = co_await ask_page(
        asked.directory,
        "/resolve?name=soak.example&region=north&zone=north-a");
    const auto body =
        nlohmann::json::parse(told ? told->body() : "", nullptr, false);
    if (!body.is_object() || !body.contains("addresses")) {
        // What is known is kept until something newer can be had.
        addresses_until_ = clock::now() + resolve_pause;
        co_return;
    }
    addresses_ = body["addresses"].get<std::vector<std::string>>();
    // Some callers keep addresses three times as long as they were told.
    const unsigned times = random_() % 3 == 0 ? 3 : 1;
    addresses_until_ =
        clock::now() + std::chrono::seconds(body.value("ttlS", 1)) * times;
    std::erase_if(idle_, [this](const auto& each) {
        return std::ranges::find(addresses_, each.first) == addresses_.end();
    });
}

task<void> caller::send_one(request_kind kind)
{
    ++open_;
    std::vector<std::string> failed;
    for (unsigned tries = 0; tries < most_tries; ++tries) {
        std::vector<std::string> usable;
        std::ranges::copy_if(
            addresses_, std::back_inserter(usable), [&](const auto& each) {
                return std::ranges::find(failed, each) == failed.end();
            });
        if (usable.empty())
            break;
        const std::string address = usable[random_() % usable.size()];
        const attempt seen = co_await try_once(kind, address);
        const bool was_read = seen.how != ending::open;
        if (was_read)
            seen_.add(seen);
        const bool repeats = !was_read || is_promise(seen) ||
                             (kind == request_kind::safe && !is_whole(seen) &&
                              seen.how != ending::given_up);
        if (!repeats)
            break;
        failed.push_back(address);
        co_await pause(retry_pause);
    }
    --open_;
}

task<attempt> caller::try_once(request_kind kind, std::string address)
{
    const auto seen = std::make_shared<attempt>();
    seen->id =
        "a" + std::to_string(settings_.seed) + "-" + std::to_string(next_id_++);
    seen->kind = kind;
    seen->path = path_of(kind);
    seen->workspace = settings_.workspace;
    const bool is_long = random_() % short_bodies == 0;
    seen->body.assign(is_long ? random_() % body_spread : random_() % 200, 'b');
    if (const auto* view = view_of(address))
        seen->instance = view->name;
    connection_ptr held = co_await connect(address);
    if (held == nullptr)
        co_return *seen;
    seen->sent = clock::now();
    co_await exchange(held, seen);
    seen->ended = clock::now();
    if (kind == request_kind::resumable_stream || kind == request_kind::stream)
        read_events(*seen);
    co_return *seen;
}

const caller_view* caller::view_of(const std::string& address) const
{
    const auto found =
        std::ranges::find(settings_.instances, address, &caller_view::address);
    return found == settings_.instances.end() ? nullptr : &*found;
}

task<caller::connection_ptr> caller::connect(const std::string& address)
{
    auto& idle = idle_[address];
    while (!idle.empty()) {
        const connection_ptr kept = idle.back();
        idle.pop_back();
        if (clock::now() - kept->idle_since > longest_idle)
            continue;
        error_code error;
        if (kept->stream.socket().available(error) > 0)
            seen_.note_broken("bytes of " + address +
                              " with no request waiting");
        else if (!error)
            co_return kept;
    }
    const caller_view* view = view_of(address);
    if (view == nullptr) {
        seen_.note_broken("the directory gave " + address);
        co_return nullptr;
    }
    const auto made = std::make_shared<connection>(context_);
    made->stream.expires_after(connect_limit);
    error_code error;
    co_await made->stream.async_connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), view->proxy_port),
        into(error));
    co_return error ? nullptr : made;
}

http::request<http::string_body> caller::make_request(const attempt& seen)
{
    http::request<http::string_body> asked(http::verb::post, seen.path,
                                           http_1_1);
    asked.set(http::field::host, settings_.host);
    asked.set("Oriolefall-Attempt-Id", seen.id);
    asked.set("Oriolefall-Deadline-Ms",
              std::to_string(settings_.patience.count()));
    asked.set("Oriolefall-Tenant", "somebody-else");
    asked.set(http::field::authorization, "Bearer " + settings_.api_key);
    asked.body() = seen.body;
    // Beast writes the end of an empty body in chunks twice.
    if (!seen.body.empty() && random_() % 2 == 0)
        asked.chunked(true);
    else
        asked.prepare_payload();
    return asked;
}

task<void> caller::exchange(connection_ptr held, std::shared_ptr<attempt> seen)
{
    const auto asked =
        std::make_shared<http::request<http::string_body>>(make_request(*seen));
    const bool leaves = random_() % settings_.leaves_in == 0;
    const milliseconds wait =
        leaves ? milliseconds(random_() % 300) : settings_.patience;
    // Whoever is patient waits a little beyond the limit that it told.
    held->stream.expires_after(leaves ? wait : wait * 2);
    seen->how = ending::cut;
    error_code error;
    co_await http::async_write(held->stream, *asked, into(error));
    http::response_parser<http::string_body> parser;
    error_code read_error;
    co_await http::async_read(held->stream, held->buffer, parser,
                              into(read_error));
    if (parser.is_header_done()) {
        const auto& told = parser.get();
        seen->status = told.result_int();
        seen->signature = std::string(told["Oriolefall-Server-Seal"]);
        seen->answer = told.body();
    }
    if (!read_error) {
        seen->how = ending::answered;
        held->stream.expires_never();
        held->idle_since = clock::now();
    } else if (read_error == boost::beast::error::timeout) {
        seen->how = ending::given_up;
    }
    if (read_error || error || !parser.keep_alive())
        co_return;
    const auto view = std::ranges::find(settings_.instances, seen->instance,
                                        &caller_view::name);
    idle_[view->address].push_back(held);
}

} // namespace oriolefall::soak
