#include "oriolefall/router/request_log.hpp"

#include <criterion/criterion.h>
#include <memory>
#include <mutex>
#include <string>

namespace {

using namespace oriolefall;
using dispatch::decision;

const absl::Time start = absl::FromUnixSeconds(1000);

/// A log whose lines can be read after it has ended.
class written_lines
{
public:
    explicit written_lines(std::uint32_t direct_per_second)
        : log_(std::make_unique<observe::event_log>(
              observe::event_log_settings{"instance-1"},
              [this](const std::string& line) {
                  const std::lock_guard held(lock_);
                  text_ += line;
              })),
          subject({direct_per_second, absl::Seconds(10)}, *log_)
    {
    }

    std::string take()
    {
        log_.reset();
        return text_;
    }

private:
    std::mutex lock_;
    std::string text_;
    std::unique_ptr<observe::event_log> log_;

public:
    router::request_log subject;
};

dispatch::decision_record note(std::uint64_t id, decision what,
                               const std::string& server = "s1")
{
    dispatch::decision_record made;
    made.id = core::request_id(id);
    made.caller_request_id = "try-" + std::to_string(id);
    made.outcome = what;
    made.server = core::backend_server_id(server);
    made.settings_version = 7;
    made.servers_tried = 1;
    if (what == decision::refused)
        made.cause = "overloaded";
    return made;
}

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
        ++found;
    return found;
}

} // namespace

Test(request_log, writes_what_a_decision_rested_on)
{
    written_lines lines(10);
    lines.subject.note(start, note(1, decision::sent));
    lines.subject.note(start, note(1, decision::answered));
    const std::string text = lines.take();
    cr_assert_eq(count(text, "\"attempt\":\"try-1\""), 2);
    cr_assert_eq(count(text, "\"instance\":\"instance-1\""), 2);
    cr_assert_eq(count(text, "\"settings\":\"7\""), 2);
    cr_assert_eq(count(text, "\"outcome\":\"sent\""), 1);
    cr_assert_eq(count(text, "\"expected_ms\""), 1);
}

Test(request_log, under_load_leaves_out_whole_requests_that_went_well)
{
    written_lines lines(2);
    for (std::uint64_t id = 1; id <= 5; ++id) {
        lines.subject.note(start, note(id, decision::sent));
        lines.subject.note(start, note(id, decision::answered));
    }
    lines.subject.note(start + absl::Seconds(11), note(9, decision::sent));
    const std::string text = lines.take();
    cr_assert_eq(count(text, "\"outcome\":\"answered\""), 2);
    cr_assert_eq(count(text, "\"event\":\"requests_left_out\",\"count\":\"3\""),
                 1);
}

Test(request_log, under_load_keeps_each_line_of_a_request_that_failed)
{
    written_lines lines(1);
    lines.subject.note(start, note(1, decision::sent));
    lines.subject.note(start, note(2, decision::sent));
    lines.subject.note(start, note(2, decision::broken));
    lines.subject.note(start, note(2, decision::refused));
    const std::string text = lines.take();
    cr_assert_eq(count(text, "\"attempt\":\"try-2\""), 3);
    cr_assert_eq(count(text, "\"cause\":\"overloaded\""), 1);
}

Test(request_log, under_load_keeps_a_request_that_had_a_second_call)
{
    written_lines lines(0);
    lines.subject.note(start, note(2, decision::sent));
    lines.subject.note(start, note(2, decision::silent));
    lines.subject.note(start, note(2, decision::sent, "s2"));
    lines.subject.note(start, note(2, decision::answered, "s2"));
    cr_assert_eq(count(lines.take(), "\"attempt\":\"try-2\""), 4);
}

Test(request_log, tells_servers_that_are_left_out_and_taken_back)
{
    written_lines lines(0);
    lines.subject.note(
        start, dispatch::ejection_change{core::backend_server_id("s3"), true,
                                         absl::Milliseconds(1500), 40});
    lines.subject.note(
        start, dispatch::ejection_change{core::backend_server_id("s3"), false,
                                         absl::ZeroDuration(), 0});
    const std::string text = lines.take();
    cr_assert_eq(count(text, "\"event\":\"server_out\",\"server\":\"s3\","
                             "\"failed_percent\":\"40\",\"for_ms\":\"1500\""),
                 1);
    cr_assert_eq(count(text, "\"event\":\"server_back\""), 1);
}
