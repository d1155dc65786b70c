#include "oriolefall/forward/server_connection.hpp"

#include <criterion/criterion.h>

using oriolefall::forward::safe_idle_timeout;
using std::chrono::milliseconds;

Test(safe_idle_timeout, is_shorter_than_the_keep_alive_timeout_of_the_server)
{
    cr_assert_eq(
        safe_idle_timeout(milliseconds(5000), milliseconds(1000)).count(),
        4000);
    cr_assert_eq(
        safe_idle_timeout(milliseconds(1000), milliseconds(1000)).count(), 500);
    cr_assert_eq(safe_idle_timeout(milliseconds(0), milliseconds(1000)).count(),
                 0);
}
