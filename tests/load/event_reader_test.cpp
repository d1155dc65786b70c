#include "bench/event_reader.hpp"

#include <rapidcheck.h>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using oriolefall::bench::event_reader;

Test(event_reader, gives_the_same_events_however_the_bytes_are_cut)
{
    const bool held = rc::check("events survive any cut", [] {
        const std::string stream =
            "id: 0\ndata: one\n\nevent: error\ndata: two\n\ndata: [DONE]\n\n";
        std::vector<std::string> seen;
        event_reader reader(
            [&](std::string_view data) { seen.emplace_back(data); });
        std::size_t at = 0;
        while (at < stream.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 12);
            reader.feed(std::string_view(stream).substr(at, size));
            at += size;
        }
        RC_ASSERT(seen == (std::vector<std::string>{"one", "two", "[DONE]"}));
    });
    cr_assert(held);
}
