#include "stand_ins/answer_text.hpp"
#include "stand_ins/prefix_cache.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall::stand_ins;

Test(answer_text, is_the_same_however_often_it_is_resumed)
{
    const bool held = rc::check("text up to n is a prefix of the whole", [] {
        const std::uint64_t seed = answer_seed(*rc::gen::string<std::string>());
        const auto delivered = *rc::gen::inRange<std::uint32_t>(0, 50);
        const auto length = *rc::gen::inRange<std::uint32_t>(delivered, 100);
        std::string joined = answer_text(seed, delivered);
        for (std::uint32_t index = delivered; index < length; ++index)
            joined += token_text(seed, index);
        RC_ASSERT(joined == answer_text(seed, length));
    });
    cr_assert(held);
}

Test(prefix_cache, finds_a_shared_prefix_and_forgets_the_oldest)
{
    const std::string shared(block_tokens * bytes_per_token * 2, 'a');
    const std::string other(block_tokens * bytes_per_token * 3, 'b');
    prefix_cache cache(4);
    cr_assert_eq(cache.touch(prefix_blocks(shared + "x")), 0);
    cr_assert_eq(cache.touch(prefix_blocks(shared + "y")), 2);
    cr_assert_eq(cache.used(), 0.5);
    cr_assert_eq(cache.touch(prefix_blocks(other)), 0);
    cr_assert_eq(cache.touch(prefix_blocks(shared)), 1);
}
