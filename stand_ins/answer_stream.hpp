#ifndef ORIOLEFALL_STAND_INS_ANSWER_STREAM_HPP
#define ORIOLEFALL_STAND_INS_ANSWER_STREAM_HPP

#include "stand_ins/engine_codec.hpp"

#include <memory>
#include <string>

namespace oriolefall::stand_ins {

/// Writes one answer to its connection, as events or as one body. For the
/// HTTP worker of the connection.
class answer_stream
{
public:
    answer_stream(generation_request request,
                  std::shared_ptr<stream_ring> events);

    /// Waits a short while for the next event and writes it; false when the
    /// connection is to be cut.
    bool write_next(httplib::DataSink& sink);

    /// True once the scheduler has no more to do with this answer.
    [[nodiscard]] bool ended() const noexcept
    {
        return ended_;
    }

private:
    bool write(const stream_event& event, httplib::DataSink& sink);
    bool write_token(std::uint32_t index, httplib::DataSink& sink);
    bool write_end(httplib::DataSink& sink);

    generation_request request_;
    std::shared_ptr<stream_ring> events_;
    std::string text_;
    bool ended_ = false;
};

} // namespace oriolefall::stand_ins

#endif
