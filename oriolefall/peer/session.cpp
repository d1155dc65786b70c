#include "oriolefall/peer/session.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace oriolefall::peer {

namespace {

constexpr const char* path = "/oriolefall/peer";
constexpr std::size_t max_header_bytes = 4096;
constexpr const char* instance_header = "oriolefall-instance";
constexpr const char* incarnation_header = "oriolefall-incarnation";
constexpr const char* versions_header = "oriolefall-versions";
constexpr const char* nonce_header = "oriolefall-nonce";
constexpr const char* proof_header = "oriolefall-proof";
constexpr const char* status_ok = "200";
constexpr const char* status_wrong_version = "426";

using header = std::pair<std::string, std::string>;

/// Headers in the library's form; they point into `from`.
std::vector<nghttp2_nv> to_raw(std::vector<header>& from)
{
    const auto bytes = [](std::string& text) {
        return reinterpret_cast<std::uint8_t*>(text.data());
    };
    std::vector<nghttp2_nv> raw;
    for (auto& [name, value] : from)
        raw.push_back({bytes(name), bytes(value), name.size(), value.size(),
                       NGHTTP2_NV_FLAG_NONE});
    return raw;
}

void add_introduction(std::vector<header>& to, const introduction& self)
{
    to.emplace_back(instance_header, self.instance);
    to.emplace_back(incarnation_header, std::to_string(self.incarnation));
    to.emplace_back(versions_header, absl::StrCat(self.versions.lowest, "-",
                                                  self.versions.highest));
    to.emplace_back(nonce_header, self.nonce);
}

bool parse_versions(const std::string& text, version_range& out)
{
    const std::vector<std::string> ends = absl::StrSplit(text, '-');
    return ends.size() == 2 && absl::SimpleAtoi(ends[0], &out.lowest) &&
           absl::SimpleAtoi(ends[1], &out.highest) && out.lowest <= out.highest;
}

} // namespace

void session::raw_deleter::operator()(nghttp2_session* raw) const
{
    nghttp2_session_del(raw);
}

session::session(proof_role role, session_settings settings)
    : role_(role), settings_(std::move(settings)),
      reader_(settings_.max_record_bytes)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              on_data);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           on_stream_close);
    nghttp2_session* raw = nullptr;
    if (role_ == proof_role::dialer)
        nghttp2_session_client_new(&raw, callbacks, this);
    else
        nghttp2_session_server_new(&raw, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    assert(raw != nullptr);
    raw_.reset(raw);

    const std::array<nghttp2_settings_entry, 1> entries{
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1}}};
    nghttp2_submit_settings(raw, NGHTTP2_FLAG_NONE, entries.data(),
                            entries.size());
    if (role_ == proof_role::dialer)
        begin_request();
}

session::~session() = default;

bool session::feed(std::string_view bytes)
{
    if (fault_)
        return false;
    const ssize_t used = nghttp2_session_mem_recv(
        raw_.get(), reinterpret_cast<const std::uint8_t*>(bytes.data()),
        bytes.size());
    const bool is_over = nghttp2_session_want_read(raw_.get()) == 0;
    if (used < 0 || is_over)
        end(refusal::malformed);
    return !fault_;
}

void session::take_output(std::string& out, std::size_t most)
{
    while (out.size() < most) {
        const std::uint8_t* bytes = nullptr;
        const ssize_t size = nghttp2_session_mem_send(raw_.get(), &bytes);
        if (size < 0)
            end(refusal::malformed);
        if (size <= 0)
            return;
        out.append(reinterpret_cast<const char*>(bytes),
                   static_cast<std::size_t>(size));
    }
}

bool session::send(std::string_view record)
{
    if (!is_open_ || fault_ || record.size() > settings_.max_record_bytes)
        return false;
    if (queued_.size() - sent_ + record.size() > settings_.max_queued_bytes)
        return false;
    queue(record);
    return true;
}

void session::ping()
{
    nghttp2_submit_ping(raw_.get(), NGHTTP2_FLAG_NONE, nullptr);
}

bool session::is_open() const
{
    return is_open_ && !fault_;
}

std::optional<refusal> session::fault() const
{
    return fault_;
}

const introduction& session::peer() const
{
    return peer_;
}

std::uint32_t session::version() const
{
    return version_;
}

std::vector<std::string> session::take_records()
{
    return std::exchange(records_, {});
}

int session::on_header(nghttp2_session* /*raw*/, const nghttp2_frame* /*frame*/,
                       const std::uint8_t* name, std::size_t name_size,
                       const std::uint8_t* value, std::size_t value_size,
                       std::uint8_t /*flags*/, void* self)
{
    auto& here = *static_cast<session*>(self);
    here.header_bytes_ += name_size + value_size;
    if (here.header_bytes_ > max_header_bytes) {
        here.end(refusal::oversized);
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    here.headers_[{reinterpret_cast<const char*>(name), name_size}] = {
        reinterpret_cast<const char*>(value), value_size};
    return 0;
}

int session::on_frame(nghttp2_session* /*raw*/, const nghttp2_frame* frame,
                      void* self)
{
    auto& here = *static_cast<session*>(self);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        here.end(refusal::connection_lost);
        return 0;
    }
    if (frame->hd.type != NGHTTP2_HEADERS)
        return 0;
    if (here.role_ == proof_role::acceptor)
        here.on_request(frame->hd.stream_id);
    else
        here.on_response();
    return 0;
}

