#include "tests/front/front_fixture.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace oriolefall::tests {

namespace {

std::optional<core::service_class> find_class(const core::class_name& name)
{
    core::service_class found;
    found.name = name;
    if (name.value() == "rules")
        return found;
    found.kind = core::call_kind::service;
    found.idempotent = name.value() == "entries";
    const bool is_known = found.idempotent || name.value() == "payments";
    return is_known ? std::optional(found) : std::nullopt;
}

std::optional<std::string> explain(core::request_id request)
{
    return request.value() == 7 ? std::optional(std::string(R"({"id":7})"))
                                : std::nullopt;
}

} // namespace

front_fixture::front_fixture(submit_hook on_submit,
                             front::front_settings settings)
    : server_(std::move(settings), make_handlers(std::move(on_submit)))
{
    if (!server_.start())
        throw std::runtime_error("the HTTP server did not start");
}

front::handlers front_fixture::make_handlers(submit_hook on_submit)
{
    front::handlers handlers;
    handlers.next_request_id = [this] { return core::request_id(next_id_++); };
    handlers.submit = std::move(on_submit);
    handlers.on_caller_gone = [this](core::request_id request) {
        const std::lock_guard lock(mutex_);
        gone_callers_.push_back(request);
        changed_.notify_all();
    };
    handlers.find_class = find_class;
    handlers.models = [] { return std::vector{core::model_name("small")}; };
    handlers.find_entry = [](const core::workspace_id&) {
        return front::entry_answer{{{"127.0.0.1", 8080}}, absl::Seconds(30)};
    };
    handlers.count_refusal = [this](core::reason reason) {
        const std::lock_guard lock(mutex_);
        ++refusal_counts_[reason];
    };
    handlers.metrics = [] { return std::string("requests_total 3\n"); };
    handlers.is_ready = [] { return true; };
    handlers.explain = explain;
    handlers.status = [] { return std::string(R"({"instance":"fake"})"); };
    return handlers;
}

core::request_id front_fixture::wait_for_caller_gone()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !gone_callers_.empty(); });
    return gone_callers_.front();
}

int front_fixture::refusal_count(core::reason reason) const
{
    const std::lock_guard lock(mutex_);
    const auto found = refusal_counts_.find(reason);
    return found == refusal_counts_.end() ? 0 : found->second;
}

void push_complete_answer(const core::answer_ring_ptr& answers,
                          const std::vector<std::string>& words)
{
    std::uint64_t index = 0;
    for (const std::string& word : words)
        answers->push(core::answer_token{index++, word, {}});
    answers->push(core::answer_token{index, {}, "stop"});
    core::answer_end end;
    end.verdict = core::ran{words.size()};
    answers->push(end);
}

void push_answer_end(const core::answer_ring_ptr& answers,
                     core::verdict verdict, absl::Duration retry_after)
{
    core::answer_end end;
    end.verdict = verdict;
    end.retry_after = retry_after;
    answers->push(end);
}

std::string chat_body(const std::string& text, bool stream)
{
    const nlohmann::json message{{"role", "user"}, {"content", text}};
    return nlohmann::json{{"model", "small"},
                          {"messages", nlohmann::json::array({message})},
                          {"stream", stream}}
        .dump();
}

} // namespace oriolefall::tests
