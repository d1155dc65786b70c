#include "oriolefall/observe/json_log.hpp"

#include "oriolefall/core/text.hpp"
#include "oriolefall/observe/log_time.hpp"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>
#include <iostream>
#include <string_view>

namespace oriolefall::observe {

namespace {

namespace logging = boost::log;
using severity_logger = logging::sources::severity_logger_mt<log_level>;
using text_backend_type = logging::sinks::text_ostream_backend;
using sink = logging::sinks::synchronous_sink<text_backend_type>;
using nlohmann::json;

constexpr std::array<std::string_view, 4> level_names{"debug", "info",
                                                      "warning", "error"};

severity_logger& logger()
{
    static severity_logger instance;
    return instance;
}

/// The members of a JSON object as text, without its braces.
std::string inner_members(const json& object)
{
    const std::string text =
        object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return text.substr(1, text.size() - 2);
}

core::reason reason_of(const core::verdict& verdict)
{
    if (const auto* refused = std::get_if<core::not_run>(&verdict))
        return refused->reason;
    return std::get<core::may_have_run>(verdict).reason;
}

} // namespace

void set_up_log(log_level min_level)
{
    const auto output =
        boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter());
    const auto text_backend = boost::make_shared<text_backend_type>();
    text_backend->add_stream(output);
    text_backend->auto_flush(true);
    const auto frontend = boost::make_shared<sink>(text_backend);
    frontend->set_formatter(logging::expressions::stream
                            << logging::expressions::smessage);
    logging::core::get()->add_sink(frontend);
    logging::core::get()->set_filter(
        logging::expressions::attr<log_level>("Severity") >= min_level);
}

void write_log(log_level level, const std::string& members)
{
    const std::string time = format_log_time(absl::Now());
    BOOST_LOG_SEV(logger(), level) << absl::StrCat(
        R"({"time":")", time, R"(","level":")",
        core::to_absl(level_names[static_cast<std::size_t>(level)]), R"(",)",
        members, "}");
}

std::string log_members(const log_entry& entry)
{
    return inner_members(
        json{{"source", entry.source}, {"message", entry.message}});
}

std::string log_members(const request_finished& end)
{
    json line{
        {"source", "request"},
        {"request", end.request.value()},
        {"workspace", end.workspace.value()},
        {"class", end.service_class.value()},
        {"tier", core::to_string(end.tier)},
        {"backend_server", end.server.value()},
        {"verdict", core::to_string(end.verdict)},
        {"calls", end.calls},
        {"tokens", end.tokens},
        {"whole_answer_ms", absl::ToDoubleMilliseconds(end.whole_answer_time)},
        {"attained", end.attained}};
    if (!std::holds_alternative<core::ran>(end.verdict))
        line["reason"] = core::to_string(reason_of(end.verdict));
    return inner_members(line);
}

} // namespace oriolefall::observe