int session::on_data(nghttp2_session* /*raw*/, std::uint8_t /*flags*/,
                     std::int32_t stream, const std::uint8_t* data,
                     std::size_t size, void* self)
{
    auto& here = *static_cast<session*>(self);
    if (stream != here.stream_ || here.version_ == 0)
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    std::vector<std::string> records;
    const bool fits =
        here.reader_.feed({reinterpret_cast<const char*>(data), size}, records);
    for (std::string& record : records)
        here.on_record(std::move(record));
    if (!fits)
        here.end(refusal::oversized);
    return here.fault_ ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
}

int session::on_stream_close(nghttp2_session* /*raw*/, std::int32_t stream,
                             std::uint32_t /*error*/, void* self)
{
    auto& here = *static_cast<session*>(self);
    if (stream == here.stream_)
        here.end(refusal::connection_lost);
    return 0;
}

ssize_t session::read_data(nghttp2_session* /*raw*/, std::int32_t /*stream*/,
                           std::uint8_t* buffer, std::size_t size,
                           std::uint32_t* /*flags*/,
                           nghttp2_data_source* /*source*/, void* self)
{
    auto& here = *static_cast<session*>(self);
    const std::size_t count = std::min(size, here.queued_.size() - here.sent_);
    if (count == 0)
        return NGHTTP2_ERR_DEFERRED;
    const std::string_view part =
        std::string_view(here.queued_).substr(here.sent_, count);
    std::ranges::copy(part, buffer);
    here.sent_ += count;
    if (here.sent_ == here.queued_.size()) {
        here.queued_.clear();
        here.sent_ = 0;
    }
    return static_cast<ssize_t>(count);
}

void session::end(refusal why)
{
    if (!fault_)
        fault_ = why;
}

void session::begin_request()
{
    std::vector<header> fields{{":method", "POST"},
                               {":scheme", "http"},
                               {":authority", "peer"},
                               {":path", path}};
    add_introduction(fields, settings_.self);
    const std::vector<nghttp2_nv> raw = to_raw(fields);
    nghttp2_data_provider provider{};
    provider.read_callback = read_data;
    stream_ = nghttp2_submit_request(raw_.get(), nullptr, raw.data(),
                                     raw.size(), &provider, nullptr);
    assert(stream_ > 0);
}

void session::on_request(std::int32_t stream)
{
    if (stream_ != -1 || headers_[":path"] != path || !parse_introduction()) {
        end(refusal::malformed);
        return;
    }
    stream_ = stream;
    const auto version =
        common_version(settings_.self.versions, peer_.versions);
    respond(stream, version ? status_ok : status_wrong_version);
    if (version)
        version_ = *version;
    else
        end(refusal::wrong_version);
}

void session::on_response()
{
    if (version_ != 0 || headers_[":status"] == status_wrong_version) {
        end(version_ != 0 ? refusal::malformed : refusal::wrong_version);
        return;
    }
    if (headers_[":status"] != status_ok || !parse_introduction()) {
        end(refusal::malformed);
        return;
    }
    const auto version =
        common_version(settings_.self.versions, peer_.versions);
    if (!version) {
        end(refusal::wrong_version);
        return;
    }
    if (!same_proof(headers_[proof_header], proof_of(proof_role::acceptor))) {
        end(refusal::unauthenticated);
        return;
    }
    version_ = *version;
    is_open_ = true;
    queue(proof_of(proof_role::dialer));
}

void session::on_record(std::string record)
{
    if (is_open_) {
        records_.push_back(std::move(record));
        return;
    }
    if (same_proof(record, proof_of(proof_role::dialer)))
        is_open_ = true;
    else
        end(refusal::unauthenticated);
}

bool session::parse_introduction()
{
    peer_.instance = headers_[instance_header];
    peer_.nonce = headers_[nonce_header];
    return !peer_.instance.empty() &&
           peer_.nonce.size() == settings_.self.nonce.size() &&
           absl::SimpleAtoi(headers_[incarnation_header], &peer_.incarnation) &&
           parse_versions(headers_[versions_header], peer_.versions);
}

void session::respond(std::int32_t stream, const char* status)
{
    std::vector<header> fields{{":status", status}};
    add_introduction(fields, settings_.self);
    nghttp2_data_provider provider{};
    provider.read_callback = read_data;
    const bool is_accepted = std::string_view(status) == status_ok;
    if (is_accepted)
        fields.emplace_back(proof_header, proof_of(proof_role::acceptor));
    const std::vector<nghttp2_nv> raw = to_raw(fields);
    nghttp2_submit_response(raw_.get(), stream, raw.data(), raw.size(),
                            is_accepted ? &provider : nullptr);
}

void session::queue(std::string_view record)
{
    append_record(queued_, record);
    nghttp2_session_resume_data(raw_.get(), stream_);
}

const introduction& session::dialer() const
{
    return role_ == proof_role::dialer ? settings_.self : peer_;
}

const introduction& session::acceptor() const
{
    return role_ == proof_role::dialer ? peer_ : settings_.self;
}

std::string session::proof_of(proof_role role) const
{
    return make_proof(settings_.key, role, dialer(), acceptor());
}

} // namespace oriolefall::peer
