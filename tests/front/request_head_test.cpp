#include "oriolefall/front/request_head.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall;

Test(request_head, ends_at_the_first_empty_line)
{
    cr_assert_eq(front::head_length("GET / HTTP/1.1\r\nA: b\r\n"),
                 std::string_view::npos);
    cr_assert_eq(
        front::head_length("GET / HTTP/1.1\r\nA: b\r\n\r\nbody\r\n\r\n"), 24);
}

Test(request_head, unbounded_headers_are_removed)
{
    const std::string head = "POST /range: HTTP/1.1\r\nA: range\r\nRANGE: x\r\n"
                             "Ranges: y\r\n Range : z\r\n"
                             "content-encoding:gzip\r\nB: c\r\n\r\n";
    cr_assert_eq(front::remove_unbounded_headers(head),
                 "POST /range: HTTP/1.1\r\nA: range\r\nRanges: y\r\nB: c"
                 "\r\n\r\n");
}

Test(request_head, all_other_lines_are_kept)
{
    cr_assert(rc::check([](const std::vector<std::uint8_t>& bytes) {
        std::string head = "GET / HTTP/1.1\r\n";
        for (const std::uint8_t byte : bytes)
            head += byte == 'r' || byte == 'R' || byte == 'c' || byte == 'C'
                        ? ':'
                        : static_cast<char>(byte);
        RC_ASSERT(front::remove_unbounded_headers(head) == head);
    }));
}
