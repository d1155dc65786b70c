#include "oriolefall/daemon/registrar.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/objects/backoff.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace oriolefall::daemon {

namespace {

/// Share of the interval that is drawn at random, so that instances started
/// together do not call together.
constexpr double jitter_share = 0.5;
constexpr std::size_t order_capacity = 16;

} // namespace

registrar::registrar(const registrar_settings& settings,
                     const platform_access& access, listed_hook listed)
    : settings_(settings), listed_(std::move(listed)),
      client_(client_settings_of(access, "registrar")),
      store_(client_.as_object_store()), orders_(order_capacity)
{
}

registrar::~registrar()
{
    orders_.close();
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
    orders_.try_push(leave_order{});
}

void registrar::set_role(bool is_reader)
{
    orders_.try_push(role_order{is_reader});
}

void registrar::run()
{
    while (true) {
        const absl::Time now = core::monotonic_now();
        if (now >= announce_at_)
            announce();
        if (is_reader_ && now >= list_at_)
            list();
        const absl::Time next =
            is_reader_ ? std::min(announce_at_, list_at_) : announce_at_;
        const auto got = orders_.pop_until(core::to_steady(next));
        if (std::holds_alternative<core::ring_closed>(got))
            return;
        if (const auto* some = std::get_if<order>(&got))
            std::visit([this](const auto& one) { take(one); }, *some);
    }
}

void registrar::take(const leave_order&)
{
    self_.leaving = true;
    announce_at_ = absl::InfinitePast();
}

void registrar::take(const role_order& order)
{
    is_reader_ = order.is_reader;
}

void registrar::announce()
{
    const auto told = store_.announce(self_);
    const bool done = std::holds_alternative<objects::written>(told);
    announce_at_ =
        after(done ? settings_.announce_interval : settings_.list_interval);
}

void registrar::list()
{
    auto listed = store_.instances();
    using list_type = std::vector<objects::listed_instance>;
    if (auto* instances = std::get_if<list_type>(&listed))
        listed_(std::move(*instances));
    list_at_ = after(settings_.list_interval);
}

absl::Time registrar::after(absl::Duration interval) const
{
    const double drawn = objects::draw_uniform();
    return core::monotonic_now() + interval * (1.0 - jitter_share * drawn);
}

} // namespace oriolefall::daemon
