#include "oriolefall/peer/settings_exchange.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::peer {

namespace {
/// Unlike digests in a row before all versions are offered: changes under way
/// make a difference that soon ends by itself.
constexpr unsigned mismatch_limit = 3;
constexpr absl::Duration answer_limit = absl::Seconds(1);
/// Peers remembered for one object.
constexpr std::size_t max_offers = 8;
/// Values in one message, in bytes; a single larger one is sent alone.
constexpr std::size_t max_answer_bytes = std::size_t{256} * 1024;
} // namespace

void settings_exchange::on_opened(const core::instance_id& peer)
{
    // The first heartbeat with another digest is enough to offer all.
    links_[peer] = mismatch_limit - 1;
}

void settings_exchange::on_closed(const core::instance_id& peer)
{
    links_.erase(peer);
}

void settings_exchange::on_heartbeat(const core::instance_id& peer,
                                     std::uint64_t digest,
                                     std::vector<exchange_action>& out)
{
    const auto at = links_.find(peer);
    if (at == links_.end())
        return;
    at->second = digest == replica_.digest() ? 0 : at->second + 1;
    if (at->second < mismatch_limit)
        return;
    at->second = 0;
    out.emplace_back(outgoing{peer, settings_offer{replica_.versions()}});
}

void settings_exchange::on_message(absl::Time now,
                                   const core::instance_id& peer,
                                   const settings_offer& offer,
                                   std::vector<exchange_action>& out)
{
    replica_.expect(offer.versions);
    settings_fetch wanted;
    for (const settings::path_version& offered : offer.versions) {
        if (offered.version <= replica_.version_of(offered.path))
            continue;
        fetch& open = fetches_[offered.path];
        if (offered.version > open.version) {
            open = {offered.version, {}, now + answer_limit};
            wanted.paths.push_back(offered.path);
        } else if (open.offered_by.size() < max_offers) {
            open.offered_by.push_back(peer);
        }
    }
    if (!wanted.paths.empty())
        out.emplace_back(outgoing{peer, std::move(wanted)});
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
            out.emplace_back(outgoing{peer, std::exchange(answer, {})});
            bytes = 0;
        }
        bytes += object.value.size();
        answer.objects.push_back(std::move(object));
    }
    if (!answer.objects.empty())
        out.emplace_back(outgoing{peer, std::move(answer)});
}

void settings_exchange::on_message(absl::Time /*now*/,
                                   const core::instance_id& peer,
                                   const settings_answer& answer,
                                   std::vector<exchange_action>& out)
{
    for (const settings::tree_object& object : answer.objects)
        keep(object, out);
    tell_changes(peer, out);
}

void settings_exchange::on_read(
    const std::vector<settings::tree_object>& objects,
    std::vector<exchange_action>& out)
{
    for (const settings::tree_object& object : objects)
        keep(object, out);
    tell_changes({}, out);
}

void settings_exchange::on_tick(absl::Time now,
                                std::vector<exchange_action>& out)
{
    std::map<core::instance_id, settings_fetch> wanted;
    for (auto& [path, open] : fetches_) {
        if (now < open.deadline || open.offered_by.empty())
            continue;
        wanted[open.offered_by.front()].paths.push_back(path);
        open.offered_by.pop_front();
        open.deadline = now + answer_limit;
    }
    // What nobody answers is offered again when digests stay unlike.
    std::erase_if(fetches_, [now](const auto& entry) {
        return now >= entry.second.deadline;
    });
    for (auto& [peer, fetch] : wanted)
        out.emplace_back(outgoing{peer, std::move(fetch)});
}

const settings::replica& settings_exchange::replica() const
{
    return replica_;
}

void settings_exchange::keep(const settings::tree_object& object,
                             std::vector<exchange_action>& out)
{
    if (!replica_.offer(object))
        return;
    const auto open = fetches_.find(object.path);
    if (open != fetches_.end() && open->second.version <= object.version)
        fetches_.erase(open);
    changed_.push_back({object.path, object.version});
    out.emplace_back(settings_kept{object});
}

void settings_exchange::tell_changes(const core::instance_id& source,
                                     std::vector<exchange_action>& out)
{
    if (changed_.empty())
        return;
    const settings_offer offer{std::exchange(changed_, {})};
    for (const auto& [peer, mismatches] : links_) {
        if (peer != source)
            out.emplace_back(outgoing{peer, offer});
    }
}

} // namespace oriolefall::peer
