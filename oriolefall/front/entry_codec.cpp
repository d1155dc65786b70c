#include "oriolefall/front/entry_codec.hpp"

#include "oriolefall/front/json_text.hpp"

#include <algorithm>
#include <iterator>

namespace oriolefall::front {

using nlohmann::json;

std::string encode_entry(const entry_answer& answer)
{
    json endpoints = json::array();
    std::ranges::transform(
        answer.endpoints, std::back_inserter(endpoints),
        [](const core::endpoint& endpoint) {
            return json{{"address", endpoint.address}, {"port", endpoint.port}};
        });
    return to_text(
        {{"endpoints", std::move(endpoints)},
         {"lifetime_ms", absl::ToInt64Milliseconds(answer.lifetime)}});
}

} // namespace oriolefall::front
