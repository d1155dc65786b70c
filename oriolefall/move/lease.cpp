#include "oriolefall/move/lease.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace oriolefall::move {

namespace {
/// Renewals sent within the duration of a lease.
constexpr int renewals_per_duration = 3;
} // namespace

lease_keeper::lease_keeper(core::instance_id self, lease_settings settings)
    : self_(std::move(self)), settings_(settings)
{
    assert(!self_.value().empty());
    assert(settings_.margin * renewals_per_duration < settings_.duration);
}

void lease_keeper::seen(absl::Time now, const lease& value,
                        std::uint64_t version)
{
    if (version <= version_)
        return;
    version_ = version;
    seen_ = value;
    seen_at_ = now;
    if (value.holder != self_)
        held_until_ = absl::InfinitePast();
}

void lease_keeper::written(std::uint64_t version)
{
    assert(pending_.has_value());
    const lease mine = *std::exchange(pending_, std::nullopt);
    if (version < version_)
        return;
    version_ = version;
    seen_ = mine;
    seen_at_ = sent_at_;
    const bool is_taken = mine.holder == self_;
    held_until_ = is_taken ? sent_at_ + settings_.duration - settings_.margin
                           : absl::InfinitePast();
    if (is_taken)
        fencing_number_ = mine.fencing_number;
}

void lease_keeper::write_failed(absl::Time now)
{
    pending_.reset();
    retry_at_ = now + settings_.duration / renewals_per_duration / 2;
}

std::optional<write_lease> lease_keeper::due(absl::Time now)
{
    if (pending_ || now < next_due())
        return std::nullopt;
    if (is_held(now))
        return begin_write(now, {self_, fencing_number_});
    return begin_write(now, {self_, seen_.fencing_number + 1});
}

std::optional<write_lease> lease_keeper::release(absl::Time now)
{
    if (pending_ || !is_held(now))
        return std::nullopt;
    held_until_ = absl::InfinitePast();
    return begin_write(now, {core::instance_id(), fencing_number_});
}

bool lease_keeper::is_held(absl::Time now) const
{
    return now < held_until_;
}

absl::Time lease_keeper::next_due() const
{
    if (held_until_ != absl::InfinitePast()) {
        const absl::Time renewal =
            sent_at_ + settings_.duration / renewals_per_duration;
        return std::max(renewal, retry_at_);
    }
    if (is_free())
        return retry_at_;
    return std::max(seen_at_ + settings_.duration + settings_.margin,
                    retry_at_);
}

bool lease_keeper::is_free() const
{
    return seen_.holder.value().empty() || seen_.holder == self_;
}

write_lease lease_keeper::begin_write(absl::Time now, const lease& value)
{
    pending_ = value;
    sent_at_ = now;
    return {value, version_};
}

} // namespace oriolefall::move
