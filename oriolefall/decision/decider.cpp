#include "oriolefall/decision/decider.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::decision {

namespace {

bool answers(const core::backend_server& server, const core::request& request)
{
    const std::string& wanted = request.model.value().empty()
                                    ? request.service_class.value()
                                    : request.model.value();
    return !server.leaving &&
           std::ranges::find(server.serves, wanted) != server.serves.end();
}

} // namespace

decider::decider(decider_settings settings)
    : settings_(std::move(settings)),
      table_(std::make_shared<const routing_table>())
{
}

void decider::step(absl::Time now, const event& event, std::vector<action>& out)
{
    std::visit([&](const auto& some) { on(now, some, out); }, event);
}

absl::Time decider::next_tick() const
{
    return absl::InfiniteFuture();
}

std::size_t decider::open_requests() const
{
    return requests_.size();
}

void decider::on(absl::Time, const request_arrived& event,
                 std::vector<action>& out)
{
    const core::request& request = event.request;
    const auto server =
        std::ranges::find_if(table_->servers, [&](const auto& candidate) {
            return answers(candidate, request);
        });
    if (server == table_->servers.end()) {
        const core::not_run refusal{core::reason::no_backend_server};
        out.push_back(finish_request{request.id, refusal, absl::Seconds(1)});
        return;
    }
    const core::call_id call(next_call_++);
    requests_.emplace(request.id, open_request{request, call});
    calls_.emplace(call, request.id);
    out.push_back(
        start_call{.call = call, .request = request.id, .server = server->id});
}

void decider::on(absl::Time, const caller_gone& event, std::vector<action>& out)
{
    const auto found = requests_.find(event.request);
    if (found != requests_.end())
        out.push_back(cancel_call{found->second.call});
}

void decider::on(absl::Time, const call_ended& event, std::vector<action>& out)
{
    const auto found = calls_.find(event.call);
    if (found == calls_.end())
        return;
    const core::request_id request = found->second;
    calls_.erase(found);
    requests_.erase(request);
    out.push_back(finish_request{request, event.verdict, event.retry_after});
}

void decider::on(absl::Time, const table_applied& event, std::vector<action>&)
{
    if (event.table->version >= table_->version)
        table_ = event.table;
}

} // namespace oriolefall::decision
