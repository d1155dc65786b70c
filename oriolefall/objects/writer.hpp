#ifndef ORIOLEFALL_OBJECTS_WRITER_HPP
#define ORIOLEFALL_OBJECTS_WRITER_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/objects/object_store.hpp"

#include <functional>
#include <string>
#include <variant>

namespace oriolefall::objects {

/// Takes the result of a write, on the writer's thread; must not block long.
using write_done = std::function<void(const write_result&)>;

struct put_order
{
    std::string path;
    /// JSON text of an object.
    std::string value;
    write_condition condition;
    write_done done;
};

struct remove_order
{
    std::string path;
    write_condition condition;
    write_done done;
};

struct announce_order
{
    listed_instance self;
    write_done done;
};

using write_order = std::variant<put_order, remove_order, announce_order>;
using write_order_ring = core::bounded_ring<write_order>;

/// Carries out writes one after the other, in the order of the ring, and
/// tells each result. One thread of its own.
class writer
{
public:
    /// `stop_store` ends a call of `store` that is under way.
    writer(object_store store, std::function<void()> stop_store,
           std::size_t capacity);
    writer(const writer&) = delete;
    writer& operator=(const writer&) = delete;
    /// Refuses what still waits as stopped, and joins the thread.
    ~writer();

    /// Never blocks. False when there is no room; `done` is then not called.
    [[nodiscard]] bool submit(write_order order);

private:
    void run();
    void carry_out(const put_order& order);
    void carry_out(const remove_order& order);
    void carry_out(const announce_order& order);

    object_store store_;
    std::function<void()> stop_store_;
    write_order_ring orders_;
    core::duty_thread thread_;
};

} // namespace oriolefall::objects

#endif
