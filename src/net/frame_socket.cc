#include "net/frame_socket.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/os_include/netinet/os_tcp.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "common/result_code.h"
#include "wire/codec.h"

namespace pumicedyke::net {
namespace {

constexpr uint32_t kMagic = 0x504d4b31;  // "PMK1"
constexpr Duration kReconnectInterval = Milliseconds(100);
/// A machine that is starting may have dropped the SYN packet, which TCP retransmits only after a
/// second. Connection attempts therefore use short timeouts: this one, doubled with each attempt
/// to allow for distant peers, and starting over after kConnectTimeouts attempts.
constexpr Duration kMinConnectTimeout = Milliseconds(60);
constexpr int kConnectTimeouts = 3;
constexpr size_t kReadBytes = 64 * 1024;
/// Maximum messages queued until the connection is established.
constexpr size_t kMaxQueuedMessages = 16;

struct FrameHeader {
  uint32_t magic;
  uint32_t length;
};

/// Bytes that stay unacknowledged for this long end a connection, so that a new one is established
/// soon after a partition heals. TCP's own retransmissions would be seconds apart by then.
constexpr unsigned kUserTimeoutMilliseconds = 1500;

void SetOptions(ACE_SOCK_Stream* stream) {
  int on = 1;
  stream->set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  unsigned timeout = kUserTimeoutMilliseconds;
  stream->set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

}  // namespace

std::string EncodeFrame(const wire::Envelope& envelope) {
  const std::string payload = wire::Encode(envelope);
  const FrameHeader header{htonl(kMagic), htonl(static_cast<uint32_t>(payload.size()))};
  std::string frame(reinterpret_cast<const char*>(&header), sizeof(header));
  frame += payload;
  return frame;
}

// ---- FrameSocket --------------------------------------------------------------------------------

FrameSocket::FrameSocket(EventLoop* loop, const ACE_SOCK_Stream& stream, MessageCb on_message,
                         ClosedCb on_closed)
    : loop_(loop),
      stream_(stream),
      on_message_(std::move(on_message)),
      on_closed_(std::move(on_closed)),
      held_(loop->byte_budget(), [this] { Fail(); }) {}

FrameSocket::~FrameSocket() { Close(); }

bool FrameSocket::Start() {
  stream_.enable(ACE_NONBLOCK);
  SetOptions(&stream_);
  open_ = loop_->poller()->Watch(this, ACE_Event_Handler::READ_MASK);
  return open_;
}

void FrameSocket::Close() {
  if (open_) {
    open_ = false;
    loop_->poller()->Remove(this);
  }
  stream_.close();
  loop_->CancelTimer(std::exchange(frame_timer_, 0));
}

void FrameSocket::Fail() {
  if (!open_) {
    return;
  }
  Close();
  // The owner deletes this object in the callback, so the callback must not run inside a method.
  loop_->Post(on_closed_);
}

void FrameSocket::Send(const wire::Envelope& envelope) {
  if (open_) {
    SendFrame(EncodeFrame(envelope));
  }
}

void FrameSocket::SendFrame(std::string_view frame) {
  if (!open_) {
    return;
  }
  output_ += frame;
  if (output_.size() > kMaxBacklogBytes) {
    Fail();
    return;
  }
  if (!writing_) {
    Flush();
  }
}

void FrameSocket::Flush() {
  while (!output_.empty()) {
    const ssize_t written = stream_.send(output_.data(), output_.size());
    if (written > 0) {
      output_.erase(0, static_cast<size_t>(written));
      continue;
    }
    if (errno == EWOULDBLOCK || errno == EAGAIN) {
      break;
    }
    Fail();
    return;
  }
  const bool want = !output_.empty();
  if (want != writing_) {
    writing_ = want;
    loop_->poller()->Watch(this, want ? kReadAndWrite : kReadOnly);
  }
}

int FrameSocket::handle_output(ACE_HANDLE /*handle*/) {
  Flush();
  return 0;
}

int FrameSocket::handle_input(ACE_HANDLE /*handle*/) {
  std::array<char, kReadBytes> buffer;
  const ssize_t received = stream_.recv(buffer.data(), buffer.size());
  if (received < 0 && (errno == EWOULDBLOCK || errno == EAGAIN)) {
    return 0;
  }
  if (received <= 0) {
    Fail();
    return 0;
  }
  input_.append(buffer.data(), static_cast<size_t>(received));
  const size_t unread = input_.size();
  if (!ParseFrames()) {
    Fail();
    return 0;
  }
  UpdateFrameTimer(/*frame_ended=*/input_.size() < unread);
  held_.Hold(input_.size());
  return 0;
}

void FrameSocket::UpdateFrameTimer(bool frame_ended) {
  if (frame_ended) {
    loop_->CancelTimer(std::exchange(frame_timer_, 0));
  }
  if (open_ && !input_.empty() && frame_timer_ == 0) {
    frame_timer_ = loop_->RunAt(EventLoop::Now() + kFrameTimeout, [this] {
      frame_timer_ = 0;
      Fail();
    });
  }
}

bool FrameSocket::ParseFrames() {
  size_t offset = 0;
  while (open_ && input_.size() - offset >= sizeof(FrameHeader)) {
    FrameHeader header;
    std::memcpy(&header, input_.data() + offset, sizeof(header));
    const size_t length = ntohl(header.length);
    if (ntohl(header.magic) != kMagic || length > kMaxFrameBytes) {
      return false;
    }
    if (input_.size() - offset - sizeof(header) < length) {
      break;
    }
    const std::string_view payload(input_.data() + offset + sizeof(header), length);
    absl::StatusOr<wire::Envelope> envelope = wire::DecodeEnvelope(payload);
    if (!envelope.ok()) {
      return false;
    }
    offset += sizeof(header) + length;
    on_message_(*std::move(envelope));
  }
  input_.erase(0, offset);
  return true;
}

// ---- FrameServer --------------------------------------------------------------------------------

FrameServer::FrameServer(EventLoop* loop, SessionCb on_message, ClosedCb on_closed)
    : loop_(loop), on_message_(std::move(on_message)), on_closed_(std::move(on_closed)) {}

FrameServer::~FrameServer() {
  sessions_.clear();
  if (port_ != 0) {
    loop_->poller()->Remove(this);
    acceptor_.close();
  }
}

absl::Status FrameServer::Listen(const std::string& address) {
  ACE_INET_Addr local(address.c_str());
  if (acceptor_.open(local, /*reuse_addr=*/1) != 0) {
    return MakeStatus(ResultCode::kInvalidConfig,
                      "listen on " + address + ": " + std::strerror(errno));
  }
  acceptor_.get_local_addr(local);
  port_ = local.get_port_number();
  acceptor_.enable(ACE_NONBLOCK);
  loop_->poller()->Watch(this, ACE_Event_Handler::ACCEPT_MASK);
  return absl::OkStatus();
}

int FrameServer::handle_input(ACE_HANDLE /*handle*/) {
  ACE_SOCK_Stream stream;
  if (acceptor_.accept(stream) != 0) {
    return 0;
  }
  const uint64_t session = next_session_++;
  auto socket = std::make_unique<FrameSocket>(
      loop_, stream,
      [this, session](wire::Envelope envelope) { on_message_(session, std::move(envelope)); },
      [this, session] {
        if (sessions_.erase(session) > 0) {
          on_closed_(session);
        }
      });
  if (socket->Start()) {
    sessions_[session] = std::move(socket);
  }
  return 0;
}

void FrameServer::Send(uint64_t session, const wire::Envelope& envelope) {
  const auto it = sessions_.find(session);
  if (it != sessions_.end()) {
    it->second->Send(envelope);
  }
}

void FrameServer::SendToAll(const std::vector<uint64_t>& sessions, const wire::Envelope& envelope) {
  const std::string frame = EncodeFrame(envelope);
  for (const uint64_t session : sessions) {
    const auto it = sessions_.find(session);
    if (it != sessions_.end()) {
      it->second->SendFrame(frame);
    }
  }
}

void FrameServer::CloseSession(uint64_t session) {
  const auto it = sessions_.find(session);
  if (it != sessions_.end()) {
    it->second->Close();
    loop_->Post([this, session] { sessions_.erase(session); });
  }
}

// ---- FrameClient --------------------------------------------------------------------------------

FrameClient::FrameClient(EventLoop* loop, std::string address, FrameSocket::MessageCb on_message,
                         FrameSocket::ClosedCb on_closed)
    : loop_(loop),
      address_(std::move(address)),
      on_message_(std::move(on_message)),
      on_closed_(std::move(on_closed)) {}

FrameClient::~FrameClient() {
  if (is_connecting_) {
    loop_->poller()->Remove(this);
    connecting_.close();
  }
}

void FrameClient::OnConnectionLost() {
  const bool was_up = socket_ != nullptr;
  socket_.reset();
  retry_at_ = EventLoop::Now() + kReconnectInterval;
  if (was_up && on_closed_) {
    on_closed_();
  }
}

void FrameClient::StartConnecting() {
  const Timestamp now = EventLoop::Now();
  const Duration timeout = kMinConnectTimeout * (1 << timed_out_attempts_ % kConnectTimeouts);
  if (is_connecting_ && now - started_ > timeout) {
    ++timed_out_attempts_;
    loop_->poller()->Remove(this);
    connecting_.close();
    is_connecting_ = false;
    queue_.clear();
  }
  if (is_connecting_ || now < retry_at_) {
    return;
  }
  retry_at_ = now + kReconnectInterval;
  started_ = now;
  ACE_SOCK_Connector connector;
  const ACE_INET_Addr remote(address_.c_str());
  ACE_Time_Value no_wait = ACE_Time_Value::zero;
  const int result = connector.connect(connecting_, remote, &no_wait);
  if (result == 0) {
    FinishConnecting();
    return;
  }
  if (errno == EWOULDBLOCK || errno == EINPROGRESS || errno == ETIME) {
    is_connecting_ = true;
    loop_->poller()->Watch(this, ACE_Event_Handler::WRITE_MASK | ACE_Event_Handler::READ_MASK);
    return;
  }
  connecting_.close();
}

int FrameClient::handle_input(ACE_HANDLE /*handle*/) { return FinishConnecting(); }
int FrameClient::handle_output(ACE_HANDLE /*handle*/) { return FinishConnecting(); }

int FrameClient::FinishConnecting() {
  if (is_connecting_) {
    is_connecting_ = false;
    loop_->poller()->Remove(this);
  }
  int error = 0;
  socklen_t length = sizeof(error);
  ::getsockopt(connecting_.get_handle(), SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    connecting_.close();
    queue_.clear();
    return 0;
  }
  ACE_SOCK_Stream stream;
  stream.set_handle(connecting_.get_handle());
  connecting_.set_handle(ACE_INVALID_HANDLE);
  timed_out_attempts_ = 0;
  socket_ =
      std::make_unique<FrameSocket>(loop_, stream, on_message_, [this] { OnConnectionLost(); });
  if (!socket_->Start()) {
    socket_.reset();
  }
  for (const wire::Envelope& envelope : std::exchange(queue_, {})) {
    if (socket_ != nullptr) {
      socket_->Send(envelope);
    }
  }
  return 0;
}

void FrameClient::Send(const wire::Envelope& envelope) {
  if (socket_ == nullptr) {
    StartConnecting();
  }
  if (socket_ != nullptr) {
    socket_->Send(envelope);
  } else if (is_connecting_ && queue_.size() < kMaxQueuedMessages) {
    queue_.push_back(envelope);
  }
}

}  // namespace pumicedyke::net
