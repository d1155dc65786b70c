#ifndef ORIOLEFALL_STAND_INS_ENGINE_MESSAGES_HPP
#define ORIOLEFALL_STAND_INS_ENGINE_MESSAGES_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "stand_ins/engine_settings.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::stand_ins {

/// One answer to compute.
struct generation_order
{
    std::uint64_t id = 0;
    std::string model;
    /// 0 (highest) to 2.
    int priority = 1;
    std::uint32_t prompt_tokens = 1;
    std::vector<std::uint64_t> prefix_blocks;
    /// Index of the first token to send; above 0 when an answer is resumed.
    std::uint32_t first_index = 0;
    /// Tokens in the whole answer.
    std::uint32_t length = 1;
    std::strong_ordering operator<=>(const generation_order&) const = default;
};

/// The request was taken; `load` goes into the response headers.
struct stream_accepted
{
    engine_load load;
    std::partial_ordering operator<=>(const stream_accepted&) const = default;
};

/// The request was refused before any work.
struct stream_refused
{
    engine_load load;
    /// The model is not loaded; else there is no room.
    bool unknown_model = false;
    std::partial_ordering operator<=>(const stream_refused&) const = default;
};

struct stream_token
{
    std::uint32_t index = 0;
    std::strong_ordering operator<=>(const stream_token&) const = default;
};

/// All tokens have been sent.
struct stream_finished
{
    std::strong_ordering operator<=>(const stream_finished&) const = default;
};

/// The connection is to be cut, as by a crash.
struct stream_cut
{
    std::strong_ordering operator<=>(const stream_cut&) const = default;
};

using stream_event = std::variant<stream_accepted, stream_refused, stream_token,
                                  stream_finished, stream_cut>;
using stream_ring = core::bounded_ring<stream_event>;
/// Takes the events of one answer; must not block.
using stream_sink = std::function<void(stream_event)>;

enum class order_kind
{
    load_model,
    unload_model
};

/// An order to load or drop a model.
struct model_order
{
    order_kind kind = order_kind::load_model;
    std::string model;
    std::uint64_t fencing_number = 0;
    std::strong_ordering operator<=>(const model_order&) const = default;
};

enum class order_result
{
    loading,
    loaded,
    unloaded,
    fenced
};

struct model_list
{
    std::vector<std::string> loaded;
    std::vector<std::string> loading;
    std::strong_ordering operator<=>(const model_list&) const = default;
};

/// A ring for a single answer to a question.
template <class T>
using reply_ring = std::shared_ptr<core::bounded_ring<T>>;

struct submit_stream
{
    generation_order order;
    stream_sink sink;
};

/// The connection of this answer is gone.
struct cancel_stream
{
    std::uint64_t id = 0;
};

struct ask_order
{
    model_order order;
    reply_ring<order_result> reply;
};

struct ask_models
{
    reply_ring<model_list> reply;
};

struct ask_load
{
    reply_ring<engine_load> reply;
};

struct ask_stats
{
    reply_ring<engine_stats> reply;
};

/// Changes the faults in force.
struct change_faults
{
    std::function<void(engine_faults&)> change;
    reply_ring<engine_faults> reply;
};

/// What the HTTP workers ask of the scheduler thread.
using engine_command =
    std::variant<submit_stream, cancel_stream, ask_order, ask_models, ask_load,
                 ask_stats, change_faults>;

} // namespace oriolefall::stand_ins

#endif
