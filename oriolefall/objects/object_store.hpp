#ifndef ORIOLEFALL_OBJECTS_OBJECT_STORE_HPP
#define ORIOLEFALL_OBJECTS_OBJECT_STORE_HPP

#include "oriolefall/objects/result.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>

namespace oriolefall::objects {

/// Operations of the platform's object store, as hooks: a `client` implements
/// them over HTTP, a test may implement them otherwise. Each blocks until it
/// has a result or times out. Not thread-safe unless the implementation states
/// otherwise.
struct object_store
{
    std::function<read_result(const std::string& path)> read;
    std::function<list_result(const std::string& prefix)> list;
    /// `value`: text of a JSON object.
    std::function<write_result(const std::string& path,
                               const std::string& value,
                               const write_condition& condition)>
        put;
    std::function<write_result(const std::string& path,
                               const write_condition& condition)>
        remove;
    /// Waits up to `timeout` for changes after revision `from`.
    std::function<watch_result(const std::string& prefix, std::uint64_t from,
                               absl::Duration timeout)>
        watch;
    std::function<instances_result()> instances;
    /// Registers the address, location and state of this instance.
    std::function<write_result(const listed_instance& self)> announce;
};

} // namespace oriolefall::objects

#endif
