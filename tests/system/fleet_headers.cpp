#include "fleet_headers.hpp"

#include <cstdlib>

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
    service.server.serves = {"booking", "lookup"};
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

} // namespace oriolefall::tests
