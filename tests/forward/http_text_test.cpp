#include "oriolefall/forward/http_text.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <string>

using namespace oriolefall::forward;

Test(http_text, reads_the_timeout_of_a_keep_alive_field)
{
    cr_assert(parse_keep_alive_timeout("timeout=4, max=9") ==
              std::chrono::seconds(4));
    cr_assert(parse_keep_alive_timeout("max=9,timeout=15") ==
              std::chrono::seconds(15));
    for (const std::string none : {"", "max=9", "timeout=", "timeout=-1"})
        cr_assert_not(parse_keep_alive_timeout(none).has_value());
}
