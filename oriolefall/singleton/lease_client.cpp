#include "oriolefall/singleton/lease_client.hpp"

#include "oriolefall/net/guarded.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::singleton {

lease_client::lease_client(lease_client_settings settings,
                           const duty_protocol& protocol,
                           std::shared_ptr<follow::store_connection> connection,
                           lease_client_hooks hooks)
    : settings_(std::move(settings)), protocol_(protocol),
      connection_(std::move(connection)), hooks_(std::move(hooks)),
      lease_(settings_.instance, settings_.lease)
{
}

void lease_client::set_candidate(bool is_candidate)
{
    if (is_candidate && !is_candidate_)
        needs_read_ = true;
    is_candidate_ = is_candidate;
}

void lease_client::step(absl::Time now, bool may_release)
{
    if (is_calling_)
        return;
    const bool is_held = lease_.is_held(now);
    if (!is_candidate_) {
        if (!is_held || !may_release)
            return;
        if (const auto due = lease_.release(now))
            write(*due);
        return;
    }
    if (needs_read_ && now >= read_at_) {
        read();
        return;
    }
    // A store that can't be read is not written to, but by the holder.
    if (!needs_read_ || is_held) {
        if (const auto due = lease_.due_write(now)) {
            write(*due);
            return;
        }
    }
    if (!is_held && now >= read_at_)
        read();
}

absl::Time lease_client::next_at(absl::Time now) const
{
    if (is_calling_)
        return absl::InfiniteFuture();
    const bool is_held = lease_.is_held(now);
    absl::Time next = absl::InfiniteFuture();
    if (is_held)
        next = lease_.held_until();
    if (!is_candidate_)
        return next;
    if (!needs_read_ || is_held)
        next = std::min(next, lease_.next_write_at());
    if (needs_read_ || !is_held)
        next = std::min(next, read_at_);
    return next;
}

void lease_client::read()
{
    is_calling_ = true;
    follow::store_request request =
        protocol_.read(settings_.collection, settings_.name);
    request.timeout = settings_.answer_timeout;
    connection_->call(request, [this](const follow::store_result& result) {
        on_read(result);
    });
}

void lease_client::on_read(const follow::store_result& result)
{
    is_calling_ = false;
    const absl::Time now = hooks_.clock();
    const auto* answer = std::get_if<follow::store_answer>(&result);
    needs_read_ = answer == nullptr || !take(now, *answer);
    if (std::exchange(unconfirmed_, std::nullopt))
        lease_.on_write_failed(now);
    plan_read(now);
    hooks_.on_call_ended();
}

void lease_client::plan_read(absl::Time now)
{
    if (needs_read_ && lease_.is_held(now))
        read_at_ = now + settings_.holder_read_interval;
    else
        read_at_ = now + settings_.read_interval *
                             (1 - settings_.read_jitter * hooks_.random());
}

bool lease_client::take(absl::Time now, const follow::store_answer& answer)
{
    bool is_taken = false;
    const auto on_error = [](std::string_view, std::string_view) {};
    static_cast<void>(net::run_guarded(on_error, "lease", [&] {
        const auto epoch = protocol_.epoch(answer);
        const read_result found = protocol_.parse_read(answer);
        if (!epoch || std::holds_alternative<follow::call_failed>(found))
            return;
        is_taken = true;
        if (hooks_.on_epoch)
            hooks_.on_epoch(*epoch);
        const auto* object = std::get_if<duties::object_version>(&found);
        if (object == nullptr) {
            lease_.on_absent(now, *epoch);
            return;
        }
        // A value that can't be read is waited out as if it were held.
        const leasing::lease value =
            protocol_.parse_lease(object->value).value_or(leasing::lease{});
        const leasing::lease_version version{*epoch, object->revision};
        const auto confirmed = std::exchange(unconfirmed_, std::nullopt);
        if (confirmed && confirmed->lease == value &&
            confirmed->expected_version < version.revision)
            lease_.on_write_applied(now, version);
        else if (confirmed)
            lease_.on_write_failed(now);
        lease_.on_received(now, value, version);
    }));
    return is_taken;
}

void lease_client::write(const leasing::write_lease& value)
{
    is_calling_ = true;
    follow::store_request request =
        protocol_.write({settings_.collection, settings_.name,
                         protocol_.print_lease(value), value.expected_version});
    request.timeout = settings_.answer_timeout;
    connection_->call(request,
                      [this, value](const follow::store_result& result) {
                          on_written(value, result);
                      });
}

void lease_client::on_written(const leasing::write_lease& written,
                              const follow::store_result& result)
{
    is_calling_ = false;
    const absl::Time now = hooks_.clock();
    const std::optional<leasing::lease_version> version =
        written_version(result);
    const bool is_known = version && version->epoch == written.epoch;
    needs_read_ = true;
    read_at_ = now;
    if (is_known && version->revision > written.expected_version) {
        lease_.on_write_applied(now, *version);
        needs_read_ = false;
        plan_read(now);
    } else if (is_known && version->revision == 0) {
        unconfirmed_ = written;
    } else {
        lease_.on_write_failed(now);
    }
    hooks_.on_call_ended();
}

std::optional<leasing::lease_version>
lease_client::written_version(const follow::store_result& result) const
{
    std::optional<leasing::lease_version> version;
    const auto* answer = std::get_if<follow::store_answer>(&result);
    if (answer == nullptr)
        return version;
    const auto on_error = [](std::string_view, std::string_view) {};
    static_cast<void>(net::run_guarded(on_error, "lease", [&] {
        const auto epoch = protocol_.epoch(*answer);
        const duties::task_result parsed = protocol_.parse_write(*answer);
        const auto* applied = std::get_if<duties::object_written>(&parsed);
        if (epoch && applied != nullptr)
            version = {*epoch, applied->revision};
    }));
    return version;
}

} // namespace oriolefall::singleton
