#include "oriolefall/daemon/platform_client.hpp"

#include <absl/strings/str_cat.h>

namespace oriolefall::daemon {

namespace {

void count_call(const record_sink& report, const objects::call_record& call)
{
    const std::string type(to_string(call.type));
    report(observe::counter_added{"platform_calls_total", "type", type, 1});
    if (!call.failure_cause)
        return;
    const std::string cause(to_string(*call.failure_cause));
    report(
        observe::counter_added{"platform_failures_total", "cause", cause, 1});
}

} // namespace

objects::client_settings make_client_settings(const platform_access& access,
                                              const std::string& duty)
{
    objects::client_settings settings;
    settings.endpoint = access.endpoint;
    settings.write_id_prefix = absl::StrCat(access.instance.value(), "/",
                                            access.incarnation, "/", duty);
    settings.on_call = [report =
                            access.report](const objects::call_record& call) {
        count_call(report, call);
    };
    return settings;
}

} // namespace oriolefall::daemon
