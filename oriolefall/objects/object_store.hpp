#ifndef ORIOLEFALL_OBJECTS_OBJECT_STORE_HPP
#define ORIOLEFALL_OBJECTS_OBJECT_STORE_HPP

#include "oriolefall/objects/result.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>

namespace oriolefall::objects {

/// The calls that the platform's service takes, as hooks: a `client` gives
/// them over HTTP, a test gives others. Each blocks until its result or its
/// time limit. Not for several threads at once unless whoever gives them
/// says so.
struct object_store
{
    std::function<read_result(const std::string& path)> read;
    std::function<list_result(const std::string& prefix)> list;
    /// `value`: JSON text of an object.
    std::function<write_result(const std::string& path,
                               const std::string& value,
                               const write_condition& condition)>
        put;
    std::function<write_result(const std::string& path,
                               const write_condition& condition)>
        remove;
    /// Waits for changes after `from`, `limit` at most.
    std::function<watch_result(const std::string& prefix, std::uint64_t from,
                               absl::Duration limit)>
        watch;
    std::function<instances_result()> instances;
    /// Tells the platform where this instance is and whether it is leaving.
    std::function<write_result(const listed_instance& self)> announce;
};

} // namespace oriolefall::objects

#endif
