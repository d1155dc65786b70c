#include "tests/adapter/soak/ledger.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::soak {

namespace {

constexpr std::size_t answer_bytes = 800;
constexpr unsigned success_class = 2;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_misdirected = 421;
/// Time after which a server that wants quiet is to have it, and the calls that
/// it may get all the same.
constexpr std::chrono::milliseconds quiet_reaction{500};
constexpr std::ptrdiff_t max_calls_in_quiet = 2;

bool promises_not_run(unsigned status)
{
    return status == status_too_many || status == status_unavailable ||
           status == status_request_timeout || status == status_misdirected;
}

bool is_success(const attempt& seen)
{
    return seen.how == ending::answered && seen.status / 100 == success_class;
}

bool is_stream(request_kind kind)
{
    return kind == request_kind::stream ||
           kind == request_kind::resumable_stream;
}

bool may_repeat(request_kind kind)
{
    return kind == request_kind::safe || kind == request_kind::resumable_stream;
}

} // namespace

ledger::ledger(promises bound) : bound_(bound) {}

run& ledger::begin_run(const std::string& attempt, run begun)
{
    return runs_.emplace(attempt, std::move(begun))->second;
}

void ledger::add(attempt seen)
{
    attempts_.push_back(std::move(seen));
}

void ledger::note_leaving(const std::string& server, time_point at)
{
    leaving_.emplace(server, at);
}

void ledger::note_restart(const std::string& instance, time_point at)
{
    restarts_.emplace(instance, at);
}

void ledger::note_arrival(arrival seen)
{
    arrivals_.push_back(std::move(seen));
}

void ledger::note_said_leaving(const arrival& answered)
{
    said_leaving_.push_back(answered);
}

void ledger::note_quiet(arrival answered, time_point until)
{
    quiet_answers_.push_back({std::move(answered), until});
}

void ledger::note_moved(const std::string& path, const std::string& service,
                        time_point at)
{
    moves_.push_back({path, service, at});
}

void ledger::note_trouble(const std::string& instance, span trouble)
{
    troubles_.emplace(instance, std::move(trouble));
}

void ledger::note_broken(std::string what)
{
    broken_.push_back(std::move(what));
}

bool ledger::in_trouble(const std::string& instance, time_point from,
                        time_point to) const
{
    const auto [first, last] = troubles_.equal_range(instance);
    return std::any_of(first, last, [from, to](const auto& each) {
        return each.second.from <= to && each.second.to >= from;
    });
}

bool ledger::has_restarted(const std::string& instance, time_point from,
                           time_point to) const
{
    const auto [first, last] = restarts_.equal_range(instance);
    return std::any_of(first, last, [from, to](const auto& each) {
        return from <= each.second && each.second <= to;
    });
}

std::string ledger::check_answer(const attempt& seen) const
{
    const auto [first, last] = runs_.equal_range(seen.id);
    const auto signer = std::find_if(first, last, [&seen](const auto& each) {
        return signature_of(seen.id, each.second.server) == seen.signature;
    });
    if (signer == last)
        return "success without the signature of a server that ran it";
    if (signer->second.was_failure)
        return "success where the server had failed";
    if (is_stream(seen.kind)) {
        if (!seen.is_in_order)
            return "events out of order, twice or missing";
        if (seen.events != bound_.stream_events)
            return "stream ended as complete after event " +
                   std::to_string(seen.events);
        return {};
    }
    if (seen.answer != answer_of(seen.id, signer->second.server))
        return "body is not the server's";
    return {};
}

std::optional<time_point> ledger::given_up_at(const run& each) const
{
    std::optional<time_point> at;
    for (const move& made : moves_) {
        if (made.path != each.path || made.at > each.begun)
            continue;
        if (made.service == each.service)
            at.reset();
        else if (!at)
            at = made.at;
    }
    return at;
}

std::string ledger::check_leaving(const attempt& seen, const run& each) const
{
    const auto late = [&](time_point since) {
        return each.begun > since + bound_.in_force_within &&
               !in_trouble(seen.instance, since, each.begun);
    };
    const auto left = leaving_.find(each.server);
    if (left != leaving_.end() && late(left->second))
        return "sent to " + each.server + ", known to be leaving";
    const auto moved = given_up_at(each);
    if (moved && late(*moved))
        return "run by the service that its route had left";
    return {};
}

std::string ledger::check_runs(const attempt& seen) const
{
    const auto [first, last] = runs_.equal_range(seen.id);
    const auto count = std::distance(first, last);
    if (count > 1 && !may_repeat(seen.kind))
        return "ran " + std::to_string(count) + " times";
    if (count > 0 && !may_repeat(seen.kind) && seen.how == ending::answered &&
        promises_not_run(seen.status))
        return "answered " + std::to_string(seen.status) + " and has run";
    for (auto each = first; each != last; ++each) {
        const run& ran = each->second;
        if (ran.path != seen.path || ran.body != seen.body ||
            ran.workspace != seen.workspace)
            return "changed on its way to " + ran.server;
        if (auto fault = check_leaving(seen, ran); !fault.empty())
            return fault;
    }
    return {};
}

