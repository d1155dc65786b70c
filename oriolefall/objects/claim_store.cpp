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

constexpr std::size_t max_unresolved = 1024;
constexpr const char* key_field = "key";
constexpr const char* holder_field = "holder";
constexpr const char* outcome_field = "outcome";

/// A claim as stored in the platform.
struct claim_record
{
    std::string key;
    std::string holder;
    /// Empty until the request has ended.
    std::string outcome;
    auto operator<=>(const claim_record&) const = default;
};

std::string to_json(const claim_record& record)
{
    const nlohmann::json value{{key_field, record.key},
                               {holder_field, record.holder},
                               {outcome_field, record.outcome}};
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<claim_record> parse_claim(const std::string& text)
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
    const claim_outcome created = create(path, key, if_absent{});
    if (created != claim_outcome::in_progress)
        return created;
    const read_result found = store_.read(path);
    const auto* object = std::get_if<stored_object>(&found);
    if (object == nullptr)
        return claim_outcome::unavailable;
    const claim_outcome evaluated = evaluate(*object, key);
    if (evaluated != claim_outcome::granted)
        return evaluated;
    return create(path, key, if_version{object->version});
}

claim_outcome claim_store::create(const std::string& path,
                                  const core::idempotency_key& key,
                                  const write_condition& condition)
{
    const write_result result =
        store_.put(path, to_json({key.value(), holder_, ""}), condition);
    if (const auto* success = std::get_if<written>(&result)) {
        unresolved_.erase(path);
        granted_.insert_or_assign(path, granted_claim{success->version, ""});
        return claim_outcome::granted;
    }
    if (std::holds_alternative<conflict>(result))
        return claim_outcome::in_progress;
    if (std::holds_alternative<unknown_outcome>(result))
        add_unresolved(path);
    return claim_outcome::unavailable;
}

claim_outcome claim_store::evaluate(const stored_object& found,
                                    const core::idempotency_key& key)
{
    const auto record = parse_claim(found.value);
    if (!record)
        return claim_outcome::ran;
    // Hash collision: the claim belongs to another key, so nothing is known
    // about this one.
    if (record->key != key.value())
        return claim_outcome::unavailable;
    if (record->outcome == not_run_text())
        return claim_outcome::granted;
    if (!record->outcome.empty())
        return claim_outcome::ran;
    return record->holder == holder_ ? evaluate_own_claim(found)
                                     : claim_outcome::in_progress;
}

claim_outcome claim_store::evaluate_own_claim(const stored_object& found) const
{
    if (unresolved_.contains(found.path))
        return claim_outcome::granted;
    const auto granted = granted_.find(found.path);
    if (granted == granted_.end() || granted->second.outcome.empty())
        return claim_outcome::in_progress;
    return granted->second.outcome == not_run_text() ? claim_outcome::granted
                                                     : claim_outcome::ran;
}

void claim_store::add_unresolved(const std::string& path)
{
    if (!unresolved_.insert(path).second)
        return;
    unresolved_order_.push_back(path);
    if (unresolved_order_.size() > max_unresolved) {
        unresolved_.erase(unresolved_order_.front());
        unresolved_order_.pop_front();
    }
}

bool claim_store::record(const core::workspace_id& workspace,
                         const core::idempotency_key& key,
                         const core::verdict& outcome)
{
    const std::string path = path_of(workspace, key);
    const auto granted = granted_.find(path);
    if (granted == granted_.end())
        return false;
    granted->second.outcome = std::string(to_string(outcome));
    const claim_record record{key.value(), holder_, granted->second.outcome};
    const write_result result =
        store_.put(path, to_json(record), if_version{granted->second.version});
    const bool is_stored = std::holds_alternative<written>(result);
    if (is_stored)
        granted_.erase(granted);
    return is_stored;
}

} // namespace oriolefall::objects
