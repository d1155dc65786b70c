#include "oriolefall/forward/server_connection.hpp"

#include <criterion/criterion.h>

using oriolefall::forward::kept_time;
using std::chrono::milliseconds;

Test(kept_time, ends_before_the_server_closes)
{
    cr_assert_eq(kept_time(milliseconds(5000), milliseconds(1000)).count(),
                 4000);
    cr_assert_eq(kept_time(milliseconds(1000), milliseconds(1000)).count(),
                 500);
    cr_assert_eq(kept_time(milliseconds(0), milliseconds(1000)).count(), 0);
}
