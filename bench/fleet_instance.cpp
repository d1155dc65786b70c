#include "bench/fleet_instance.hpp"

#include "oriolefall/core/clock.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>
#include <vector>

namespace oriolefall::bench {

namespace {

constexpr std::size_t role_capacity = 64;

platform::client_settings client_of(const core::instance_id& self,
                                    fleet_shared& shared)
{
    platform::client_settings settings;
    settings.endpoint = shared.platform;
    settings.writer_name = self.value();
    settings.note = [&shared](const platform::call_noted&) {
        ++shared.platform_calls;
    };
    return settings;
}

settings::tree_object to_tree(const platform::stored_object& stored)
{
    return {stored.path, stored.version, stored.value};
}

std::vector<settings::tree_object> objects_of(const platform::store_news& news)
{
    std::vector<settings::tree_object> objects;
    if (const auto* list = std::get_if<platform::object_list>(&news))
        std::ranges::transform(list->objects, std::back_inserter(objects),
                               to_tree);
    if (const auto* some = std::get_if<platform::object_changes>(&news)) {
        for (const platform::object_change& change : some->changes) {
            if (change.object)
                objects.push_back(to_tree(*change.object));
        }
    }
    return objects;
}

} // namespace

struct fleet_instance::reader_duty
{
    reader_duty(const core::instance_id& self, fleet_shared& shared,
                peer::control_duty& control)
        : client(client_of(self, shared)),
          reader(
              {}, client.as_object_store(), [this] { client.stop(); },
              [&control](const platform::store_news& news) {
                  control.give(peer::settings_read{objects_of(news)});
              })
    {
    }

    platform::client client;
    platform::reader reader;
};

fleet_instance::fleet_instance(std::size_t number,
                               peer::control_settings settings,
                               fleet_shared& shared)
    : number_(number), shared_(shared), roles_(role_capacity),
      control_(std::move(settings), hooks())
{
}

fleet_instance::~fleet_instance()
{
    roles_.close();
    role_thread_.reset();
    reader_.reset();
    control_.stop();
}

bool fleet_instance::start()
{
    if (!control_.start())
        return false;
    role_thread_.emplace("reader-role", [this] { follow_role(); });
    return true;
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
            [this](bool is_reader) { roles_.try_push(is_reader); },
            [](const peer::peer_message&) {}};
}

void fleet_instance::follow_role()
{
    const core::instance_id self("reader" + std::to_string(number_));
    while (const auto is_reader = roles_.pop()) {
        is_reader_ = *is_reader;
        reader_.reset();
        if (*is_reader)
            reader_ = std::make_unique<reader_duty>(self, shared_, control_);
    }
}

} // namespace oriolefall::bench
