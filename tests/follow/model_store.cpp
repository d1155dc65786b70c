#include "tests/follow/model_store.hpp"

#include <algorithm>
#include <iterator>

namespace oriolefall::tests {

using follow::change_list;
using follow::history_gone;
using follow::watch_call;

void model_store::put(const std::string& name)
{
    const stored_object object{name, ++state_.revision,
                               std::to_string(++value_)};
    state_.objects.insert_or_assign(name, object);
    state_.changes.push_back({object, false});
}

void model_store::remove(const std::string& name)
{
    if (state_.objects.erase(name) > 0)
        state_.changes.push_back({{name, ++state_.revision, {}}, true});
}

void model_store::copy()
{
    copy_ = state_;
}

void model_store::restore()
{
    state_ = copy_;
    ++epoch_;
}

list_page model_store::list() const
{
    list_page page;
    for (const auto& [name, object] : state_.objects)
        page.objects.push_back(object);
    page.revision = state_.revision;
    return page;
}

call_result model_store::changes_since(std::uint64_t revision) const
{
    if (revision > state_.revision)
        return history_gone{};
    change_list list{{}, state_.revision};
    std::ranges::copy_if(state_.changes, std::back_inserter(list.changes),
                         [revision](const object_change& change) {
                             return change.object.revision > revision;
                         });
    return list;
}

void model_store::answer(absl::Time now, collection_follower& follower) const
{
    const auto call = follower.next_call().first;
    follower.on_call_started(now);
    if (const auto* watch = std::get_if<watch_call>(&call))
        follower.on_result(now, changes_since(watch->from_revision), epoch_);
    else
        follower.on_result(now, list(), epoch_);
}

const std::map<std::string, stored_object>& model_store::objects() const
{
    return state_.objects;
}

std::uint64_t model_store::revision() const
{
    return state_.revision;
}

std::uint64_t model_store::epoch() const
{
    return epoch_;
}

} // namespace oriolefall::tests
