#include "oriolefall/dispatch/dispatcher.hpp"

namespace oriolefall::dispatch {

void dispatcher::apply_notice(const open_request& request,
                              const server_notice& notice)
{
    server_state* server = server_of(request);
    if (server == nullptr)
        return;
    if (notice.load)
        server->update_load(now_, *notice.load);
    const auto before = server->rate_limit();
    server->update_rate_limit(now_, request.call->sent_at, notice);
    if (server->rate_limit() != before)
        actions_->push_back(
            rate_limit_change{server->entry().id, server->rate_limit()});
}

} // namespace oriolefall::dispatch
