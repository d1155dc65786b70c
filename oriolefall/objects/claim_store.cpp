#include "oriolefall/objects/claim_store.hpp"

#include "oriolefall/core/concat.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <optional>
#include <utility>

namespace oriolefall::objects {

namespace {

using decision::claim_outcome;

constexpr std::size_t most_unresolved = 1024;
constexpr const char* key_field = "key";
constexpr const char* holder_field = "holder";
constexpr const char* outcome_field = "outcome";

/// A claim as it is kept in the platform.
struct claim_record
{
    std::string key;
    std::string holder;
    /// "" until the request ended.
    std::string outcome;
    auto operator<=>(const claim_record&) const = default;
};

std::string print(const claim_record& record)
{
    const nlohmann::json value{{key_field, record.key},
                               {holder_field, record.holder},
                               {outcome_field, record.outcome}};
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<claim_record> parse(const std::string& text)
{
    const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    try {
        return claim_record{value.at(key_field).get<std::string>(),
                            value.at(holder_field).get<std::string>(),
                            value.at(outcome_field).get<std::string>()};
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::string not_run_text()
{
    return std::string(
        to_string(core::verdict(core::not_run{core::reason::queue_full})));
}

std::string hex(const XXH128_hash_t& hash)
{
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text.data();
}

} // namespace

claim_store::claim_store(object_store store, std::string holder)
    : store_(std::move(store)), holder_(std::move(holder))
{
}

std::string claim_store::path_of(const core::workspace_id& workspace,
                                 const core::idempotency_key& key)
{
    const std::string& text = key.value();
    return core::concat("/claims/", workspace.value(), "/",
                        hex(XXH3_128bits(text.data(), text.size())));
}

claim_outcome claim_store::claim(const core::workspace_id& workspace,
                                 const core::idempotency_key& key)
{
    const std::string path = path_of(workspace, key);
    const claim_outcome first = create(path, key, if_absent{});
    if (first != claim_outcome::in_progress)
        return first;
    const read_result found = store_.read(path);
    const auto* object = std::get_if<stored_object>(&found);
    if (object == nullptr)
        return claim_outcome::unavailable;
    const claim_outcome judged = judge(*object, key);
    if (judged != claim_outcome::granted)
        return judged;
    return create(path, key, if_version{object->version});
}

claim_outcome claim_store::create(const std::string& path,
                                  const core::idempotency_key& key,
                                  const write_condition& condition)
{
    const write_result result =
        store_.put(path, print({key.value(), holder_, ""}), condition);
    if (const auto* done = std::get_if<written>(&result)) {
        unresolved_.erase(path);
        granted_.insert_or_assign(path, granted_claim{done->version, ""});
        return claim_outcome::granted;
    }
    if (std::holds_alternative<conflict>(result))
        return claim_outcome::in_progress;
    if (std::holds_alternative<unknown_outcome>(result))
        remember_unresolved(path);
    return claim_outcome::unavailable;
}

claim_outcome claim_store::judge(const stored_object& found,
                                 const core::idempotency_key& key)
{
    const auto record = parse(found.value);
    if (!record)
        return claim_outcome::ran;
    // Another key with the same hash: nothing is known of this one.
    if (record->key != key.value())
        return claim_outcome::unavailable;
    if (record->outcome == not_run_text())
        return claim_outcome::granted;
    if (!record->outcome.empty())
        return claim_outcome::ran;
    return record->holder == holder_ ? judge_without_outcome(found)
                                     : claim_outcome::in_progress;
}

claim_outcome
claim_store::judge_without_outcome(const stored_object& found) const
{
    if (unresolved_.contains(found.path))
        return claim_outcome::granted;
    const auto held = granted_.find(found.path);
    if (held == granted_.end() || held->second.outcome.empty())
        return claim_outcome::in_progress;
    return held->second.outcome == not_run_text() ? claim_outcome::granted
                                                  : claim_outcome::ran;
}

void claim_store::remember_unresolved(const std::string& path)
{
    if (!unresolved_.insert(path).second)
        return;
    unresolved_order_.push_back(path);
    if (unresolved_order_.size() > most_unresolved) {
        unresolved_.erase(unresolved_order_.front());
        unresolved_order_.pop_front();
    }
}

bool claim_store::record(const core::workspace_id& workspace,
                         const core::idempotency_key& key,
                         const core::verdict& outcome)
{
    const std::string path = path_of(workspace, key);
    const auto held = granted_.find(path);
    if (held == granted_.end())
        return false;
    held->second.outcome = std::string(to_string(outcome));
    const claim_record record{key.value(), holder_, held->second.outcome};
    const write_result result =
        store_.put(path, print(record), if_version{held->second.version});
    const bool is_kept = std::holds_alternative<written>(result);
    if (is_kept)
        granted_.erase(held);
    return is_kept;
}

} // namespace oriolefall::objects
