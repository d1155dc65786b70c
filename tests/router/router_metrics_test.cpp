#include "oriolefall/router/router_metrics.hpp"

#include <criterion/criterion.h>

namespace {

using namespace oriolefall;
using dispatch::decision;

bool has_line(const std::string& text, const std::string& line)
{
    return text.find(line + "\n") != std::string::npos;
}

dispatch::decision_record make_record(decision outcome,
                                      std::string_view cause = {})
{
    dispatch::decision_record record;
    record.outcome = outcome;
    record.cause = cause;
    return record;
}

} // namespace

Test(router_metrics, counts_requests_and_calls_by_outcome_and_cause)
{
    router::router_metrics subject;
    subject.record(make_record(decision::sent));
    subject.record(make_record(decision::broken, "connection_lost"));
    subject.record(make_record(decision::refused, "outcome_unknown"));
    const std::string text = subject.text({});
    cr_assert(has_line(text, "oriolefall_server_calls_total{cause=\"connection_"
                             "lost\",outcome=\"broken\"} 1"));
    cr_assert(has_line(text, "oriolefall_requests_total{cause=\"outcome_"
                             "unknown\",outcome=\"refused\"} 1"));
}

// Operators see that servers slow down long before they are full.
Test(router_metrics, gives_learned_limits_and_time_scales_by_service)
{
    router::router_metrics subject;
    subject.record(dispatch::capacity_record{routing::service_name("engine"),
                                             {3, {6, 2, 8}, {1.5, 1, 2}}});
    const std::string text = subject.text({});
    cr_assert(has_line(text, "oriolefall_server_call_limit{service=\"engine\","
                             "value=\"min\"} 2"));
    cr_assert(has_line(text, "oriolefall_server_time_scale{service=\"engine\","
                             "value=\"mean\"} 1.5"));
}

// Services are named by entries of the store.
Test(router_metrics, labels_of_any_text_stay_within_their_line)
{
    router::router_metrics subject;
    subject.record(dispatch::capacity_record{
        routing::service_name("a\"} 1\nforged{b=\"\\"), {1, {5, 5, 5}, {}}});
    const std::string text = subject.text({});
    cr_assert(has_line(text, "oriolefall_server_call_limit{service=\"a\\\"} 1"
                             "\\nforged{b=\\\"\\\\\",value=\"min\"} 5"));
    cr_assert_eq(text.find("\nforged"), std::string::npos);
}

Test(router_metrics, separates_streaming_and_plain_latency_histograms)
{
    router::router_metrics subject;
    dispatch::decision_record stream = make_record(decision::answered);
    stream.is_stream = true;
    stream.first_event_time = absl::Milliseconds(300);
    stream.longest_gap = absl::Milliseconds(50);
    subject.record(stream);
    const std::string text = subject.text({});
    cr_assert(
        has_line(text, "oriolefall_first_event_seconds_bucket{le=\"0.2\"} 0"));
    cr_assert(
        has_line(text, "oriolefall_first_event_seconds_bucket{le=\"0.4\"} 1"));
    cr_assert(
        has_line(text, "oriolefall_event_gap_seconds_bucket{le=\"0.08\"} 1"));
    cr_assert(has_line(text, "oriolefall_plain_answer_seconds_count 0"));
}

Test(router_metrics, exports_current_values)
{
    router::router_metrics subject;
    subject.set_settings_version(19);
    subject.set_servers(5, 1, 0);
    subject.set_store_unreachable("settings", true);
    const std::string text = subject.text({3, 2, 7, 1, true});
    cr_assert(has_line(text, "oriolefall_settings_version 19"));
    cr_assert(
        has_line(text, "oriolefall_backend_servers{state=\"leaving\"} 1"));
    cr_assert(
        has_line(text, "oriolefall_store_away{collection=\"settings\"} 1"));
    cr_assert(has_line(text, "oriolefall_server_connections_opened_total 7"));
    cr_assert(has_line(text, "oriolefall_ready 1"));
}

/// Guards against waiting requests that count as calls, or that nobody sees.
Test(router_metrics, shows_the_waiting_requests_of_a_service)
{
    router::router_metrics subject;
    auto queued = make_record(decision::queued);
    queued.service = routing::service_name("engine");
    queued.waiting = 3;
    subject.record(queued);
    auto sent = queued;
    sent.outcome = decision::sent;
    sent.waiting = 2;
    subject.record(sent);
    const std::string text = subject.text({});
    cr_assert(
        has_line(text, "oriolefall_waiting_requests{service=\"engine\"} 2"));
    cr_assert(text.find("outcome=\"queued\"") == std::string::npos);
}
