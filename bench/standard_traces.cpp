// The traces under traces/: two users' fleets and what goes wrong in them.
#include "bench/trace_generator.hpp"

#include <array>
#include <numeric>

namespace oriolefall::bench {

namespace {

/// A user's fleet: regions with equal numbers of engines, and a plain
/// service in each.
struct fleet
{
    std::array<std::string, 3> regions;
    int engines_per_region = 3;
    std::string model;
    std::vector<std::string> service_classes;
    std::uint32_t slots = 8;
};

const fleet dala{
    {"almaty", "astana", "shymkent"}, 3, "compass", {"entries", "payments"}};
const fleet vitols{{"riga", "liepaja", "daugavpils"}, 6, "lathe", {"bookings"}};

trace_server engine(const fleet& of, const std::string& region, int number)
{
    trace_server made;
    made.server.id =
        core::backend_server_id(region + "-engine-" + std::to_string(number));
    made.server.location = {core::region_name(region),
                            core::failure_domain_name(
                                region + '-' + std::to_string(1 + number % 3))};
    made.server.serves = {of.model};
    made.server.slots = of.slots;
    made.server.resumes_streams = true;
    return made;
}

trace_server service(const fleet& of, const std::string& region)
{
    trace_server made;
    made.server.id = core::backend_server_id(region + "-service");
    made.server.location = {core::region_name(region),
                            core::failure_domain_name(region + "-1")};
    made.server.kind = core::call_kind::service;
    made.server.serves = of.service_classes;
    made.server.slots = 16;
    made.speed.service_time = absl::Milliseconds(60);
    return made;
}

trace_header header_of(const fleet& of, const std::string& name, int workspaces)
{
    trace_header header;
    header.name = name;
    header.location = {core::region_name(of.regions.front()),
                       core::failure_domain_name(of.regions.front() + "-1")};
    for (const std::string& region : of.regions) {
        for (int i = 1; i <= of.engines_per_region; ++i)
            header.servers.push_back(engine(of, region, i));
        header.servers.push_back(service(of, region));
    }
    for (int i = 1; i <= workspaces; ++i)
        header.workspaces.emplace_back("w" + std::to_string(i));
    return header;
}

core::service_class quick_class(const std::string& name)
{
    return core::service_class{
        .name = core::class_name(name),
        .tier = core::tier::interactive,
        .target = {.first_token = absl::Milliseconds(660),
                   .between_tokens = absl::Milliseconds(42)},
        .deadline = absl::Seconds(15)};
}

core::service_class helpful_class(const std::string& name)
{
    return core::service_class{
        .name = core::class_name(name),
        .tier = core::tier::standard,
        .target = {.first_token = absl::Seconds(2),
                   .between_tokens = absl::Milliseconds(60)},
        .deadline = absl::Seconds(30)};
}

core::service_class patient_class(const std::string& name)
{
    return core::service_class{.name = core::class_name(name),
                               .tier = core::tier::batch,
                               .target = {.whole_answer = absl::Seconds(60)},
                               .deadline = absl::Seconds(120),
                               .minimum_share = 0.05};
}

core::service_class once_class(const std::string& name)
{
    return core::service_class{.name = core::class_name(name),
                               .tier = core::tier::interactive,
                               .kind = core::call_kind::service,
                               .idempotent = false,
                               .target = {.whole_answer = absl::Seconds(2)},
                               .deadline = absl::Seconds(10)};
}

trace_header dala_header(const std::string& name)
{
    trace_header header = header_of(dala, name, 10);
    header.classes = {quick_class("rules"), helpful_class("start-lists"),
                      patient_class("relay-plans"), once_class("entries"),
                      once_class("payments")};
    return header;
}

trace_header vitols_header(const std::string& name)
{
    trace_header header = header_of(vitols, name, 10);
    header.domain_delay = absl::Microseconds(500);
    header.classes = {quick_class("availability"), helpful_class("quotes"),
                      patient_class("summaries"), once_class("bookings")};
    return header;
}

/// Traffic of all classes of a user between two times, in parts of the
/// capacity of the fleet's engines.
struct traffic_mix
{
    absl::Duration from;
    absl::Duration until;
    double quick = 0.3;
    double helpful = 0.3;
    double patient = 0.2;
    std::vector<double> helpful_weights = {};
};

/// Server time of one slot that an answer of `tokens` takes, in seconds.
double hold_of(double tokens, std::uint32_t prompt)
{
    constexpr double full_step_s = 0.027;
    constexpr double prompt_tokens_per_s = 8000.0;
    return tokens * full_step_s + prompt / prompt_tokens_per_s + 0.03;
}

class_traffic stream_traffic(const traffic_mix& mix, const std::string& name,
                             const std::string& model, double slots,
                             std::uint32_t prompt, double output)
{
    return class_traffic{.service_class = name,
                         .model = model,
                         .from = mix.from,
                         .until = mix.until,
                         .rate = slots / hold_of(output, prompt),
                         .prompt_tokens = prompt,
                         .output_tokens = output};
}

class_traffic once_traffic(const traffic_mix& mix, const std::string& name,
                           double rate)
{
    return class_traffic{.service_class = name,
                         .from = mix.from,
                         .until = mix.until,
                         .rate = rate,
                         .keyed = true,
                         .repeated = 0.1};
}

void add_mix(trace_generator& to, const fleet& of, const traffic_mix& mix,
             const std::array<std::string, 3>& names, double patient_output)
{
    const double slots = 3.0 * of.engines_per_region * of.slots;
    class_traffic quick =
        stream_traffic(mix, names[0], of.model, slots * mix.quick, 320, 60.0);
    quick.prefix_part = 0.6;
    quick.patience = absl::Seconds(8);
    to.add(quick);
    class_traffic helpful = stream_traffic(mix, names[1], of.model,
                                           slots * mix.helpful, 500, 120.0);
    helpful.prefix_part = 0.6;
    helpful.patience = absl::Seconds(14);
    helpful.weights = mix.helpful_weights;
    to.add(helpful);
    class_traffic patient = stream_traffic(
        mix, names[2], of.model, slots * mix.patient, 2000, patient_output);
    patient.prefix_part = 0.2;
    patient.patience = absl::Seconds(70);
    to.add(patient);
}

void add_dala(trace_generator& to, const traffic_mix& mix)
{
    add_mix(to, dala, mix, {"rules", "start-lists", "relay-plans"}, 250.0);
    to.add(once_traffic(mix, "entries", 3.0));
    to.add(once_traffic(mix, "payments", 1.5));
}

void add_vitols(trace_generator& to, const traffic_mix& mix)
{
    add_mix(to, vitols, mix, {"availability", "quotes", "summaries"}, 500.0);
    to.add(once_traffic(mix, "bookings", 3.0));
}

trace_fault fault_at(double at_s, double until_s, fault_kind kind,
                     const std::string& server)
{
    trace_fault fault;
    fault.at = absl::Seconds(at_s);
    if (until_s > 0.0)
        fault.until = absl::Seconds(until_s);
    fault.kind = kind;
    fault.server = core::backend_server_id(server);
    return fault;
}

trace cutoff_burst()
{
    trace_generator made(dala_header("cutoff-burst"), 11);
    add_dala(made, {absl::Seconds(0), absl::Seconds(8), 0.2, 0.2, 0.2});
    add_dala(made, {absl::Seconds(8), absl::Seconds(32), 0.7, 0.8, 0.5});
    add_dala(made, {absl::Seconds(32), absl::Seconds(40), 0.2, 0.2, 0.1});
    return made.finish();
}

trace shift_change()
{
    trace_generator made(vitols_header("shift-change"), 12);
    add_vitols(made, {absl::Seconds(0), absl::Seconds(10), 0.1, 0.1, 0.6});
    add_vitols(made, {absl::Seconds(10), absl::Seconds(34), 0.3, 0.3, 1.4});
    return made.finish();
}

trace straggler()
{
    trace_generator made(vitols_header("straggler"), 13);
    add_vitols(made, {absl::Seconds(0), absl::Seconds(30), 0.25, 0.25, 0.25});
    trace_fault slow = fault_at(6, 24, fault_kind::straggler, "riga-engine-2");
    slow.factor = 8.0;
    made.add(slow);
    return made.finish();
}

trace crash_mid_answer()
{
    trace_generator made(dala_header("crash-mid-answer"), 14);
    add_dala(made, {absl::Seconds(0), absl::Seconds(36), 0.25, 0.25, 0.2});
    made.add(fault_at(6, 14, fault_kind::crash, "almaty-engine-1"));
    made.add(fault_at(12, 0, fault_kind::silent, "almaty-engine-2"));
    made.add(fault_at(18, 22, fault_kind::crash, "almaty-engine-3"));
    made.add(fault_at(20, 23, fault_kind::crash, "almaty-service"));
    trace_fault cut = fault_at(26, 30, fault_kind::region_cut, "");
    cut.region = core::region_name("shymkent");
    made.add(cut);
    return made.finish();
}

trace lying_load()
{
    trace_generator made(vitols_header("lying-load"), 15);
    add_vitols(made, {absl::Seconds(0), absl::Seconds(28), 0.3, 0.3, 0.2});
    trace_fault others =
        fault_at(4, 24, fault_kind::other_load, "riga-engine-1");
    others.running = 6;
    made.add(others);
    made.add(fault_at(4, 24, fault_kind::lying_load, "riga-engine-1"));
    trace_fault busy = fault_at(4, 24, fault_kind::lying_load, "riga-engine-3");
    busy.running = 60;
    made.add(busy);
    trace_fault lag = fault_at(2, 0, fault_kind::lagging_load, "riga-engine-4");
    lag.lag = absl::Seconds(6);
    made.add(lag);
    return made.finish();
}

trace flood()
{
    trace_generator made(dala_header("workspace-flood"), 16);
    traffic_mix calm{absl::Seconds(0), absl::Seconds(8), 0.3, 0.3, 0.2};
    add_dala(made, calm);
    // Workspace w1 sends ten times as much as each of the others.
    traffic_mix flooded{absl::Seconds(8),
                        absl::Seconds(36),
                        0.3,
                        1.5,
                        0.2,
                        {10, 1, 1, 1, 1, 1, 1, 1, 1, 1}};
    add_dala(made, flooded);
    return made.finish();
}

trace weekend_move()
{
    trace_generator made(vitols_header("weekend-move"), 17);
    add_vitols(made, {absl::Seconds(0), absl::Seconds(36), 0.2, 0.2, 0.3});
    for (int i = 1; i <= 6; ++i) {
        trace_server arriving = engine(vitols, "riga", 10 + i);
        arriving.speed.step = absl::Milliseconds(16);
        trace_fault arrives =
            fault_at(4.0 + 2.0 * i, 0, fault_kind::server_arriving,
                     arriving.server.id.value());
        arrives.arriving = arriving;
        made.add(arrives);
        made.add(fault_at(8.0 + 3.0 * i, 0, fault_kind::server_leaving,
                          "riga-engine-" + std::to_string(i)));
    }
    made.add(fault_at(21, 25, fault_kind::crash, "riga-engine-12"));
    return made.finish();
}

trace demo()
{
    trace_generator made(dala_header("demo"), 18);
    add_dala(made, {absl::Seconds(0), absl::Seconds(5), 0.15, 0.1, 0.1});
    return made.finish();
}

} // namespace

std::vector<named_trace> standard_traces()
{
    return {{"cutoff-burst.jsonl", cutoff_burst()},
            {"shift-change.jsonl", shift_change()},
            {"straggler.jsonl", straggler()},
            {"crash-mid-answer.jsonl", crash_mid_answer()},
            {"lying-load.jsonl", lying_load()},
            {"workspace-flood.jsonl", flood()},
            {"weekend-move.jsonl", weekend_move()},
            {"demo.jsonl", demo()}};
}

} // namespace oriolefall::bench
