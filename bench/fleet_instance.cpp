#include "bench/fleet_instance.hpp"

#include "oriolefall/core/clock.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace oriolefall::bench {

namespace {

objects::client_settings client_of(const core::instance_id& self,
                                   fleet_shared& shared)
{
    objects::client_settings settings;
    settings.endpoint = shared.platform;
    settings.write_id_prefix = self.value();
    settings.on_call = [&shared](const objects::call_record&) {
        ++shared.platform_calls;
    };
    return settings;
}

} // namespace

fleet_instance::fleet_instance(std::size_t number,
                               peer::control_settings settings,
                               fleet_shared& shared)
    : number_(number), shared_(shared), control_(std::move(settings), hooks()),
      reader_(client_of(core::instance_id("reader" + std::to_string(number)),
                        shared),
              [this](std::vector<settings::tree_object> objects) {
                  return control_.post(peer::settings_read{std::move(objects)});
              })
{
}

fleet_instance::~fleet_instance()
{
    control_.stop();
}

bool fleet_instance::start()
{
    return control_.start();
}

std::uint16_t fleet_instance::port() const
{
    return control_.port();
}

peer::link_counts fleet_instance::counts() const
{
    return control_.counts();
}

std::size_t fleet_instance::live_members() const
{
    return live_members_;
}

bool fleet_instance::is_reader() const
{
    return is_reader_;
}

peer::control_hooks fleet_instance::hooks()
{
    return {[this](const peer::members_ptr& members) {
                live_members_ = static_cast<std::size_t>(
                    std::ranges::count(*members, membership::member_state::live,
                                       &membership::member::state));
            },
            [this](const std::vector<settings::tree_object>& kept) {
                const absl::Time now = core::monotonic_now();
                for (const settings::tree_object& object : kept)
                    shared_.changes.try_push({number_, object.version, now});
            },
            [this](bool is_reader) {
                is_reader_ = is_reader;
                reader_.set_role(is_reader);
            },
            [](const peer::peer_message&) {}};
}

} // namespace oriolefall::bench
