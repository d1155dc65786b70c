#ifndef ORIOLEFALL_BENCH_LOAD_CALL_HPP
#define ORIOLEFALL_BENCH_LOAD_CALL_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/ids.hpp"
#include "oriolefall/core/service_class.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::bench {

/// A request as a caller sends it.
struct load_request
{
    core::class_name service_class;
    core::workspace_id workspace;
    core::call_kind kind = core::call_kind::generate;
    core::model_name model;
    std::optional<core::idempotency_key> key;
    /// Text of the only message.
    std::string prompt;
    /// The caller's limit; 0 for none.
    std::uint32_t max_tokens = 0;
    /// Length of the answer, told to the engine alone; 0 leaves it open.
    std::uint32_t output_tokens = 0;
    bool stream = true;
    /// The caller closes its connection so long after it asked.
    absl::Duration gone_after = absl::InfiniteDuration();
    /// It also closes its connection after so many tokens; 0 for never.
    std::uint32_t gone_after_tokens = 0;
    /// It gives up when nothing comes for so long.
    absl::Duration silence_limit = absl::Minutes(2);
    std::strong_ordering operator<=>(const load_request&) const = default;
};

/// How a request ended for its caller.
enum class load_ending : std::uint8_t
{
    whole,        ///< the whole answer came
    not_run,      ///< refused: it did not run
    may_have_run, ///< an error that leaves open whether it ran
    rejected,     ///< the request itself was wrong
    cut,          ///< the connection ended before the answer did
    left          ///< the caller closed its connection
};

[[nodiscard]] std::string_view to_string(load_ending ending);

/// What a caller saw of one request. Times count from when it was due.
struct load_outcome
{
    load_ending ending = load_ending::cut;
    int status = 0;
    /// Reason in the error or what broke the connection; else empty.
    std::string reason;
    /// Number that the instance gave the request, empty when it gave none.
    std::string request_id;
    std::string text;
    std::uint32_t tokens = 0;
    absl::Duration first_token = absl::InfiniteDuration();
    absl::Duration whole_answer = absl::InfiniteDuration();
    std::strong_ordering operator<=>(const load_outcome&) const = default;
};

/// Called with the text of each token as it comes.
using token_hook = std::function<void(std::string_view)>;

/// Sends a request on a connection of its own and waits for its end. `due`:
/// when it should have been sent, by the monotonic clock. Any thread.
[[nodiscard]] load_outcome send_load(const core::endpoint& to,
                                     const load_request& request,
                                     absl::Time due,
                                     const token_hook& on_token = {});

} // namespace oriolefall::bench

#endif
