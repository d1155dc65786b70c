#include "oriolefall/backend/call_worker_pool.hpp"
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

/// An engine stand-in, a pool, and the outcomes of the calls made by the pool.
class pool_fixture
{
public:
    explicit pool_fixture(absl::Duration step = absl::Milliseconds(1))
        : engine_({.models = {"m"}, .step = step}, {}),
          pool_({.worker_count = 4, .max_queued_calls = 4}, hooks())
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
        backend::call_task task;
        task.call.call = core::call_id(1);
        task.call.resume_from = resume_from;
        task.call.gap_timeout = absl::Milliseconds(300);
        task.server.endpoint = {"127.0.0.1", port == 0 ? engine_.port() : port};
        task.payload = payload();
        task.answers = answers;
        task.on_ended = [this](const decision::call_ended& end) {
            ends.try_push(end);
        };
        return pool_.try_start(std::move(task));
    }

    decision::call_ended wait_for_end()
    {
        auto end = ends.pop();
        cr_assert(end.has_value());
        return *end;
    }

    /// Removes and returns the tokens that the answer ring holds.
    std::vector<core::answer_token> take_tokens()
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

    static backend::call_hooks hooks()
    {
        return {.on_progress = [](const auto&) {},
                .on_load_report = [](const auto&) {}};
    }

    stand_ins::engine_server engine_;
    backend::call_worker_pool pool_;
};

std::string joined_text(const std::vector<core::answer_token>& tokens)
{
    std::string text;
    for (const auto& token : tokens)
        text += token.text;
    return text;
}

} // namespace

Test(call_worker_pool, streams_a_complete_answer_with_its_finish_reason)
{
    pool_fixture fixture;
    cr_assert(fixture.start());
    const auto end = fixture.wait_for_end();
    cr_assert(end.verdict == core::verdict(core::ran{end.tokens}));
    const auto tokens = fixture.take_tokens();
    cr_assert_gt(end.tokens, 0);
    cr_assert_not(tokens.back().finish_reason.empty());
}

Test(call_worker_pool, a_broken_stream_may_have_run_and_resumes_without_a_gap)
{
    pool_fixture fixture;
    cr_assert(fixture.start());
    static_cast<void>(fixture.wait_for_end());
    const std::string expected = joined_text(fixture.take_tokens());
    fixture.set_fault(R"({"crash_after_tokens":2})");
    cr_assert(fixture.start());
    const auto broken = fixture.wait_for_end();
    cr_assert(std::holds_alternative<core::may_have_run>(broken.verdict));
    cr_assert_leq(broken.tokens, 2);
    cr_assert(fixture.start(broken.tokens));
    const auto end = fixture.wait_for_end();
    cr_assert(std::holds_alternative<core::ran>(end.verdict));
    const std::string resumed = joined_text(fixture.take_tokens());
    cr_assert(resumed == expected, "%s, not %s", resumed.c_str(),
              expected.c_str());
}

Test(call_worker_pool, a_stalled_call_ends_after_its_gap_timeout)
{
    pool_fixture fixture;
    fixture.set_fault(R"({"silent_after_tokens":1})");
    cr_assert(fixture.start());
    const core::verdict expected =
        core::may_have_run{core::reason::connection_silent};
    cr_assert(fixture.wait_for_end().verdict == expected);
}

Test(call_worker_pool, a_refused_call_has_not_run)
{
    pool_fixture fixture;
    fixture.set_fault(R"({"refuse":true})");
    cr_assert(fixture.start());
    const auto end = fixture.wait_for_end();
    const core::verdict expected = core::not_run{core::reason::backend_refused};
    cr_assert(end.verdict == expected);
    cr_assert(end.retry_after > absl::ZeroDuration());
}

Test(call_worker_pool, a_call_that_cannot_connect_has_not_run)
{
    pool_fixture fixture;
    constexpr std::uint16_t closed_port = 1;
    cr_assert(fixture.start(0, closed_port));
    const core::verdict expected = core::not_run{core::reason::connect_failed};
    cr_assert(fixture.wait_for_end().verdict == expected);
}

Test(call_worker_pool, cancel_ends_a_running_call)
{
    pool_fixture fixture(absl::Milliseconds(200));
    cr_assert(fixture.start());
    cr_assert(fixture.answers->pop().has_value());
    fixture.cancel();
    const core::verdict expected =
        core::may_have_run{core::reason::caller_gone};
    const auto end = fixture.wait_for_end();
    cr_assert(end.verdict == expected);
    cr_assert_lt(end.tokens, answer_tokens);
}
