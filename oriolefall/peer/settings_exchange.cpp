#include "oriolefall/peer/settings_exchange.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::peer {

namespace {
/// Consecutive digest mismatches after which all versions are offered. A single
/// mismatch may come from a change that is still being replicated.
constexpr unsigned mismatch_threshold = 3;
/// Time after which an object is requested from another peer.
constexpr absl::Duration answer_timeout = absl::Seconds(1);
/// Limit on the alternative peers that are remembered for one object.
constexpr std::size_t max_alternative_peers = 8;
/// Limit on the total size of the values in one message, in bytes. A larger
/// single value is sent in a message of its own.
constexpr std::size_t max_answer_bytes = std::size_t{256} * 1024;
} // namespace

void settings_exchange::on_peer_opened(const core::instance_id& peer)
{
    // After a link opens, the first mismatch triggers an offer of all versions.
    linked_peers_[peer] = mismatch_threshold - 1;
}

void settings_exchange::on_peer_closed(const core::instance_id& peer)
{
    linked_peers_.erase(peer);
}

void settings_exchange::on_heartbeat(const core::instance_id& peer,
                                     std::uint64_t digest,
                                     std::vector<exchange_action>& out)
{
    const auto linked = linked_peers_.find(peer);
    if (linked == linked_peers_.end())
        return;
    linked->second = digest == replica_.digest() ? 0 : linked->second + 1;
    if (linked->second < mismatch_threshold)
        return;
    linked->second = 0;
    out.emplace_back(
        outgoing_message{peer, settings_offer{replica_.versions()}});
}

void settings_exchange::on_message(absl::Time now,
                                   const core::instance_id& peer,
                                   const settings_offer& offer,
                                   std::vector<exchange_action>& out)
{
    replica_.expect(offer.versions);
    settings_fetch request;
    for (const settings::path_version& offered : offer.versions) {
        if (offered.version <= replica_.version_of(offered.path))
            continue;
        pending_fetch& pending = pending_fetches_[offered.path];
        if (offered.version > pending.version) {
            pending = {offered.version, {}, now + answer_timeout};
            request.paths.push_back(offered.path);
        } else if (pending.alternative_peers.size() < max_alternative_peers) {
            pending.alternative_peers.push_back(peer);
        }
    }
    if (!request.paths.empty())
        out.emplace_back(outgoing_message{peer, std::move(request)});
}

void settings_exchange::on_message(absl::Time /*now*/,
                                   const core::instance_id& peer,
                                   const settings_fetch& fetch,
                                   std::vector<exchange_action>& out)
{
    settings_answer answer;
    std::size_t bytes = 0;
    for (settings::tree_object& object : replica_.objects()) {
        if (std::ranges::find(fetch.paths, object.path) == fetch.paths.end())
            continue;
        if (bytes > 0 && bytes + object.value.size() > max_answer_bytes) {
            out.emplace_back(outgoing_message{peer, std::exchange(answer, {})});
            bytes = 0;
        }
        bytes += object.value.size();
        answer.objects.push_back(std::move(object));
    }
    if (!answer.objects.empty())
        out.emplace_back(outgoing_message{peer, std::move(answer)});
}

void settings_exchange::on_message(absl::Time /*now*/,
                                   const core::instance_id& peer,
                                   const settings_answer& answer,
                                   std::vector<exchange_action>& out)
{
    for (const settings::tree_object& object : answer.objects)
        store(object, out);
    offer_changes(peer, out);
}

void settings_exchange::on_platform_read(
    const std::vector<settings::tree_object>& objects,
    std::vector<exchange_action>& out)
{
    for (const settings::tree_object& object : objects)
        store(object, out);
    offer_changes({}, out);
}

void settings_exchange::on_tick(absl::Time now,
                                std::vector<exchange_action>& out)
{
    std::map<core::instance_id, settings_fetch> requests;
    for (auto& [path, pending] : pending_fetches_) {
        if (now < pending.deadline || pending.alternative_peers.empty())
            continue;
        requests[pending.alternative_peers.front()].paths.push_back(path);
        pending.alternative_peers.pop_front();
        pending.deadline = now + answer_timeout;
    }
    // An unanswered object is offered again if the digests keep differing.
    std::erase_if(pending_fetches_, [now](const auto& entry) {
        return now >= entry.second.deadline;
    });
    for (auto& [peer, request] : requests)
        out.emplace_back(outgoing_message{peer, std::move(request)});
}

const settings::replica& settings_exchange::replica() const
{
    return replica_;
}

void settings_exchange::store(const settings::tree_object& object,
                              std::vector<exchange_action>& out)
{
    if (!replica_.offer(object))
        return;
    const auto pending = pending_fetches_.find(object.path);
    if (pending != pending_fetches_.end() &&
        pending->second.version <= object.version)
        pending_fetches_.erase(pending);
    changed_versions_.push_back({object.path, object.version});
    out.emplace_back(object_updated{object});
}

void settings_exchange::offer_changes(const core::instance_id& source,
                                      std::vector<exchange_action>& out)
{
    if (changed_versions_.empty())
        return;
    const settings_offer offer{std::exchange(changed_versions_, {})};
    for (const auto& [peer, mismatches] : linked_peers_) {
        if (peer != source)
            out.emplace_back(outgoing_message{peer, offer});
    }
}

} // namespace oriolefall::peer
