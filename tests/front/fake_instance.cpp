#include "tests/front/fake_instance.hpp"

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
    const bool known = found.idempotent || name.value() == "payments";
    return known ? std::optional(found) : std::nullopt;
}

std::optional<std::string> explain(core::request_id request)
{
    return request.value() == 7 ? std::optional(std::string(R"({"id":7})"))
                                : std::nullopt;
}

} // namespace

fake_instance::fake_instance(submit_hook on_submit,
                             front::front_settings settings)
    : server_(std::move(settings), make_handlers(std::move(on_submit)))
{
    if (!server_.start())
        throw std::runtime_error("the front did not start");
}

front::handlers fake_instance::make_handlers(submit_hook on_submit)
{
    front::handlers made;
    made.next_request_id = [this] { return core::request_id(next_id_++); };
    made.submit = std::move(on_submit);
    made.caller_gone = [this](core::request_id request) {
        const std::lock_guard lock(mutex_);
        gone_.push_back(request);
        changed_.notify_all();
    };
    made.find_class = find_class;
    made.models = [] { return std::vector{core::model_name("small")}; };
    made.entry = [](const core::workspace_id&) {
        return front::entry_answer{{{"127.0.0.1", 8080}}, absl::Seconds(30)};
    };
    made.refused = [this](core::reason reason) {
        const std::lock_guard lock(mutex_);
        ++refusals_[reason];
    };
    made.metrics = [] { return std::string("requests_total 3\n"); };
    made.ready = [] { return true; };
    made.explain = explain;
    made.status = [] { return std::string(R"({"instance":"fake"})"); };
    return made;
}

core::request_id fake_instance::wait_for_caller_gone()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !gone_.empty(); });
    return gone_.front();
}

int fake_instance::refusals(core::reason reason) const
{
    const std::lock_guard lock(mutex_);
    const auto found = refusals_.find(reason);
    return found == refusals_.end() ? 0 : found->second;
}

void answer_whole(const core::answer_ring_ptr& answers,
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

void end_answer(const core::answer_ring_ptr& answers, core::verdict verdict,
                absl::Duration retry_after)
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
