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

constexpr const char* request_path = "/oriolefall/peer";
constexpr std::size_t max_header_bytes = 4096;
constexpr const char* instance_header = "oriolefall-instance";
constexpr const char* incarnation_header = "oriolefall-incarnation";
constexpr const char* versions_header = "oriolefall-versions";
constexpr const char* nonce_header = "oriolefall-nonce";
constexpr const char* proof_header = "oriolefall-proof";
constexpr const char* status_ok = "200";
constexpr const char* status_wrong_version = "426";

using header = std::pair<std::string, std::string>;

/// Converts headers to the form that nghttp2 takes. The result points into
/// `from`.
std::vector<nghttp2_nv> to_native_headers(std::vector<header>& from)
{
    const auto bytes = [](std::string& text) {
        return reinterpret_cast<std::uint8_t*>(text.data());
    };
    std::vector<nghttp2_nv> native_headers;
    for (auto& [name, value] : from)
        native_headers.push_back({bytes(name), bytes(value), name.size(),
                                  value.size(), NGHTTP2_NV_FLAG_NONE});
    return native_headers;
}

void add_handshake_params(std::vector<header>& to, const handshake_params& self)
{
    to.emplace_back(instance_header, self.instance);
    to.emplace_back(incarnation_header, std::to_string(self.incarnation));
    to.emplace_back(versions_header, absl::StrCat(self.versions.lowest, "-",
                                                  self.versions.highest));
    to.emplace_back(nonce_header, self.nonce);
}

bool parse_versions(const std::string& text, version_range& out)
{
    const std::vector<std::string> bounds = absl::StrSplit(text, '-');
    return bounds.size() == 2 && absl::SimpleAtoi(bounds[0], &out.lowest) &&
           absl::SimpleAtoi(bounds[1], &out.highest) &&
           out.lowest <= out.highest;
}

} // namespace

void session::handle_deleter::operator()(nghttp2_session* handle) const
{
    nghttp2_session_del(handle);
}

session::session(connection_role role, session_settings settings)
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
    nghttp2_session* handle = nullptr;
    if (role_ == connection_role::dialer)
        nghttp2_session_client_new(&handle, callbacks, this);
    else
        nghttp2_session_server_new(&handle, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    assert(handle != nullptr);
    handle_.reset(handle);

    const std::array<nghttp2_settings_entry, 1> entries{
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1}}};
    nghttp2_submit_settings(handle, NGHTTP2_FLAG_NONE, entries.data(),
                            entries.size());
    if (role_ == connection_role::dialer)
        submit_request();
}

session::~session() = default;

bool session::feed(std::string_view bytes)
{
    if (close_reason_)
        return false;
    const ssize_t consumed = nghttp2_session_mem_recv(
        handle_.get(), reinterpret_cast<const std::uint8_t*>(bytes.data()),
        bytes.size());
    const bool is_finished = nghttp2_session_want_read(handle_.get()) == 0;
    if (consumed < 0 || is_finished)
        close(refusal::malformed);
    return !close_reason_;
}

void session::take_output(std::string& out, std::size_t max_bytes)
{
    while (out.size() < max_bytes) {
        const std::uint8_t* bytes = nullptr;
        const ssize_t size = nghttp2_session_mem_send(handle_.get(), &bytes);
        if (size < 0)
            close(refusal::malformed);
        if (size <= 0)
            return;
        out.append(reinterpret_cast<const char*>(bytes),
                   static_cast<std::size_t>(size));
    }
}

bool session::send(std::string_view record)
{
    if (!is_open_ || close_reason_ ||
        record.size() > settings_.max_record_bytes)
        return false;
    if (send_buffer_.size() - send_offset_ + record.size() >
        settings_.max_queued_bytes)
        return false;
    enqueue(record);
    return true;
}

void session::ping()
{
    nghttp2_submit_ping(handle_.get(), NGHTTP2_FLAG_NONE, nullptr);
}

bool session::is_open() const
{
    return is_open_ && !close_reason_;
}

std::optional<refusal> session::close_reason() const
{
    return close_reason_;
}

const handshake_params& session::peer() const
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

int session::on_header(nghttp2_session* /*handle*/,
                       const nghttp2_frame* /*frame*/, const std::uint8_t* name,
                       std::size_t name_size, const std::uint8_t* value,
                       std::size_t value_size, std::uint8_t /*flags*/,
                       void* user_data)
{
    auto& self = *static_cast<session*>(user_data);
    self.header_bytes_ += name_size + value_size;
    if (self.header_bytes_ > max_header_bytes) {
        self.close(refusal::oversized);
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    self.headers_[{reinterpret_cast<const char*>(name), name_size}] = {
        reinterpret_cast<const char*>(value), value_size};
    return 0;
}

int session::on_frame(nghttp2_session* /*handle*/, const nghttp2_frame* frame,
                      void* user_data)
{
    auto& self = *static_cast<session*>(user_data);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        self.close(refusal::connection_lost);
        return 0;
    }
    if (frame->hd.type != NGHTTP2_HEADERS)
        return 0;
    if (self.role_ == connection_role::acceptor)
        self.on_request(frame->hd.stream_id);
    else
        self.on_response();
    return 0;
}

