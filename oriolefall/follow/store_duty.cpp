#include "oriolefall/follow/store_duty.hpp"

#include "oriolefall/core/clock.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::follow {

namespace {

constexpr unsigned success_status_class = 2;
/// Number of lists after the start that must be fresh. Instances may start
/// together, so that the first list contains only a few of them.
constexpr std::uint32_t fresh_list_count = 2;

bool is_success(const store_result& result)
{
    const auto* answer = std::get_if<store_answer>(&result);
    return answer != nullptr && answer->status / 100 == success_status_class;
}

std::chrono::milliseconds watch_timeout_of(const read_call& call)
{
    if (const auto* watch = std::get_if<watch_call>(&call))
        return absl::ToChronoMilliseconds(watch->timeout);
    return std::chrono::milliseconds::zero();
}

} // namespace

/// A followed collection with its connection and timers.
struct store_duty::followed_collection
{
    followed_collection(asio::io_context& context, const core::endpoint& store,
                        follower_settings settings)
        : name(settings.collection), follower(std::move(settings)),
          connection(std::make_shared<store_connection>(context, store)),
          call_timer(context), expiry_timer(context)
    {
    }

    std::string name;
    collection_follower follower;
    std::shared_ptr<store_connection> connection;
    asio::steady_timer call_timer;
    asio::steady_timer expiry_timer;
};

store_duty::store_duty(store_duty_settings settings, store_protocol protocol,
                       store_duty_hooks hooks)
    : settings_(std::move(settings)), protocol_(std::move(protocol)),
      hooks_(std::move(hooks)),
      list_connection_(
          std::make_shared<store_connection>(context_, settings_.store)),
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
    for (const follower_settings& settings : settings_.followed_collections) {
        followed_collections_.push_back(std::make_unique<followed_collection>(
            context_, settings_.store, settings));
        start_next_call(*followed_collections_.back());
    }
    asio::post(context_, [this] { write_own_object(); });
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

void store_duty::start_next_call(followed_collection& collection)
{
    const auto [call, call_at] = collection.follower.next_call();
    const absl::Duration delay = call_at - core::monotonic_now();
    if (delay > absl::ZeroDuration()) {
        collection.call_timer.expires_after(absl::ToChronoMilliseconds(delay) +
                                            std::chrono::milliseconds(1));
        collection.call_timer.async_wait(
            [this, &collection](const error_code& error) {
                if (!error)
                    start_next_call(collection);
            });
        return;
    }
    const store_request request{http::verb::get,
                                protocol_.target(call),
                                {},
                                settings_.answer_timeout +
                                    watch_timeout_of(call)};
    collection.connection->call(
        request, [this, &collection, call = call](const store_result& result) {
            on_result(collection, call, result);
        });
}

void store_duty::on_result(followed_collection& collection,
                           const read_call& call, const store_result& result)
{
    const absl::Time now = core::monotonic_now();
    call_result read_result;
    if (const auto* answer = std::get_if<store_answer>(&result))
        read_result = protocol_.parse(call, *answer);
    else
        read_result = call_failed{std::get<store_failure>(result).cause};
    const bool was_unreachable = collection.follower.is_unreachable();
    const bool has_changed = collection.follower.on_result(now, read_result);
    if (collection.follower.is_unreachable() != was_unreachable) {
        const auto* failure = std::get_if<call_failed>(&read_result);
        hooks_.on_unreachable_changed(collection.name,
                                      collection.follower.is_unreachable(),
                                      failure != nullptr ? failure->cause : "");
    }
    if (has_changed)
        hooks_.on_changed(collection.name, collection.follower.view());
    schedule_expiry(collection);
    start_next_call(collection);
}

