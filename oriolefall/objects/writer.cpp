#include "oriolefall/objects/writer.hpp"

#include <utility>

namespace oriolefall::objects {

writer::writer(object_store store, std::function<void()> stop_store,
               std::size_t capacity)
    : store_(std::move(store)), stop_store_(std::move(stop_store)),
      orders_(capacity), thread_("platform-write", [this] { run(); })
{
}

writer::~writer()
{
    orders_.close();
    stop_store_();
    thread_.join();
}

bool writer::submit(write_order order)
{
    return orders_.try_push(std::move(order));
}

void writer::run()
{
    while (const auto order = orders_.pop())
        std::visit([this](const auto& some) { carry_out(some); }, *order);
}

void writer::carry_out(const put_order& order)
{
    order.done(store_.put(order.path, order.value, order.condition));
}

void writer::carry_out(const remove_order& order)
{
    order.done(store_.remove(order.path, order.condition));
}

void writer::carry_out(const announce_order& order)
{
    order.done(store_.announce(order.self));
}

} // namespace oriolefall::objects