int session::on_data(nghttp2_session* /*handle*/, std::uint8_t /*flags*/,
                     std::int32_t stream, const std::uint8_t* data,
                     std::size_t size, void* user_data)
{
    auto& self = *static_cast<session*>(user_data);
    if (stream != self.stream_ || self.version_ == 0)
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    std::vector<std::string> records;
    const bool is_within_limit =
        self.reader_.feed({reinterpret_cast<const char*>(data), size}, records);
    for (std::string& record : records)
        self.on_record(std::move(record));
    if (!is_within_limit)
        self.close(refusal::oversized);
    return self.close_reason_ ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
}

int session::on_stream_close(nghttp2_session* /*handle*/, std::int32_t stream,
                             std::uint32_t /*error*/, void* user_data)
{
    auto& self = *static_cast<session*>(user_data);
    // nghttp2 resets a stream whose head it refuses, and reports only its end.
    self.close(stream == self.stream_ ? refusal::connection_lost
                                      : refusal::malformed);
    return 0;
}

ssize_t session::read_data(nghttp2_session* /*handle*/, std::int32_t /*stream*/,
                           std::uint8_t* buffer, std::size_t size,
                           std::uint32_t* /*flags*/,
                           nghttp2_data_source* /*source*/, void* user_data)
{
    auto& self = *static_cast<session*>(user_data);
    const std::size_t count =
        std::min(size, self.send_buffer_.size() - self.send_offset_);
    if (count == 0)
        return NGHTTP2_ERR_DEFERRED;
    const std::string_view part =
        std::string_view(self.send_buffer_).substr(self.send_offset_, count);
    std::ranges::copy(part, buffer);
    self.send_offset_ += count;
    if (self.send_offset_ == self.send_buffer_.size()) {
        self.send_buffer_.clear();
        self.send_offset_ = 0;
    }
    return static_cast<ssize_t>(count);
}

void session::close(refusal reason)
{
    if (!close_reason_)
        close_reason_ = reason;
}

void session::submit_request()
{
    std::vector<header> fields{{":method", "POST"},
                               {":scheme", "http"},
                               {":authority", "peer"},
                               {":path", request_path}};
    add_handshake_params(fields, settings_.self);
    const std::vector<nghttp2_nv> native_headers = to_native_headers(fields);
    nghttp2_data_provider provider{};
    provider.read_callback = read_data;
    stream_ =
        nghttp2_submit_request(handle_.get(), nullptr, native_headers.data(),
                               native_headers.size(), &provider, nullptr);
    assert(stream_ > 0);
}

void session::on_request(std::int32_t stream)
{
    if (stream_ != -1 || headers_[":path"] != request_path ||
        !parse_handshake_params()) {
        close(refusal::malformed);
        return;
    }
    stream_ = stream;
    const auto version =
        highest_common_version(settings_.self.versions, peer_.versions);
    submit_response(stream, version ? status_ok : status_wrong_version);
    if (version)
        version_ = *version;
    else
        close(refusal::wrong_version);
}

void session::on_response()
{
    if (version_ != 0 || headers_[":status"] == status_wrong_version) {
        close(version_ != 0 ? refusal::malformed : refusal::wrong_version);
        return;
    }
    if (headers_[":status"] != status_ok || !parse_handshake_params()) {
        close(refusal::malformed);
        return;
    }
    const auto version =
        highest_common_version(settings_.self.versions, peer_.versions);
    if (!version) {
        close(refusal::wrong_version);
        return;
    }
    if (!proofs_match(headers_[proof_header],
                      compute_proof(connection_role::acceptor))) {
        close(refusal::unauthenticated);
        return;
    }
    version_ = *version;
    is_open_ = true;
    enqueue(compute_proof(connection_role::dialer));
}

void session::on_record(std::string record)
{
    if (is_open_) {
        records_.push_back(std::move(record));
        return;
    }
    if (proofs_match(record, compute_proof(connection_role::dialer)))
        is_open_ = true;
    else
        close(refusal::unauthenticated);
}

bool session::parse_handshake_params()
{
    peer_.instance = headers_[instance_header];
    peer_.nonce = headers_[nonce_header];
    return !peer_.instance.empty() &&
           peer_.nonce.size() == settings_.self.nonce.size() &&
           absl::SimpleAtoi(headers_[incarnation_header], &peer_.incarnation) &&
           parse_versions(headers_[versions_header], peer_.versions);
}

void session::submit_response(std::int32_t stream, const char* status)
{
    std::vector<header> fields{{":status", status}};
    add_handshake_params(fields, settings_.self);
    nghttp2_data_provider provider{};
    provider.read_callback = read_data;
    const bool is_accepted = std::string_view(status) == status_ok;
    if (is_accepted)
        fields.emplace_back(proof_header,
                            compute_proof(connection_role::acceptor));
    const std::vector<nghttp2_nv> native_headers = to_native_headers(fields);
    nghttp2_submit_response(handle_.get(), stream, native_headers.data(),
                            native_headers.size(),
                            is_accepted ? &provider : nullptr);
}

void session::enqueue(std::string_view record)
{
    append_record(send_buffer_, record);
    nghttp2_session_resume_data(handle_.get(), stream_);
}

const handshake_params& session::dialer() const
{
    return role_ == connection_role::dialer ? settings_.self : peer_;
}

const handshake_params& session::acceptor() const
{
    return role_ == connection_role::dialer ? peer_ : settings_.self;
}

std::string session::compute_proof(connection_role role) const
{
    return make_proof(settings_.key, role, dialer(), acceptor());
}

} // namespace oriolefall::peer
