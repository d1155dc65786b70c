#include "oriolefall/leasing/lease.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace oriolefall::leasing {

namespace {
/// Renewals sent within the duration of a lease.
constexpr int renewals_per_duration = 3;
/// Position of the epoch in a fencing number.
constexpr unsigned epoch_shift = 32;
constexpr std::uint64_t max_revision = (std::uint64_t{1} << epoch_shift) - 2;
} // namespace

lease_manager::lease_manager(core::instance_id self, lease_settings settings)
    : self_(std::move(self)), settings_(settings)
{
    assert(!self_.value().empty());
    assert(settings_.margin * renewals_per_duration < settings_.duration);
}

void lease_manager::on_received(absl::Time now, const lease& value,
                                std::uint64_t version)
{
    on_received(now, value, lease_version{0, version});
}

void lease_manager::on_received(absl::Time now, const lease& value,
                                lease_version version)
{
    note_epoch(now, version.epoch);
    if (version <= version_)
        return;
    version_ = version;
    current_ = value;
    received_at_ = now;
    // A value that this instance has not written as the holder may have been
    // put over that of another holder by a write that was executed late.
    const bool is_own =
        value.holder == self_ &&
        (!uses_epochs() || value.fencing_number == fencing_number_);
    if (!is_own)
        held_until_ = absl::InfinitePast();
}

void lease_manager::on_absent(absl::Time now, std::uint64_t epoch)
{
    note_epoch(now, epoch);
    if (epoch < version_.epoch || version_ == lease_version{epoch, 0})
        return;
    version_ = {epoch, 0};
    current_ = {};
    received_at_ = now;
    held_until_ = absl::InfinitePast();
}

void lease_manager::note_epoch(absl::Time now, std::uint64_t epoch)
{
    if (!uses_epochs() || (is_version_known_ && epoch <= version_.epoch))
        return;
    is_version_known_ = true;
    held_until_ = absl::InfinitePast();
    epoch_wait_until_ = now + takeover_time() + settings_.margin;
}

void lease_manager::on_write_applied(std::uint64_t version)
{
    on_write_applied(sent_at_, lease_version{0, version});
}

void lease_manager::on_write_applied(absl::Time now, lease_version version)
{
    assert(pending_.has_value());
    const pending_write write = *pending_;
    if (version.epoch != write.epoch) {
        on_write_failed(now);
        return;
    }
    pending_.reset();
    if (version < version_)
        return;
    version_ = version;
    current_ = write.value;
    received_at_ = sent_at_;
    const bool is_holder = current_.holder == self_;
    held_until_ = is_holder ? sent_at_ + settings_.duration - settings_.margin
                            : absl::InfinitePast();
    if (is_holder) {
        fencing_number_ = current_.fencing_number;
        acted_until_ = held_until_;
    }
}

void lease_manager::on_write_failed(absl::Time now)
{
    pending_.reset();
    retry_at_ = now + settings_.duration / renewals_per_duration / 2;
}

std::optional<write_lease> lease_manager::due_write(absl::Time now)
{
    if (pending_ || now < next_write_at())
        return std::nullopt;
    if (is_held(now))
        return begin_write(now, {self_, fencing_number_});
    return begin_acquisition(now);
}

std::optional<write_lease> lease_manager::release(absl::Time now)
{
    if (pending_ || !is_held(now))
        return std::nullopt;
    held_until_ = absl::InfinitePast();
    acted_until_ = now;
    return begin_write(now, {core::instance_id(), fencing_number_});
}

bool lease_manager::is_held(absl::Time now) const
{
    return now < held_until_;
}

absl::Time lease_manager::next_write_at() const
{
    if (was_holder()) {
        const absl::Time renewal =
            sent_at_ + settings_.duration / renewals_per_duration;
        return std::max(renewal, retry_at_);
    }
    return std::max(acquisition_time(), retry_at_);
}

absl::Time lease_manager::acquisition_time() const
{
    if (!uses_epochs())
        return is_free() ? absl::InfinitePast()
                         : received_at_ + takeover_time();
    if (!is_version_known_ || version_.revision > max_revision)
        return absl::InfiniteFuture();
    // Creating a free lease acquires nothing.
    if (version_.revision == 0)
        return absl::InfinitePast();
    // Nobody has written since a value of its own.
    if (current_.holder == self_ && is_value_of_epoch())
        return epoch_wait_until_;
    const absl::Time others_wait =
        is_free() ? absl::InfinitePast() : received_at_ + takeover_time();
    return std::max({epoch_wait_until_, others_wait,
                     acted_until_ + takeover_time() + settings_.margin});
}

bool lease_manager::is_free() const
{
    if (uses_epochs() && !is_value_of_epoch())
        return false;
    return current_.holder.value().empty() || current_.holder == self_;
}

bool lease_manager::uses_epochs() const
{
    return settings_.fencing == fencing_source::replaced_version;
}

bool lease_manager::is_value_of_epoch() const
{
    return current_.fencing_number != 0 &&
           current_.fencing_number >> epoch_shift == version_.epoch;
}

bool lease_manager::was_holder() const
{
    return held_until_ != absl::InfinitePast();
}

absl::Duration lease_manager::takeover_time() const
{
    return settings_.duration + settings_.margin;
}

write_lease lease_manager::begin_acquisition(absl::Time now)
{
    if (!uses_epochs())
        return begin_write(now, {self_, current_.fencing_number + 1});
    if (version_.revision == 0)
        return begin_write(now, {});
    return begin_write(
        now, {self_, version_.epoch << epoch_shift | (version_.revision + 1)});
}

write_lease lease_manager::begin_write(absl::Time now, const lease& value)
{
    pending_ = {value, version_.epoch};
    sent_at_ = now;
    return {value, version_.revision, version_.epoch};
}

} // namespace oriolefall::leasing