std::string ledger::check(const attempt& seen) const
{
    if (auto fault = check_runs(seen); !fault.empty())
        return fault;
    if (is_success(seen))
        return check_answer(seen);
    const auto limit = bound_.time_limit + bound_.time_excess;
    if (seen.how == ending::given_up && seen.ended - seen.sent > limit &&
        !in_trouble(seen.instance, seen.sent, seen.ended))
        return "no answer long after the limit of its route";
    if (!bound_.planned_only)
        return {};
    const bool has_run = runs_.contains(seen.id);
    if (seen.how == ending::cut && has_run)
        return "cut by planned work";
    if (seen.how == ending::answered && !promises_not_run(seen.status))
        return "answered " + std::to_string(seen.status) +
               " while only planned work was done";
    return {};
}

std::vector<std::string> ledger::broken() const
{
    static const std::vector<std::string> kinds{"safe", "unsafe", "resumable",
                                                "stream"};
    std::vector<std::string> lines = broken_;
    for (const attempt& seen : attempts_)
        if (const auto fault = check(seen); !fault.empty())
            lines.push_back(kinds[static_cast<std::size_t>(seen.kind)] + " " +
                            seen.id + " by " + seen.instance + ": " + fault);
    std::ranges::move(check_notices(), std::back_inserter(lines));
    for (const auto& [id, ran] : runs_)
        if (std::ranges::find(attempts_, id, &attempt::id) == attempts_.end())
            lines.push_back("unasked " + id + " at " + ran.server);
    return lines;
}

std::vector<std::string> ledger::check_notices() const
{
    std::map<std::string, const attempt*> attempts;
    for (const attempt& each : attempts_)
        attempts.emplace(each.id, &each);
    const auto attempt_of = [&attempts](const arrival& each) {
        const auto found = attempts.find(each.attempt);
        return found == attempts.end() ? nullptr : found->second;
    };
    const auto is_later_call = [&](const arrival& later, const arrival& said) {
        const attempt* here = attempt_of(later);
        const attempt* there = attempt_of(said);
        return later.server == said.server && here != nullptr &&
               there != nullptr && here->instance == there->instance &&
               !in_trouble(here->instance, said.at, later.at) &&
               !has_restarted(here->instance, said.at, later.at);
    };
    std::vector<std::string> lines;
    for (const arrival& said : said_leaving_)
        for (const arrival& later : arrivals_)
            if (is_later_call(later, said) &&
                attempt_of(later)->sent > said.at + bound_.in_force_within)
                lines.push_back(later.attempt + " sent to " + later.server +
                                ", which had said that it leaves");
    for (const quiet_answer& said : quiet_answers_) {
        const auto count =
            std::ranges::count_if(arrivals_, [&](const arrival& later) {
                return later.at > said.answered.at + quiet_reaction &&
                       later.at < said.until &&
                       is_later_call(later, said.answered);
            });
        if (count > max_calls_in_quiet)
            lines.push_back(std::to_string(count) + " requests reached " +
                            said.answered.server + ", which wanted quiet");
    }
    std::ranges::sort(lines);
    const auto repeated = std::ranges::unique(lines);
    lines.erase(repeated.begin(), repeated.end());
    return lines;
}

std::size_t ledger::answered() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(attempts_, is_success));
}

std::size_t ledger::attempts() const
{
    return attempts_.size();
}

std::string ledger::other_endings() const
{
    std::map<std::string, unsigned> counts;
    for (const attempt& seen : attempts_) {
        if (is_success(seen))
            continue;
        if (seen.how == ending::answered)
            ++counts["status " + std::to_string(seen.status)];
        else
            ++counts[seen.how == ending::cut ? "cut" : "given up"];
    }
    std::string text;
    for (const auto& [how, count] : counts)
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + how;
    return text;
}

double ledger::share_answered(time_point from) const
{
    std::size_t all = 0;
    std::size_t whole = 0;
    for (const attempt& seen : attempts_) {
        const bool left_early = seen.how == ending::given_up &&
                                seen.ended - seen.sent < bound_.time_limit;
        if (seen.sent < from || left_early)
            continue;
        ++all;
        whole += is_success(seen) ? 1 : 0;
    }
    return all == 0 ? 0 : static_cast<double>(whole) / static_cast<double>(all);
}

std::string signature_of(const std::string& attempt, const std::string& server)
{
    return server + "." + attempt;
}

std::string answer_of(const std::string& attempt, const std::string& server)
{
    std::string text = "answer to " + attempt + " by " + server + " ";
    text.resize(answer_bytes, '.');
    return text;
}

} // namespace oriolefall::soak
