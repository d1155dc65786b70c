#ifndef ORIOLEFALL_TESTS_FOLLOW_MODEL_STORE_HPP
#define ORIOLEFALL_TESTS_FOLLOW_MODEL_STORE_HPP

#include "oriolefall/follow/collection_follower.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolefall::tests {

using follow::call_result;
using follow::collection_follower;
using follow::list_page;
using follow::object_change;
using follow::stored_object;

/// One collection of a store with all its changes. Each value is written once.
class model_store
{
public:
    void put(const std::string& name);
    void remove(const std::string& name);
    void copy();
    /// Goes back to the copy, and gives its revisions out again.
    void restore();

    [[nodiscard]] list_page list() const;
    /// Without an answer for a revision that it has not reached.
    [[nodiscard]] call_result changes_since(std::uint64_t revision) const;
    /// Answers the next call of the follower.
    void answer(absl::Time now, collection_follower& follower) const;

    [[nodiscard]] const std::map<std::string, stored_object>& objects() const;
    [[nodiscard]] std::uint64_t revision() const;
    [[nodiscard]] std::uint64_t epoch() const;

private:
    struct state
    {
        std::map<std::string, stored_object> objects;
        std::vector<object_change> changes;
        std::uint64_t revision = 10;
    };

    state state_;
    state copy_;
    std::uint64_t epoch_ = 1;
    std::uint64_t value_ = 0;
};

} // namespace oriolefall::tests

#endif
