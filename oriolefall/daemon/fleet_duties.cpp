#include "oriolefall/daemon/fleet_duties.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::daemon {

namespace {

/// Maximum number of queued settings changes.
constexpr std::size_t settings_ring_capacity = 1024;

membership::member to_member(const objects::listed_instance& listed)
{
    membership::member member;
    member.id = listed.id;
    member.state = listed.leaving ? membership::member_state::leaving
                                  : membership::member_state::live;
    member.caller_endpoint = listed.endpoint;
    member.peer_endpoint = {listed.endpoint.address, listed.peer_port};
    member.location = listed.location;
    return member;
}

membership::platform_listed
to_event(const std::vector<objects::listed_instance>& listed)
{
    membership::platform_listed event;
    std::ranges::transform(listed, std::back_inserter(event.members),
                           to_member);
    return event;
}

} // namespace

fleet_duties::fleet_duties(const settings::instance_settings& settings,
                           std::uint64_t incarnation,
                           const std::optional<platform_access>& access,
                           record_sink report,
                           apply_settings_hook apply_settings)
    : settings_(settings), incarnation_(incarnation), access_(access),
      report_(std::move(report)),
      members_(std::make_shared<const std::vector<membership::member>>()),
      apply_settings_(std::move(apply_settings)),
      in_force_(std::make_shared<const objects::settings_in_force>()),
      settings_duty_(settings_ring_capacity, settings_hooks())
{
}

fleet_duties::~fleet_duties()
{
    // The control thread notifies the platform duties of their role, so it
    // must stop before they are destroyed.
    if (control_duty_)
        control_duty_->stop();
    registrar_.reset();
    settings_reader_.reset();
}

bool fleet_duties::start(const core::endpoint& callers)
{
    control_duty_ = std::make_unique<peer::control_duty>(
        control_settings(callers), control_hooks());
    if (access_)
        make_platform_duties();
    if (!control_duty_->start())
        return false;
    if (registrar_)
        registrar_->start({.id = settings_.instance,
                           .endpoint = callers,
                           .peer_port = control_duty_->port(),
                           .location = settings_.location,
                           .leaving = false});
    return true;
}

std::uint16_t fleet_duties::port() const
{
    return control_duty_->port();
}

void fleet_duties::leave()
{
    control_duty_->post(membership::leave_requested{});
    if (registrar_)
        registrar_->leave();
}

membership::entry_choice
fleet_duties::entry(const core::workspace_id& workspace) const
{
    const membership::entry_settings entry_settings{
        .lifetime = settings_.address_lifetime};
    const auto known = members_.get();
    return membership::choose_entry({workspace, settings_.location.region},
                                    *known, entry_settings);
}

peer::members_ptr fleet_duties::members() const
{
    return members_.get();
}

std::shared_ptr<const objects::settings_in_force>
fleet_duties::settings_in_force() const
{
    return in_force_.get();
}

peer::link_counts fleet_duties::counts() const
{
    return control_duty_->counts();
}

peer::control_settings
fleet_duties::control_settings(const core::endpoint& callers) const
{
    peer::control_settings control;
    control.link.self = settings_.instance;
    control.link.incarnation = incarnation_;
    control.link.listen = settings_.peer_listen;
    control.link.key = settings_.peer_key;
    control.link.jitter_seed = settings_.decider_seed;
    control.caller_endpoint = callers;
    control.location = settings_.location;
    control.seeds = settings_.peers;
    return control;
}

peer::control_hooks fleet_duties::control_hooks()
{
    peer::control_hooks hooks;
    hooks.members_changed = [this](peer::members_ptr members) {
        members_.set(std::move(members));
    };
    hooks.settings_changed =
        [this](const std::vector<settings::tree_object>& objects) {
            // A change dropped for a full ring is made up for by the next list
            // from the platform.
            settings_duty_.try_post(objects::peer_objects{objects});
        };
    hooks.reader_role_changed = [this](bool is_reader) {
        if (settings_reader_)
            settings_reader_->set_role(is_reader);
        if (registrar_)
            registrar_->set_role(is_reader);
    };
    hooks.other_message_received = [](const peer::peer_message&) {};
    return hooks;
}

objects::settings_duty_hooks fleet_duties::settings_hooks()
{
    objects::settings_duty_hooks hooks;
    hooks.publish = [this](const objects::settings_in_force& next) {
        apply(next);
    };
    // The control duty distributes the settings tree among peers, so these
    // hooks have nothing to do.
    hooks.announce_versions = [](const auto&) {};
    hooks.request_subtrees = [](const auto&, const auto&) {};
    hooks.send_subtree = [](const auto&, const auto&, const auto&) {};
    return hooks;
}

void fleet_duties::apply(const objects::settings_in_force& next)
{
    apply_settings_(next);
    in_force_.set(std::make_shared<const objects::settings_in_force>(next));
    const std::size_t faults = next.faults.size();
    report_(observe::counter_added{"settings_applied_total", "", ""});
    report_(observe::counter_added{"settings_faults_total", "", "", faults});
    const auto level =
        faults == 0 ? observe::log_level::info : observe::log_level::warning;
    report_(observe::log_entry{level, "settings",
                               absl::StrCat("version ", next.table->version,
                                            " in force, ", faults,
                                            " parts left out for faults")});
}

void fleet_duties::make_platform_duties()
{
    const auto post_objects =
        [this](std::vector<settings::tree_object> objects) {
            return control_duty_->post(peer::settings_read{std::move(objects)});
        };
    settings_reader_ = std::make_unique<settings_reader>(
        make_client_settings(*access_, "settings"), post_objects);
    registrar_ = std::make_unique<registrar>(
        registrar_settings{}, *access_,
        [this](const std::vector<objects::listed_instance>& listed) {
            control_duty_->post(to_event(listed));
        });
}

} // namespace oriolefall::daemon
