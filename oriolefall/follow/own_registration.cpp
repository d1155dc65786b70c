#include "oriolefall/follow/own_registration.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace oriolefall::follow {

namespace {

/// Lists after a write that may be older than the write.
constexpr std::uint32_t max_lists_before_write_shows = 2;

/// Why the answer to a list is no page.
std::string cause_of(const call_result& result)
{
    const auto* failed = std::get_if<call_failed>(&result);
    return failed != nullptr ? failed->cause : "answer that is no list";
}

} // namespace

own_registration::own_registration(asio::io_context& context,
                                   core::endpoint store,
                                   registration_settings settings,
                                   store_protocol protocol,
                                   registration_hooks hooks)
    : context_(context), store_(std::move(store)), settings_(settings),
      protocol_(std::move(protocol)), hooks_(std::move(hooks)),
      list_connection_(std::make_shared<store_connection>(
          context_, store_, list_connection_settings)),
      list_timer_(context_)
{
}

void own_registration::start(own_object own)
{
    own_ = std::move(own);
    start_list();
}

const own_object& own_registration::own() const
{
    return own_;
}

void own_registration::start_list()
{
    const list_call call{own_.collection, list_.cursor(), true};
    const store_request request{
        http::verb::get, protocol_.target(call), {}, settings_.answer_timeout};
    list_connection_->call(request, [this, call](const store_result& result) {
        on_list_page(call, result);
    });
}

void own_registration::on_list_page(const list_call& call,
                                    const store_result& result)
{
    const auto [read_result, epoch] = read_answer(protocol_, call, result);
    const auto* page = std::get_if<list_page>(&read_result);
    if (page == nullptr) {
        on_list_failed(cause_of(read_result));
        return;
    }
    if (epoch.value_or(epoch_) < epoch_) {
        on_list_failed("list of an earlier epoch");
        return;
    }
    switch (list_.add(*page)) {
    case list_progress::more:
        start_list();
        break;
    case list_progress::complete:
        finish_list();
        break;
    case list_progress::stalled:
        on_list_failed(stalled_list_cause);
        break;
    }
}

void own_registration::on_list_failed(const std::string& cause)
{
    if (!std::exchange(is_unreachable_, true))
        hooks_.on_unreachable_changed(true, cause);
    list_.restart();
    schedule_list(settings_.retry_delay);
}

void own_registration::finish_list()
{
    ++list_count_;
    if (std::exchange(is_unreachable_, false))
        hooks_.on_unreachable_changed(false, "");
    std::vector<stored_object> listed;
    std::ranges::copy(list_.objects() | std::views::values,
                      std::back_inserter(listed));
    hooks_.on_listed(listed);
    // The object of the previous start of this instance is as good as a new
    // one. Another instance may have removed it, believing this one dead.
    const bool is_registered =
        std::ranges::any_of(listed, [this](const stored_object& object) {
            return object.name == own_.name && object.value == own_.value;
        });
    list_.restart();
    const bool may_predate_write =
        is_written_ &&
        list_count_ - list_count_at_write_ <= max_lists_before_write_shows;
    if (!is_registered && !may_predate_write && !is_leaving_)
        write_own_object();
    else
        schedule_list(next_list_delay());
}

std::chrono::milliseconds own_registration::next_list_delay() const
{
    return list_count_ <= settings_.early_list_count
               ? settings_.early_list_interval
               : settings_.list_interval;
}

void own_registration::schedule_list(std::chrono::milliseconds delay)
{
    is_list_scheduled_ = true;
    list_timer_.expires_after(delay);
    list_timer_.async_wait([this](const error_code& error) {
        if (error)
            return;
        is_list_scheduled_ = false;
        start_list();
    });
}

void own_registration::on_store_restored(std::uint64_t epoch)
{
    // Each followed collection tells of the same restore.
    if (epoch <= epoch_)
        return;
    epoch_ = epoch;
    is_written_ = false;
    if (is_list_scheduled_ && !is_leaving_)
        schedule_list(settings_.retry_delay);
}

void own_registration::write_own_object()
{
    try_in_order(protocol_.put(own_.collection, own_.name, own_.value), 0,
                 [this](bool is_written) {
                     if (is_leaving_)
                         return;
                     is_written_ = is_written;
                     list_count_at_write_ = list_count_;
                     schedule_list(is_written ? next_list_delay()
                                              : settings_.retry_delay);
                 });
}

void own_registration::try_in_order(std::vector<store_request> calls,
                                    std::size_t index,
                                    std::function<void(bool)> on_done)
{
    if (index >= calls.size()) {
        on_done(false);
        return;
    }
    const auto connection =
        std::make_shared<store_connection>(context_, store_);
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

void own_registration::leave()
{
    is_leaving_ = true;
    list_timer_.cancel();
    remove(own_.collection, own_.name);
}

void own_registration::remove(const std::string& collection,
                              const std::string& name)
{
    try_in_order({protocol_.remove(collection, name)}, 0, [](bool) {});
}

} // namespace oriolefall::follow
