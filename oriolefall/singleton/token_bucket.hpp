#ifndef ORIOLEFALL_SINGLETON_TOKEN_BUCKET_HPP
#define ORIOLEFALL_SINGLETON_TOKEN_BUCKET_HPP

#include <absl/time/time.h>

namespace oriolefall::singleton {

/// Limits the rate of calls. Starts full. Pure; for use by one thread.
class token_bucket
{
public:
    /// `rate`: tokens per second, above 0. `burst`: most tokens, 1 or more.
    token_bucket(double rate, double burst);

    /// When a token is there; `now` or before: it can be taken.
    [[nodiscard]] absl::Time next_at() const;
    /// Takes a token, also one that isn't there yet.
    void take(absl::Time now);

private:
    absl::Duration interval_;
    absl::Duration capacity_;
    /// When the bucket is full again.
    absl::Time full_at_ = absl::InfinitePast();
};

} // namespace oriolefall::singleton

#endif
