#include "oriolefall/router/router_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace oriolefall::router {

namespace {

const prometheus::Histogram::BucketBoundaries answer_time_buckets{
    0.02, 0.05, 0.1, 0.2, 0.4, 0.66, 1, 2, 4, 8};
const prometheus::Histogram::BucketBoundaries gap_buckets{
    0.01, 0.02, 0.042, 0.08, 0.15, 0.3, 0.6, 1.2, 2.4};

void raise_to(prometheus::Counter& counter, std::uint64_t total)
{
    counter.Increment(static_cast<double>(total) - counter.Value());
}

} // namespace

router_metrics::router_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(counters("oriolefall_requests_total",
                         "Requests that ended, by how and why")),
      calls_(counters("oriolefall_server_calls_total",
                      "Calls to backend servers, by what became of them")),
      waiting_requests_(gauges("oriolefall_waiting_requests",
                               "Requests that wait for a server, by service")),
      server_changes_(counters("oriolefall_server_changes_total",
                               "Servers left out for failures or taken back")),
      quarantine_changes_(
          counters("oriolefall_prompt_quarantine_changes_total",
                   "Prompt parts that were quarantined or released")),
      rate_limit_changes_(
          counters("oriolefall_server_rate_limit_changes_total",
                   "Limits that servers named, changed or lifted")),
      server_notices_(counters("oriolefall_server_notices_total",
                               "What servers said of themselves, or that it "
                               "could not be read")),
      lease_changes_(counters("oriolefall_duty_lease_changes_total",
                              "Changes of the lease of the duties that one "
                              "instance at a time performs")),
      provider_calls_(counters("oriolefall_provider_calls_total",
                               "Calls to the provider, by duty and outcome")),
      server_connections_opened_(
          counters("oriolefall_server_connections_opened_total",
                   "Connections opened to backend servers")
              .Add({})),
      dropped_log_lines_(counters("oriolefall_log_lines_dropped_total",
                                  "Log lines that found no room")
                             .Add({})),
      read_errors_(counters("oriolefall_read_errors_total",
                            "Messages whose reader threw")
                       .Add({})),
      servers_(gauges("oriolefall_backend_servers",
                      "Backend servers known, by state")),
      store_unreachable_(gauges("oriolefall_store_away",
                                "1 while a collection can't be read")),
      call_limits_(gauges("oriolefall_server_call_limit",
                          "Calls that a server takes well, by service")),
      time_scales_(gauges("oriolefall_server_time_scale",
                          "How long work takes at a server relative to the "
                          "usual time, by service")),
      settings_version_(
          gauges("oriolefall_settings_version", "Version in force").Add({})),
      instances_(
          gauges("oriolefall_instances", "Instances that take part").Add({})),
      callers_(gauges("oriolefall_callers", "Connections of callers").Add({})),
      open_requests_(
          gauges("oriolefall_open_requests", "Requests not yet ended").Add({})),
      is_ready_(gauges("oriolefall_ready", "1 while it says that it is ready")
                    .Add({})),
      first_event_(histograms("oriolefall_first_event_seconds",
                              "From a request to the first event of its stream")
                       .Add({}, answer_time_buckets)),
      plain_answer_(histograms("oriolefall_plain_answer_seconds",
                               "From a request to its plain answer")
                        .Add({}, answer_time_buckets)),
      event_gap_(histograms("oriolefall_event_gap_seconds",
                            "Longest pause between two events of a stream")
                     .Add({}, gap_buckets))
{
}

