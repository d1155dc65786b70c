#include "oriolefall/daemon/registrar.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/objects/backoff.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace oriolefall::daemon {

namespace {

/// Fraction of an interval that is random, so that instances started together
/// do not call the platform at the same time.
constexpr double jitter_fraction = 0.5;
constexpr std::size_t command_capacity = 16;

} // namespace

registrar::registrar(const registrar_settings& settings,
                     const platform_access& access, listed_callback on_listed)
    : settings_(settings), on_listed_(std::move(on_listed)),
      client_(make_client_settings(access, "registrar")),
      store_(client_.as_object_store()), commands_(command_capacity)
{
}

registrar::~registrar()
{
    commands_.close();
    client_.stop();
    thread_.reset();
}

void registrar::start(objects::listed_instance self)
{
    self_ = std::move(self);
    thread_.emplace("registrar", [this] { run(); });
}

void registrar::leave()
{
    commands_.try_push(leave_command{});
}

void registrar::set_role(bool is_reader)
{
    commands_.try_push(role_command{is_reader});
}

void registrar::run()
{
    while (true) {
        const absl::Time now = core::monotonic_now();
        if (now >= next_announcement_at_)
            announce();
        if (is_reader_ && now >= next_list_at_)
            list();
        const absl::Time next =
            is_reader_ ? std::min(next_announcement_at_, next_list_at_)
                       : next_announcement_at_;
        const auto received = commands_.pop_until(core::to_steady(next));
        if (std::holds_alternative<core::ring_closed>(received))
            return;
        if (const auto* command = std::get_if<command_type>(&received))
            std::visit([this](const auto& chosen) { handle(chosen); },
                       *command);
    }
}

void registrar::handle(const leave_command&)
{
    self_.leaving = true;
    next_announcement_at_ = absl::InfinitePast();
}

void registrar::handle(const role_command& command)
{
    is_reader_ = command.is_reader;
}

void registrar::announce()
{
    const auto result = store_.announce(self_);
    const bool is_written = std::holds_alternative<objects::written>(result);
    next_announcement_at_ = jittered_deadline(
        is_written ? settings_.announce_interval : settings_.list_interval);
}

void registrar::list()
{
    auto listed = store_.instances();
    using list_type = std::vector<objects::listed_instance>;
    if (auto* instances = std::get_if<list_type>(&listed))
        on_listed_(std::move(*instances));
    next_list_at_ = jittered_deadline(settings_.list_interval);
}

absl::Time registrar::jittered_deadline(absl::Duration interval) const
{
    const double random = objects::draw_uniform();
    return core::monotonic_now() + interval * (1.0 - jitter_fraction * random);
}

} // namespace oriolefall::daemon
