#include "oriolefall/daemon/registrar.hpp"

#include "oriolefall/platform/backoff.hpp"

#include <utility>
#include <variant>

namespace oriolefall::daemon {

namespace {

/// Share of the interval that is drawn at random, so that instances started
/// together do not call together.
constexpr double jitter_share = 0.5;

} // namespace

registrar::registrar(registrar_settings settings, const platform_access& access,
                     listed_hook listed)
    : settings_(std::move(settings)), listed_(std::move(listed)),
      client_(client_settings_of(access, "registrar")),
      store_(client_.as_object_store()), thread_("registrar", [this] { run(); })
{
}

registrar::~registrar()
{
    stop_.stop();
    client_.stop();
    thread_.join();
}

void registrar::leave()
{
    leaving_ = true;
}

void registrar::run()
{
    absl::Duration pause;
    do {
        announce();
        list();
        const double drawn = platform::draw_uniform();
        pause = settings_.interval * (1.0 - jitter_share * drawn);
    } while (stop_.wait(pause));
}

void registrar::announce()
{
    platform::listed_instance self = settings_.self;
    self.leaving = leaving_;
    static_cast<void>(store_.announce(self));
}

void registrar::list()
{
    auto listed = store_.instances();
    using list_type = std::vector<platform::listed_instance>;
    if (auto* instances = std::get_if<list_type>(&listed))
        listed_(std::move(*instances));
}

} // namespace oriolefall::daemon
