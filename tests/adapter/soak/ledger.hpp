#ifndef ORIOLEFALL_TESTS_ADAPTER_SOAK_LEDGER_HPP
#define ORIOLEFALL_TESTS_ADAPTER_SOAK_LEDGER_HPP

#include <chrono>
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::soak {

using time_point = std::chrono::steady_clock::time_point;

/// Kinds of requests that the soak's callers send.
enum class request_kind : unsigned char
{
    safe,
    unsafe,
    /// May go on at another server where it was broken off.
    resumable_stream,
    stream
};

/// One run of a request at a backend server, as the server saw it.
struct run
{
    std::string server;
    std::string service;
    std::string path;
    std::string body;
    std::string workspace;
    time_point begun;
    bool was_failure = false;
    std::partial_ordering operator<=>(const run&) const = default;
};

/// A request that reached a backend server, whether it ran or not, or an answer
/// to it in which the server says something of itself.
struct arrival
{
    std::string attempt;
    std::string server;
    time_point at;
    auto operator<=>(const arrival&) const = default;
};

/// How a request ended, as its caller saw it.
enum class ending : unsigned char
{
    open,
    answered,
    /// The connection ended before a complete answer.
    cut,
    /// The caller gave up.
    given_up
};

/// One request as its caller saw it.
struct attempt
{
    std::string id;
    request_kind kind = request_kind::safe;
    std::string instance;
    std::string path;
    std::string body;
    std::string workspace;
    time_point sent;
    time_point ended;
    ending how = ending::open;
    unsigned status = 0;
    std::string signature;
    std::string answer;
    /// Last event of a stream.
    unsigned events = 0;
    bool is_in_order = true;
    std::partial_ordering operator<=>(const attempt&) const = default;
};

/// A span of time with something that excuses or binds.
struct span
{
    time_point from;
    time_point to;
    std::string what;
    auto operator<=>(const span&) const = default;
};

/// What the promises are judged by.
struct promises
{
    /// Events of each stream.
    unsigned stream_events = 0;
    /// Limit of each route, and what an answer may take beyond it. The excess
    /// allows for the machine that all processes share.
    std::chrono::milliseconds time_limit{};
    std::chrono::milliseconds time_excess{};
    /// Until a change of settings or a leaving server is obeyed.
    std::chrono::milliseconds in_force_within{};
    /// Only planned work is done: every request is answered whole or refused.
    bool planned_only = false;
    auto operator<=>(const promises&) const = default;
};

/// Everything that callers and backend servers saw of one soak, and what of it
/// breaks a promise. One thread.
class ledger
{
public:
    explicit ledger(promises bound);

    run& begin_run(const std::string& attempt, run begun);
    void add(attempt seen);
    /// The server may get nothing more from `at` on: its leaving was accepted.
    void note_leaving(const std::string& server, time_point at);
    /// The instance has started again, and knows nothing that it had been told.
    void note_restart(const std::string& instance, time_point at);
    void note_arrival(arrival seen);
    /// The server's answer says that it leaves.
    void note_said_leaving(const arrival& answered);
    /// The server's answer says that it wants nothing until then.
    void note_quiet(arrival answered, time_point until);
    /// From `at` on, requests of `path` go to `service` and no other.
    void note_moved(const std::string& path, const std::string& service,
                    time_point at);
    /// Instances that were paused, killed or cut off; bounds on time don't hold
    /// there.
    void note_trouble(const std::string& instance, span trouble);
    void note_broken(std::string what);

    /// Each broken promise in one line.
    [[nodiscard]] std::vector<std::string> broken() const;
    [[nodiscard]] std::size_t answered() const;
    [[nodiscard]] std::size_t attempts() const;
    /// How the requests ended that were not answered whole, counted.
    [[nodiscard]] std::string other_endings() const;
    /// Share of the requests sent from `from` on that were answered whole.
    [[nodiscard]] double share_answered(time_point from) const;

private:
    [[nodiscard]] std::string check(const attempt& seen) const;
    [[nodiscard]] std::string check_answer(const attempt& seen) const;
    [[nodiscard]] std::string check_runs(const attempt& seen) const;
    [[nodiscard]] std::string check_leaving(const attempt& seen,
                                            const run& each) const;
    /// When the service of `each` was given up for its path; the latest time
    /// before the run.
    [[nodiscard]] std::optional<time_point> given_up_at(const run& each) const;
    /// Requests that reached servers after these had told the instance that
    /// they leave or want quiet.
    [[nodiscard]] std::vector<std::string> check_notices() const;
    [[nodiscard]] bool has_restarted(const std::string& instance,
                                     time_point from, time_point to) const;
    [[nodiscard]] bool in_trouble(const std::string& instance, time_point from,
                                  time_point to) const;

    promises bound_;
    /// Runs by the request's id; nodes stay where they are.
    std::multimap<std::string, run> runs_;
    std::vector<attempt> attempts_;
    std::map<std::string, time_point> leaving_;
    struct quiet_answer
    {
        arrival answered;
        time_point until;
    };
    std::vector<arrival> arrivals_;
    std::vector<arrival> said_leaving_;
    std::vector<quiet_answer> quiet_answers_;
    struct move
    {
        std::string path;
        std::string service;
        time_point at;
    };
    std::vector<move> moves_;
    std::multimap<std::string, span> troubles_;
    std::multimap<std::string, time_point> restarts_;
    std::vector<std::string> broken_;
};

/// The signature that a backend server puts under its answer.
std::string signature_of(const std::string& attempt, const std::string& server);
/// The body of a plain answer.
std::string answer_of(const std::string& attempt, const std::string& server);

} // namespace oriolefall::soak

#endif
