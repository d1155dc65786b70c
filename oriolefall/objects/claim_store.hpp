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
/// A claim is an object that is created before the order is sent, only when
/// it is absent, and that gets the outcome afterwards. It is the inbox of
/// "Transactional Outbox and Inbox: Understanding and Designing Around the
/// Dual Write Problem": a unique record of the message id decides which
/// delivery counts. There the record shares a transaction with its effect;
/// here the effect is another server's, so the record comes first, and a
/// claim without an outcome stands for "may have run": at most once, not
/// exactly once. Two platform writes for a request that runs, one more read
/// for a repeat. One thread.
class claim_store
{
public:
    /// `holder`: this instance and its incarnation.
    claim_store(object_store store, std::string holder);

    /// `granted` to at most one caller for each key, unless the one before
    /// recorded that its request was not run.
    [[nodiscard]] decision::claim_outcome
    claim(const core::workspace_id& workspace,
          const core::idempotency_key& key);

    /// Keeps the outcome of a granted claim. Only the version that was granted
    /// is replaced, so a late repeat of this write cannot undo a later claim.
    /// False when the platform did not take it: the claim then stands for
    /// "may have run" but at this holder, which still knows the outcome.
    bool record(const core::workspace_id& workspace,
                const core::idempotency_key& key, const core::verdict& outcome);

    /// Path of the claim of a key: a hash, since keys are any text.
    [[nodiscard]] static std::string
    path_of(const core::workspace_id& workspace,
            const core::idempotency_key& key);

private:
    [[nodiscard]] decision::claim_outcome
    create(const std::string& path, const core::idempotency_key& key,
           const write_condition& condition);
    [[nodiscard]] decision::claim_outcome
    judge(const stored_object& found, const core::idempotency_key& key);
    [[nodiscard]] decision::claim_outcome
    judge_without_outcome(const stored_object& found) const;
    void remember_unresolved(const std::string& path);

    /// A granted claim whose outcome the platform does not have yet.
    struct granted_claim
    {
        std::uint64_t version = 0;
        /// Empty until the request ended.
        std::string outcome;
    };

    object_store store_;
    std::string holder_;
    absl::flat_hash_map<std::string, granted_claim> granted_;
    /// Claims of this holder whose creation has an unknown outcome; none of
    /// them was granted, so none has run.
    std::set<std::string> unresolved_;
    std::deque<std::string> unresolved_order_;
};

} // namespace oriolefall::objects

#endif
