#include "any_message.hpp"

#include "oriolefall/peer/codec.hpp"

#include <msgpack.hpp>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::peer;

Test(codec, reads_back_what_it_wrote)
{
    cr_assert(rc::check("round trip", [] {
        const message sent = tests::any_message();
        const auto got = decode(encode(sent));
        RC_ASSERT(std::holds_alternative<message>(got));
        RC_ASSERT(std::get<message>(got) == sent);
    }));
}

Test(codec, any_bytes_give_a_message_or_a_refusal)
{
    cr_assert(rc::check("any bytes", [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        const auto got = decode(bytes);
        if (std::holds_alternative<message>(got))
            RC_ASSERT(std::holds_alternative<message>(
                decode(encode(std::get<message>(got)))));
    }));
}

Test(codec, damaged_messages_give_a_message_or_a_refusal)
{
    cr_assert(rc::check("damage", [] {
        std::string bytes = encode(tests::any_message());
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = *rc::gen::arbitrary<char>();
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 3));
        const auto got = decode(bytes);
        if (std::holds_alternative<refusal>(got))
            RC_ASSERT(std::get<refusal>(got) == refusal::malformed ||
                      std::get<refusal>(got) == refusal::unknown_message);
    }));
}

Test(codec, a_truncated_message_is_malformed)
{
    cr_assert(rc::check("truncation", [] {
        const std::string bytes = encode(tests::any_message());
        const auto size = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT(std::get<refusal>(decode(bytes.substr(0, size))) ==
                  refusal::malformed);
    }));
}

Test(codec, ignores_fields_that_a_newer_release_adds)
{
    msgpack::sbuffer bytes;
    msgpack::packer to(bytes);
    to.pack_array(6);
    for (const std::uint64_t field : {0U, 1U, 2U, 3U, 4U, 99U})
        to.pack(field);
    const auto got = decode({bytes.data(), bytes.size()});
    const membership::heartbeat expected{1, 2, 3, 4};
    cr_assert(std::get<message>(got) == message(expected));
}

Test(codec, names_a_kind_that_only_a_newer_release_knows)
{
    msgpack::sbuffer bytes;
    msgpack::packer to(bytes);
    to.pack_array(1);
    to.pack(std::uint64_t{200});
    const auto got = decode({bytes.data(), bytes.size()});
    cr_assert(std::get<refusal>(got) == refusal::unknown_message);
}

Test(codec, a_list_that_claims_too_much_is_malformed)
{
    const std::string claims("\x92\x01\xdd\xff\xff\xff\xff", 7);
    cr_assert(std::get<refusal>(decode(claims)) == refusal::malformed);
    const std::string deep(100, '\x91');
    cr_assert(std::get<refusal>(decode(deep)) == refusal::malformed);
}
