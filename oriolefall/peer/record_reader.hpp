#ifndef ORIOLEFALL_PEER_RECORD_READER_HPP
#define ORIOLEFALL_PEER_RECORD_READER_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::peer {

/// Splits a byte stream into records. Each record is preceded by its length as
/// four bytes in big-endian order. One thread at a time.
class record_reader
{
public:
    explicit record_reader(std::size_t max_record_bytes);

    /// Takes the next bytes and appends the records that they complete to
    /// `out`. Returns false if a record is longer than allowed; the reader
    /// accepts nothing after that.
    bool feed(std::string_view bytes, std::vector<std::string>& out);

private:
    std::size_t max_record_bytes_;
    std::string buffer_;
    bool is_oversized_ = false;
};

/// Appends a record with its length prefix to `out`.
void append_record(std::string& out, std::string_view record);

} // namespace oriolefall::peer

#endif