void router_metrics::record(const dispatch::decision_record& value)
{
    using dispatch::decision;
    const std::string outcome(dispatch::to_string(value.outcome));
    const std::string cause(value.cause);
    if (!value.service.value().empty())
        waiting_requests_.Add({{"service", value.service.value()}})
            .Set(value.waiting);
    if (value.outcome == decision::queued)
        return;
    if (dispatch::ends_request(value.outcome))
        requests_.Add({{"outcome", outcome}, {"cause", cause}}).Increment();
    else
        calls_.Add({{"outcome", outcome}, {"cause", cause}}).Increment();
    if (value.outcome != decision::answered)
        return;
    const double seconds = absl::ToDoubleSeconds(value.first_event_time);
    if (!value.is_stream) {
        plain_answer_.Observe(seconds);
        return;
    }
    first_event_.Observe(seconds);
    event_gap_.Observe(absl::ToDoubleSeconds(value.longest_gap));
}

void router_metrics::record(const dispatch::ejection_change& value)
{
    server_changes_.Add({{"change", value.is_ejected ? "out" : "back"}})
        .Increment();
}

void router_metrics::record(const dispatch::quarantine_change& value)
{
    quarantine_changes_
        .Add({{"change", value.is_quarantined ? "quarantined" : "released"}})
        .Increment();
}

void router_metrics::record(const dispatch::rate_limit_change& value)
{
    rate_limit_changes_
        .Add({{"change", value.rate_limit ? "limited" : "unlimited"}})
        .Increment();
}

void router_metrics::record(const dispatch::notice_record& value)
{
    server_notices_
        .Add({{"kind", std::string(dispatch::to_string(value.kind))}})
        .Increment();
}

void router_metrics::count_lease_change(std::string_view change)
{
    lease_changes_.Add({{"change", std::string(change)}}).Increment();
}

void router_metrics::count_provider_call(const std::string& duty,
                                         std::string_view outcome)
{
    provider_calls_.Add({{"duty", duty}, {"outcome", std::string(outcome)}})
        .Increment();
}

void router_metrics::record(const dispatch::capacity_record& value)
{
    set_range(call_limits_, value.service.value(), value.summary.call_limits);
    set_range(time_scales_, value.service.value(), value.summary.time_scales);
}

void router_metrics::set_range(gauge_family& family, const std::string& service,
                               const dispatch::value_range& range)
{
    family.Add({{"service", service}, {"value", "mean"}}).Set(range.mean);
    family.Add({{"service", service}, {"value", "min"}}).Set(range.min);
    family.Add({{"service", service}, {"value", "max"}}).Set(range.max);
}

void router_metrics::set_settings_version(std::uint64_t version)
{
    settings_version_.Set(static_cast<double>(version));
}

void router_metrics::set_servers(std::size_t ready, std::size_t draining,
                                 std::size_t stale)
{
    servers_.Add({{"state", "ready"}}).Set(static_cast<double>(ready));
    servers_.Add({{"state", "leaving"}}).Set(static_cast<double>(draining));
    servers_.Add({{"state", "doubtful"}}).Set(static_cast<double>(stale));
}

void router_metrics::count_read_error()
{
    read_errors_.Increment();
}

void router_metrics::set_instances(std::size_t count)
{
    instances_.Set(static_cast<double>(count));
}

void router_metrics::set_store_unreachable(const std::string& collection,
                                           bool is_unreachable)
{
    store_unreachable_.Add({{"collection", collection}})
        .Set(is_unreachable ? 1 : 0);
}

std::string router_metrics::text(const current_stats& stats)
{
    callers_.Set(static_cast<double>(stats.callers));
    open_requests_.Set(static_cast<double>(stats.open_requests));
    is_ready_.Set(stats.is_ready ? 1 : 0);
    raise_to(server_connections_opened_, stats.server_connections_opened);
    raise_to(dropped_log_lines_, stats.log_lines_dropped);
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

router_metrics::counter_family&
router_metrics::counters(const std::string& name, const std::string& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(
        *registry_);
}

router_metrics::gauge_family& router_metrics::gauges(const std::string& name,
                                                     const std::string& help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*registry_);
}

router_metrics::histogram_family&
router_metrics::histograms(const std::string& name, const std::string& help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(
        *registry_);
}

} // namespace oriolefall::router
