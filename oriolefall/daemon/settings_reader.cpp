#include "oriolefall/daemon/settings_reader.hpp"

#include "oriolefall/objects/settings_store.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace oriolefall::daemon {

namespace {

constexpr std::size_t role_ring_capacity = 64;

std::vector<settings::tree_object>
to_tree_objects(const objects::store_update& update)
{
    std::vector<settings::tree_object> objects;
    if (const auto* list = std::get_if<objects::object_list>(&update))
        std::ranges::transform(list->objects, std::back_inserter(objects),
                               objects::to_tree_object);
    if (const auto* changes = std::get_if<objects::object_changes>(&update)) {
        for (const objects::object_change& change : changes->changes) {
            if (change.object)
                objects.push_back(objects::to_tree_object(*change.object));
        }
    }
    return objects;
}

} // namespace

struct settings_reader::active_reader
{
    active_reader(const objects::client_settings& settings,
                  const objects_sink& sink)
        : client(settings),
          watcher(
              objects::store_watcher_settings{}, client.as_object_store(),
              [this] { client.stop(); },
              [sink](const objects::store_update& update) {
                  sink(to_tree_objects(update));
              })
    {
    }

    objects::client client;
    objects::store_watcher watcher;
};

settings_reader::settings_reader(objects::client_settings client,
                                 objects_sink sink)
    : client_(std::move(client)), sink_(std::move(sink)),
      role_changes_(role_ring_capacity),
      thread_("settings-role", [this] { follow_role(); })
{
}

settings_reader::~settings_reader()
{
    role_changes_.close();
    thread_.join();
}

void settings_reader::set_role(bool is_reader)
{
    role_changes_.try_push(is_reader);
}

void settings_reader::follow_role()
{
    while (const auto is_reader = role_changes_.pop()) {
        if (*is_reader && !active_reader_)
            active_reader_ = std::make_unique<active_reader>(client_, sink_);
        if (!*is_reader)
            active_reader_.reset();
    }
    active_reader_.reset();
}

} // namespace oriolefall::daemon