void store_duty::schedule_expiry(followed_collection& collection)
{
    const absl::Time due = collection.follower.next_expiry();
    if (due == absl::InfiniteFuture())
        return;
    const absl::Duration remaining =
        std::max(due - core::monotonic_now(), absl::ZeroDuration());
    collection.expiry_timer.expires_after(
        absl::ToChronoMilliseconds(remaining) + std::chrono::milliseconds(1));
    collection.expiry_timer.async_wait([this,
                                        &collection](const error_code& error) {
        if (!error && collection.follower.expire_stale(core::monotonic_now()))
            hooks_.on_changed(collection.name, collection.follower.view());
    });
}

void store_duty::start_list()
{
    const list_call call{settings_.listed_collection, list_cursor_,
                         completed_list_count_ >= fresh_list_count};
    const store_request request{
        http::verb::get, protocol_.target(call), {}, settings_.answer_timeout};
    list_connection_->call(request, [this, call](const store_result& result) {
        on_listed(call, result);
    });
}

void store_duty::on_listed(const list_call& call, const store_result& result)
{
    const auto* answer = std::get_if<store_answer>(&result);
    const call_result read_result = answer != nullptr
                                        ? protocol_.parse(call, *answer)
                                        : call_result(call_failed{"no answer"});
    const auto* page = std::get_if<list_page>(&read_result);
    if (page == nullptr) {
        list_cursor_.clear();
        listed_objects_.clear();
        schedule_list(settings_.write_retry_delay);
        return;
    }
    listed_objects_.insert(listed_objects_.end(), page->objects.begin(),
                           page->objects.end());
    if (page->has_more && !page->objects.empty()) {
        list_cursor_ = page->objects.back().name;
        start_list();
        return;
    }
    finish_list();
}

void store_duty::finish_list()
{
    ++completed_list_count_;
    hooks_.on_listed(listed_objects_);
    const bool has_own_object = std::ranges::any_of(
        listed_objects_, [this](const stored_object& object) {
            return object.name == own_.name;
        });
    list_cursor_.clear();
    listed_objects_.clear();
    // Another instance may have removed the object of this one because it
    // considered it dead.
    if (!has_own_object && !is_leaving_ &&
        completed_list_count_ > fresh_list_count) {
        write_own_object();
        return;
    }
    schedule_list(settings_.list_interval);
}

void store_duty::schedule_list(std::chrono::milliseconds delay)
{
    list_timer_.expires_after(delay);
    list_timer_.async_wait([this](const error_code& error) {
        if (!error)
            start_list();
    });
}

void store_duty::write_own_object()
{
    try_in_order(protocol_.put(own_.collection, own_.name, own_.value), 0,
                 [this](bool is_written) {
                     if (is_leaving_)
                         return;
                     if (is_written) {
                         start_list();
                         return;
                     }
                     write_timer_.expires_after(settings_.write_retry_delay);
                     write_timer_.async_wait([this](const error_code& error) {
                         if (!error)
                             write_own_object();
                     });
                 });
}

void store_duty::try_in_order(std::vector<store_request> calls,
                              std::size_t index,
                              std::function<void(bool)> on_done)
{
    if (index >= calls.size()) {
        on_done(false);
        return;
    }
    const auto connection =
        std::make_shared<store_connection>(context_, settings_.store);
    const store_request& request = calls[index];
    connection->call(
        request, [this, connection, calls, index, on_done = std::move(on_done)](
                     const store_result& result) mutable {
            if (is_success(result))
                on_done(true);
            else
                try_in_order(std::move(calls), index + 1, std::move(on_done));
        });
}

void store_duty::leave()
{
    asio::post(context_, [this] {
        is_leaving_ = true;
        list_timer_.cancel();
        write_timer_.cancel();
        try_in_order({protocol_.remove(own_.collection, own_.name)}, 0,
                     [](bool) {});
    });
}

void store_duty::remove(const std::string& collection, const std::string& name)
{
    asio::post(context_, [this, collection, name] {
        try_in_order({protocol_.remove(collection, name)}, 0, [](bool) {});
    });
}

} // namespace oriolefall::follow
