#ifndef ORIOLEFALL_BENCH_EVENT_READER_HPP
#define ORIOLEFALL_BENCH_EVENT_READER_HPP

#include <functional>
#include <string>
#include <string_view>

namespace oriolefall::bench {

/// Cuts a stream of server-sent events into the data of each. One thread.
class event_reader
{
public:
    using data_hook = std::function<void(std::string_view)>;

    explicit event_reader(data_hook on_data);

    /// Takes the next bytes and tells the hook of each data line they end.
    void feed(std::string_view bytes);

private:
    data_hook on_data_;
    std::string partial_;
};

} // namespace oriolefall::bench

#endif
