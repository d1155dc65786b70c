#ifndef ORIOLEFALL_FOLLOW_STORE_PROTOCOL_HPP
#define ORIOLEFALL_FOLLOW_STORE_PROTOCOL_HPP

#include "oriolefall/follow/store_connection.hpp"
#include "oriolefall/follow/stored_object.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::follow {

/// The encoding of calls to the store.
struct store_protocol
{
    /// HTTP request target of a read call.
    std::function<std::string(const read_call&)> target;
    /// Parses the answer to a read call.
    std::function<call_result(const read_call&, const store_answer&)> parse;
    /// Era of the store, if the answer names it.
    std::function<std::optional<std::uint64_t>(const store_answer&)> epoch;
    /// Calls that create or replace an object, to be made in order until one
    /// succeeds.
    std::function<std::vector<store_request>(const std::string& collection,
                                             const std::string& name,
                                             const std::string& value)>
        put;
    std::function<store_request(const std::string& collection,
                                const std::string& name)>
        remove;
    /// A call that costs the store little. Any answer shows that the store is
    /// reached.
    std::function<store_request(const std::string& collection,
                                const std::string& name)>
        check_path;
};

/// What a read call brought.
struct read_answer_result
{
    call_result result;
    /// Era of the store, if the answer names it.
    std::optional<std::uint64_t> epoch;
    auto operator<=>(const read_answer_result&) const = default;
};

/// Reads the answer to a read call. One that can't be read is a failed call,
/// whatever the hooks throw.
[[nodiscard]] read_answer_result read_answer(const store_protocol& protocol,
                                             const read_call& call,
                                             const store_result& result);

} // namespace oriolefall::follow

#endif
