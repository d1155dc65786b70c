#include "oriolefall/dispatch/prompt_lengths.hpp"

#include <criterion/criterion.h>

using oriolefall::dispatch::prompt_lengths;

Test(prompt_lengths, rank_a_prompt_among_the_recent_ones)
{
    prompt_lengths lengths;
    cr_assert_eq(lengths.rank_of(1), 1);
    for (std::uint32_t tokens = 1; tokens <= 4; ++tokens)
        lengths.record(tokens * 100);
    cr_assert_eq(lengths.rank_of(50), 0);
    cr_assert_eq(lengths.rank_of(300), 0.75);
    cr_assert_eq(lengths.mean(), 250);
}

Test(prompt_lengths, forget_old_prompts)
{
    prompt_lengths lengths;
    lengths.record(1000000);
    for (int i = 0; i < 100; ++i)
        lengths.record(100);
    cr_assert_eq(lengths.rank_of(100), 1);
}
