#include "oriolefall/backend/lane_pool.hpp"
#include "oriolefall/core/clock.hpp"
#include "stand_ins/engine_server.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

namespace {

using namespace oriolefall;

constexpr std::uint32_t answer_tokens = 6;

/// One engine, a lane pool, and the ends of the calls made through it.
class lane_bench
{
public:
    explicit lane_bench(absl::Duration step = absl::Milliseconds(1))
        : engine_({.models = {"m"}, .step = step}, {}),
          pool_({.lanes = 4, .waiting_calls = 4}, hooks())
    {
    }

    void set_fault(const std::string& fault)
    {
        httplib::Client client("127.0.0.1", engine_.port());
        const auto result = client.Post("/faults", fault, "application/json");
        cr_assert(result && result->status == 200);
    }

    bool start(std::uint64_t resume_from = 0, std::uint16_t port = 0)
    {
        backend::call_order order;
        order.call.call = core::call_id(1);
        order.call.resume_from = resume_from;
        order.call.gap_timeout = absl::Milliseconds(300);
        order.server.endpoint = {"127.0.0.1",
                                 port == 0 ? engine_.port() : port};
        order.payload = payload();
        order.answers = answers;
        order.ended = [this](const decision::call_ended& end) {
            ends.try_push(end);
        };
        return pool_.try_start(std::move(order));
    }

    decision::call_ended wait_for_end()
    {
        auto end = ends.pop();
        cr_assert(end.has_value());
        return *end;
    }

    /// The tokens delivered so far; ends at the last one that waits.
    std::vector<core::answer_token> tokens()
    {
        std::vector<core::answer_token> all;
        while (answers->size() > 0)
            all.push_back(std::get<core::answer_token>(*answers->pop()));
        return all;
    }

    void cancel()
    {
        pool_.cancel(core::call_id(1));
    }

    core::answer_ring_ptr answers = std::make_shared<core::answer_ring>(256);
    core::bounded_ring<decision::call_ended> ends{8};

private:
    static core::payload_ptr payload()
    {
        return std::make_shared<const core::payload>(core::payload{
            .path = "/v1/chat/completions",
            .body = R"({"model":"m","max_tokens":6,"stream":true,)"
                    R"("messages":[{"role":"user","content":"a"}]})"});
    }

    static backend::lane_hooks hooks()
    {
        return {.progressed = [](const auto&) {},
                .load_reported = [](const auto&) {}};
    }

    stand_ins::engine_server engine_;
    backend::lane_pool pool_;
};

std::string text_of(const std::vector<core::answer_token>& tokens)
{
    std::string text;
    for (const auto& token : tokens)
        text += token.text;
    return text;
}

} // namespace

Test(lane_pool, streams_a_whole_answer_with_its_finish_reason)
{
    lane_bench bench;
    cr_assert(bench.start());
    const auto end = bench.wait_for_end();
    cr_assert(end.verdict == core::verdict(core::ran{end.tokens}));
    const auto tokens = bench.tokens();
    cr_assert_gt(end.tokens, 0);
    cr_assert_not(tokens.back().finish_reason.empty());
}

Test(lane_pool, a_cut_stream_may_have_run_and_resumes_without_a_gap)
{
    lane_bench bench;
    cr_assert(bench.start());
    static_cast<void>(bench.wait_for_end());
    const std::string whole = text_of(bench.tokens());
    bench.set_fault(R"({"crash_after_tokens":2})");
    cr_assert(bench.start());
    const auto cut = bench.wait_for_end();
    cr_assert(std::holds_alternative<core::may_have_run>(cut.verdict));
    cr_assert_leq(cut.tokens, 2);
    cr_assert(bench.start(cut.tokens));
    const auto end = bench.wait_for_end();
    cr_assert(std::holds_alternative<core::ran>(end.verdict));
    const std::string joined = text_of(bench.tokens());
    cr_assert(joined == whole, "%s, not %s", joined.c_str(), whole.c_str());
}

Test(lane_pool, a_silent_connection_is_found_by_time)
{
    lane_bench bench;
    bench.set_fault(R"({"silent_after_tokens":1})");
    cr_assert(bench.start());
    const core::verdict expected =
        core::may_have_run{core::reason::connection_silent};
    cr_assert(bench.wait_for_end().verdict == expected);
}

Test(lane_pool, a_refused_call_is_known_not_to_have_run)
{
    lane_bench bench;
    bench.set_fault(R"({"refuse":true})");
    cr_assert(bench.start());
    const auto end = bench.wait_for_end();
    const core::verdict expected = core::not_run{core::reason::backend_refused};
    cr_assert(end.verdict == expected);
    cr_assert(end.retry_after > absl::ZeroDuration());
}

Test(lane_pool, no_connection_is_known_not_to_have_run)
{
    lane_bench bench;
    constexpr std::uint16_t closed_port = 1;
    cr_assert(bench.start(0, closed_port));
    const core::verdict expected = core::not_run{core::reason::connect_failed};
    cr_assert(bench.wait_for_end().verdict == expected);
}

Test(lane_pool, cancel_ends_a_running_call)
{
    lane_bench bench(absl::Milliseconds(200));
    cr_assert(bench.start());
    cr_assert(bench.answers->pop().has_value());
    bench.cancel();
    const core::verdict expected =
        core::may_have_run{core::reason::caller_gone};
    const auto end = bench.wait_for_end();
    cr_assert(end.verdict == expected);
    cr_assert_lt(end.tokens, answer_tokens);
}
