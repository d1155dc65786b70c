#include "fleet_headers.hpp"

#include "oriolefall/core/clock.hpp"
#include "stand_ins/answer_text.hpp"

#include <algorithm>
#include <cstdlib>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace oriolefall::tests {

namespace {

const core::location here{core::region_name("riga"),
                          core::failure_domain_name("riga-1")};

core::service_class make_class(const std::string& name, core::call_kind kind,
                               bool idempotent)
{
    core::service_class made;
    made.name = core::class_name(name);
    made.tier = core::tier::interactive;
    made.kind = kind;
    made.idempotent = idempotent;
    // Long, so that a loaded machine gives the same verdict.
    made.deadline = absl::Minutes(5);
    made.max_attempts = idempotent ? 5 : 1;
    return made;
}

} // namespace

std::string build_folder()
{
    const char* set = std::getenv("ORIOLEFALL_BUILD");
    return set == nullptr ? "build" : set;
}

bench::trace_header plain_header()
{
    bench::trace_header header;
    header.location = here;
    header.classes = {make_class("answer", core::call_kind::generate, true),
                      make_class("booking", core::call_kind::service, false),
                      make_class("lookup", core::call_kind::service, true)};
    // A refused call is held until its deadline.
    header.classes.push_back(header.classes[1]);
    header.classes.back().name = core::class_name("short-booking");
    header.classes.back().deadline = absl::Seconds(1);
    header.workspaces = {core::workspace_id("club")};
    return header;
}

bench::trace_server quick_engine(const std::string& id, std::uint32_t slots)
{
    bench::trace_server engine;
    engine.server.id = core::backend_server_id(id);
    engine.server.location = here;
    engine.server.serves = {"assistant"};
    engine.server.slots = slots;
    engine.server.resumes_streams = true;
    engine.speed.prefill_tokens_per_s = 100'000;
    engine.speed.step = absl::Milliseconds(2);
    engine.speed.step_per_stream = absl::ZeroDuration();
    engine.speed.queue_limit = 256;
    return engine;
}

bench::trace_server plain_service(const std::string& id)
{
    bench::trace_server service;
    service.server.id = core::backend_server_id(id);
    service.server.location = here;
    service.server.kind = core::call_kind::service;
    service.server.serves = {"booking", "short-booking", "lookup"};
    service.server.slots = 16;
    return service;
}

bench::local_fleet_settings fleet_of(const bench::trace_header& header,
                                     std::size_t instances)
{
    bench::local_fleet_settings settings;
    settings.build_folder = build_folder();
    settings.header = header;
    settings.instances = instances;
    return settings;
}

bench::load_request question(const std::string& text,
                             std::uint32_t output_tokens)
{
    bench::load_request request;
    request.service_class = core::class_name("answer");
    request.workspace = core::workspace_id("club");
    request.model = core::model_name("assistant");
    request.prompt = text;
    request.max_tokens = output_tokens;
    request.output_tokens = output_tokens;
    return request;
}

bench::load_request booking(const std::string& key)
{
    bench::load_request request;
    request.service_class = core::class_name("booking");
    request.workspace = core::workspace_id("club");
    request.kind = core::call_kind::service;
    request.key = core::idempotency_key(key);
    request.prompt = "lathe 4 at dawn";
    return request;
}

std::string whole_text(const bench::load_request& request)
{
    const nlohmann::json messages{
        {{"role", "user"}, {"content", request.prompt}}};
    return stand_ins::answer_text(stand_ins::answer_seed(messages.dump()),
                                  request.output_tokens);
}

std::vector<bench::load_outcome>
send_all(const core::endpoint& to,
         const std::vector<bench::load_request>& requests,
         const answered_hook& on_first_token)
{
    std::vector<bench::load_outcome> outcomes(requests.size());
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        callers.emplace_back([&, i] {
            bool answered = false;
            const auto on_token = [&](std::string_view) {
                if (!std::exchange(answered, true) && on_first_token)
                    on_first_token(i);
            };
            outcomes[i] = bench::send_load(to, requests[i],
                                           core::monotonic_now(), on_token);
        });
    }
    std::ranges::for_each(callers, &std::thread::join);
    return outcomes;
}

bool set_faults(const core::endpoint& stand_in, const std::string& faults)
{
    httplib::Client client(stand_in.address, stand_in.port);
    const auto answer = client.Post("/faults", faults, "application/json");
    return answer && answer->status == 200;
}

} // namespace oriolefall::tests
