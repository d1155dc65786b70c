#include "oriolefall/follow/store_duty.hpp"

#include "oriolefall/core/clock.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::follow {

namespace {

constexpr unsigned success_class = 2;
/// All instances may start together: the first list shows few of them.
constexpr std::uint32_t fresh_lists = 2;

bool is_success(const store_result& result)
{
    const auto* answer = std::get_if<store_answer>(&result);
    return answer != nullptr && answer->status / 100 == success_class;
}

std::chrono::milliseconds wait_of(const read_call& call)
{
    if (const auto* watch = std::get_if<watch_call>(&call))
        return absl::ToChronoMilliseconds(watch->wait);
    return std::chrono::milliseconds::zero();
}

} // namespace

/// One followed collection with its connection.
struct store_duty::followed
{
    followed(asio::io_context& context, const core::endpoint& store,
             follower_settings wanted)
        : name(wanted.collection), state(std::move(wanted)),
          line(std::make_shared<store_line>(context, store)), call_at(context),
          expire_at(context)
    {
    }

    std::string name;
    collection_follower state;
    std::shared_ptr<store_line> line;
    asio::steady_timer call_at;
    asio::steady_timer expire_at;
};

store_duty::store_duty(store_duty_settings settings, store_protocol protocol,
                       store_duty_hooks hooks)
    : settings_(std::move(settings)), protocol_(std::move(protocol)),
      hooks_(std::move(hooks)),
      list_line_(std::make_shared<store_line>(context_, settings_.store)),
      list_timer_(context_), write_timer_(context_)
{
}

store_duty::~store_duty()
{
    stop();
}

void store_duty::start(const own_object& own)
{
    own_ = own;
    for (const follower_settings& wanted : settings_.followed) {
        followed_.push_back(
            std::make_unique<followed>(context_, settings_.store, wanted));
        call_next(*followed_.back());
    }
    asio::post(context_, [this] { write_own(); });
    thread_.emplace("store", [this] {
        const auto work = asio::make_work_guard(context_);
        context_.run();
    });
}

void store_duty::stop()
{
    context_.stop();
    thread_.reset();
}

void store_duty::call_next(followed& each)
{
    const auto [call, at] = each.state.next_call();
    const absl::Duration pause = at - core::monotonic_now();
    if (pause > absl::ZeroDuration()) {
        each.call_at.expires_after(absl::ToChronoMilliseconds(pause) +
                                   std::chrono::milliseconds(1));
        each.call_at.async_wait([this, &each](const error_code& stopped) {
            if (!stopped)
                call_next(each);
        });
        return;
    }
    const store_request request{http::verb::get,
                                protocol_.target(call),
                                {},
                                settings_.answer_limit + wait_of(call)};
    each.line->call(request,
                    [this, &each, call = call](const store_result& result) {
                        on_result(each, call, result);
                    });
}

void store_duty::on_result(followed& each, const read_call& call,
                           const store_result& result)
{
    const absl::Time now = core::monotonic_now();
    call_result read;
    if (const auto* answer = std::get_if<store_answer>(&result))
        read = protocol_.read(call, *answer);
    else
        read = call_failed{std::get<store_silent>(result).cause};
    const bool was_away = each.state.is_away();
    const bool changed = each.state.take(now, read);
    if (each.state.is_away() != was_away) {
        const auto* failure = std::get_if<call_failed>(&read);
        hooks_.away(each.name, each.state.is_away(),
                    failure != nullptr ? failure->cause : "");
    }
    if (changed)
        hooks_.changed(each.name, each.state.view());
    watch_expiry(each);
    call_next(each);
}

void store_duty::watch_expiry(followed& each)
{
    const absl::Time due = each.state.next_expiry();
    if (due == absl::InfiniteFuture())
        return;
    const absl::Duration left =
        std::max(due - core::monotonic_now(), absl::ZeroDuration());
    each.expire_at.expires_after(absl::ToChronoMilliseconds(left) +
                                 std::chrono::milliseconds(1));
    each.expire_at.async_wait([this, &each](const error_code& stopped) {
        if (!stopped && each.state.expire(core::monotonic_now()))
            hooks_.changed(each.name, each.state.view());
    });
}

void store_duty::list()
{
    const list_call call{settings_.listed, list_after_, lists_ >= fresh_lists};
    const store_request request{
        http::verb::get, protocol_.target(call), {}, settings_.answer_limit};
    list_line_->call(request, [this, call](const store_result& result) {
        on_listed(call, result);
    });
}

void store_duty::on_listed(const list_call& call, const store_result& result)
{
    const auto* answer = std::get_if<store_answer>(&result);
    const call_result read = answer != nullptr
                                 ? protocol_.read(call, *answer)
                                 : call_result(call_failed{"no answer"});
    const auto* page = std::get_if<list_page>(&read);
    if (page == nullptr) {
        list_after_.clear();
        listed_.clear();
        list_after(settings_.write_pause);
        return;
    }
    listed_.insert(listed_.end(), page->objects.begin(), page->objects.end());
    if (page->has_more && !page->objects.empty()) {
        list_after_ = page->objects.back().name;
        list();
        return;
    }
    finish_list();
}

void store_duty::finish_list()
{
    ++lists_;
    hooks_.listed(listed_);
    const bool is_there =
        std::ranges::any_of(listed_, [this](const stored_object& each) {
            return each.name == own_.name;
        });
    list_after_.clear();
    listed_.clear();
    // Another instance may have taken this one for dead.
    if (!is_there && !leaving_ && lists_ > fresh_lists) {
        write_own();
        return;
    }
    list_after(settings_.list_pause);
}

void store_duty::list_after(std::chrono::milliseconds pause)
{
    list_timer_.expires_after(pause);
    list_timer_.async_wait([this](const error_code& stopped) {
        if (!stopped)
            list();
    });
}

void store_duty::write_own()
{
    try_writes(protocol_.put(own_.collection, own_.name, own_.value), 0,
               [this](bool done) {
                   if (leaving_)
                       return;
                   if (done) {
                       list();
                       return;
                   }
                   write_timer_.expires_after(settings_.write_pause);
                   write_timer_.async_wait([this](const error_code& stopped) {
                       if (!stopped)
                           write_own();
                   });
               });
}

void store_duty::try_writes(std::vector<store_request> calls, std::size_t at,
                            std::function<void(bool)> done)
{
    if (at >= calls.size()) {
        done(false);
        return;
    }
    const auto line = std::make_shared<store_line>(context_, settings_.store);
    const store_request& request = calls[at];
    line->call(request, [this, line, calls, at, done = std::move(done)](
                            const store_result& result) mutable {
        if (is_success(result))
            done(true);
        else
            try_writes(std::move(calls), at + 1, std::move(done));
    });
}

void store_duty::leave()
{
    asio::post(context_, [this] {
        leaving_ = true;
        list_timer_.cancel();
        write_timer_.cancel();
        try_writes({protocol_.remove(own_.collection, own_.name)}, 0,
                   [](bool) {});
    });
}

void store_duty::remove(const std::string& collection, const std::string& name)
{
    asio::post(context_, [this, collection, name] {
        try_writes({protocol_.remove(collection, name)}, 0, [](bool) {});
    });
}

} // namespace oriolefall::follow
