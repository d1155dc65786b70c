#include "oriolefall/peer/record_reader.hpp"

#include <cstdint>

namespace oriolefall::peer {

namespace {

constexpr std::size_t length_prefix_bytes = 4;
constexpr unsigned bits_per_byte = 8;

std::size_t read_length(std::string_view bytes)
{
    std::size_t length = 0;
    for (const char byte : bytes.substr(0, length_prefix_bytes))
        length = length << bits_per_byte | static_cast<unsigned char>(byte);
    return length;
}

} // namespace

record_reader::record_reader(std::size_t max_record_bytes)
    : max_record_bytes_(max_record_bytes)
{
}

bool record_reader::feed(std::string_view bytes, std::vector<std::string>& out)
{
    if (is_oversized_)
        return false;
    buffer_.append(bytes);
    std::string_view rest = buffer_;
    while (rest.size() >= length_prefix_bytes) {
        const std::size_t length = read_length(rest);
        if (length > max_record_bytes_) {
            is_oversized_ = true;
            return false;
        }
        if (rest.size() < length_prefix_bytes + length)
            break;
        out.emplace_back(rest.substr(length_prefix_bytes, length));
        rest.remove_prefix(length_prefix_bytes + length);
    }
    buffer_.erase(0, buffer_.size() - rest.size());
    return true;
}

void append_record(std::string& out, std::string_view record)
{
    const auto length = static_cast<std::uint32_t>(record.size());
    for (unsigned at = length_prefix_bytes; at-- > 0;)
        out.push_back(static_cast<char>(length >> at * bits_per_byte));
    out.append(record);
}

} // namespace oriolefall::peer
