#ifndef ORIOLEFALL_PEER_RECORD_READER_HPP
#define ORIOLEFALL_PEER_RECORD_READER_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::peer {

/// Cuts a stream of bytes into records, each led by its length in four bytes,
/// highest first. One thread at a time.
class record_reader
{
public:
    explicit record_reader(std::size_t max_record_bytes);

    /// Takes the next bytes and adds the records that they complete to `out`.
    /// False when a record is longer than allowed; nothing is read after that.
    bool feed(std::string_view bytes, std::vector<std::string>& out);

private:
    std::size_t max_record_bytes_;
    std::string buffer_;
    bool is_oversized_ = false;
};

/// Adds a record with its length to `out`.
void append_record(std::string& out, std::string_view record);

} // namespace oriolefall::peer

#endif
