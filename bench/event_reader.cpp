#include "bench/event_reader.hpp"

#include <utility>

namespace oriolefall::bench {

namespace {
constexpr std::string_view data_field = "data: ";
} // namespace

event_reader::event_reader(data_hook on_data) : on_data_(std::move(on_data)) {}

void event_reader::feed(std::string_view bytes)
{
    partial_ += bytes;
    std::size_t start = 0;
    std::size_t end = partial_.find('\n');
    while (end != std::string::npos) {
        const auto line = std::string_view(partial_).substr(start, end - start);
        if (line.starts_with(data_field))
            on_data_(line.substr(data_field.size()));
        start = end + 1;
        end = partial_.find('\n', start);
    }
    partial_.erase(0, start);
}

} // namespace oriolefall::bench
