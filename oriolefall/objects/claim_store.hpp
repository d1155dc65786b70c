#ifndef ORIOLEFALL_OBJECTS_CLAIM_STORE_HPP
#define ORIOLEFALL_OBJECTS_CLAIM_STORE_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/core/verdict.hpp"
#include "oriolefall/decision/event.hpp"
#include "oriolefall/objects/object_store.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>

namespace oriolefall::objects {

/// Lets a request with an idempotency key run at most once in the fleet.
///
/// A claim is an object that is created, if absent, before the request is sent
/// to a backend server, and that receives the outcome afterwards. This is the
/// inbox pattern of "Transactional Outbox and Inbox: Understanding and
/// Designing Around the Dual Write Problem": a unique record of the message id
/// decides which delivery takes effect. There the record and the effect share
/// one transaction; here the effect takes place at a backend server, so the
/// record is written first and a claim without an outcome means "may have
/// run". The guarantee is at most once, not exactly once. A request that runs
/// costs two platform writes; a duplicate of it costs one write attempt and
/// one read. Not thread-safe.
class claim_store
{
public:
    /// `holder` identifies this instance and its incarnation.
    claim_store(object_store store, std::string holder);

    /// Returns `granted` at most once for each key, and once more each time
    /// that the holder records that its request was not run.
    [[nodiscard]] decision::claim_outcome
    claim(const core::workspace_id& workspace,
          const core::idempotency_key& key);

    /// Stores the outcome of a granted claim. Replaces only the version that
    /// was granted, so a late retry of this write cannot overwrite a later
    /// claim. Returns false when the platform did not store the outcome: the
    /// claim then means "may have run" to every other instance, while this
    /// holder still knows the outcome.
    bool record(const core::workspace_id& workspace,
                const core::idempotency_key& key, const core::verdict& outcome);

    /// Path of the claim of a key. It contains a hash, since a key may be any
    /// text.
    [[nodiscard]] static std::string
    path_of(const core::workspace_id& workspace,
            const core::idempotency_key& key);

private:
    [[nodiscard]] decision::claim_outcome
    create(const std::string& path, const core::idempotency_key& key,
           const write_condition& condition);
    /// Outcome for a claimant of `key` that found an existing claim.
    [[nodiscard]] decision::claim_outcome
    evaluate(const stored_object& found, const core::idempotency_key& key);
    /// The same for a claim of this holder that has no stored outcome.
    [[nodiscard]] decision::claim_outcome
    evaluate_own_claim(const stored_object& found) const;
    void add_unresolved(const std::string& path);

    /// A granted claim whose outcome is not stored in the platform yet.
    struct granted_claim
    {
        std::uint64_t version = 0;
        /// Empty until the request has ended.
        std::string outcome;
    };

    object_store store_;
    std::string holder_;
    absl::flat_hash_map<std::string, granted_claim> granted_;
    /// Claims of this holder whose creation has an unknown result. None of
    /// them was granted, so none of their requests has run.
    std::set<std::string> unresolved_;
    std::deque<std::string> unresolved_order_;
};

} // namespace oriolefall::objects

#endif
