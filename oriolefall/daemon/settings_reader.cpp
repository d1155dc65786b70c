#include "oriolefall/daemon/settings_reader.hpp"

#include "oriolefall/objects/settings_store.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace oriolefall::daemon {

namespace {

constexpr std::size_t role_capacity = 64;

std::vector<settings::tree_object> objects_of(const objects::store_update& news)
{
    std::vector<settings::tree_object> objects;
    if (const auto* list = std::get_if<objects::object_list>(&news))
        std::ranges::transform(list->objects, std::back_inserter(objects),
                               objects::to_tree_object);
    if (const auto* some = std::get_if<objects::object_changes>(&news)) {
        for (const objects::object_change& change : some->changes) {
            if (change.object)
                objects.push_back(objects::to_tree_object(*change.object));
        }
    }
    return objects;
}

} // namespace

struct settings_reader::reading
{
    reading(const objects::client_settings& settings, const give_hook& give)
        : client(settings),
          reader(
              objects::store_watcher_settings{}, client.as_object_store(),
              [this] { client.stop(); },
              [give](const objects::store_update& news) {
                  give(objects_of(news));
              })
    {
    }

    objects::client client;
    objects::store_watcher reader;
};

settings_reader::settings_reader(objects::client_settings client,
                                 give_hook give)
    : client_(std::move(client)), give_(std::move(give)), roles_(role_capacity),
      thread_("settings-role", [this] { follow_role(); })
{
}

settings_reader::~settings_reader()
{
    roles_.close();
    thread_.join();
}

void settings_reader::set_role(bool is_reader)
{
    roles_.try_push(is_reader);
}

void settings_reader::follow_role()
{
    while (const auto is_reader = roles_.pop()) {
        if (*is_reader && !reading_)
            reading_ = std::make_unique<reading>(client_, give_);
        if (!*is_reader)
            reading_.reset();
    }
    reading_.reset();
}

} // namespace oriolefall::daemon
