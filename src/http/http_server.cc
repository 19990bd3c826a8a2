#include "http/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "common/result_code.h"
#include "net/byte_stream.h"

namespace pumicedyke::http {
namespace {

constexpr int kBacklog = 1024;
constexpr int kAcceptsPerIteration = 16;
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
/// A client whose request was refused before its end may still be sending. It gets this long to
/// read the response.
constexpr Duration kLingerAfterError = Milliseconds(500);
/// Bytes of further requests that are read while a request is served or its response written.
constexpr size_t kMaxReadAheadBytes = 64 * 1024;
/// Bytes that are read and dropped meanwhile. What comes after them is not read.
constexpr size_t kMaxDroppedBytes = size_t{16} << 20;
/// Told to clients whose request is refused because all connections together hold too many bytes.
constexpr Duration kRetryAfterOverload = Seconds(1);

HttpResponse ErrorResponse(ResultCode code) {
  const ResultCodeInfo& info = InfoOf(code);
  const std::string body = "{\"code\":" + std::to_string(static_cast<int>(code)) +
                           ",\"result\":\"" + std::string(info.name) +
                           "\",\"run\":\"not_run\",\"message\":\"" + std::string(info.meaning) +
                           "\"}";
  HttpResponse response{info.http_status, body};
  if (code == ResultCode::kOverloaded) {
    response.retry_after = kRetryAfterOverload;
  }
  return response;
}

ResultCode CodeOfError(ParseError error) {
  switch (error) {
    case ParseError::kBodyTooLarge:
      return ResultCode::kBodyTooLarge;
    case ParseError::kHeaderTooLarge:
      return ResultCode::kHeadersTooLarge;
    default:
      return ResultCode::kMalformedRequest;
  }
}

std::string ValueOf(const Headers& headers, const char* name) {
  const std::string* value = FindHeader(headers, name);
  return value == nullptr ? std::string() : *value;
}

HttpRequest ToRequest(RequestMessage message) {
  HttpRequest request;
  request.method = std::move(message.method);
  request.path = message.target.substr(0, message.target.find('?'));
  request.target = std::move(message.target);
  request.body = std::move(message.body);
  request.idempotency_key = ValueOf(message.headers, "Idempotency-Key");
  request.authorization = ValueOf(message.headers, "Authorization");
  request.headers = std::move(message.headers);
  return request;
}

ResponseMessage ToMessage(HttpResponse response, bool keep_alive) {
  ResponseMessage message;
  message.status = response.status;
  message.reason = std::move(response.reason);
  message.headers = std::move(response.headers);
  message.body = std::move(response.body);
  message.keep_alive = keep_alive;
  if (!response.content_type.empty()) {
    message.headers.push_back({"Content-Type", response.content_type});
  }
  if (response.retry_after.count() > 0) {
    const double seconds = std::ceil(ToMilliseconds(response.retry_after) / 1000.0);
    message.headers.push_back({"Retry-After", std::to_string(static_cast<int64_t>(seconds))});
  }
  return message;
}

}  // namespace

/// A client connection. Each request is answered before the next one is read.
class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpServer* server, uint64_t id, ACE_HANDLE handle)
      : server_(server),
        loop_(server->loop_),
        id_(id),
        parser_(Limits(server->options_)),
        held_(server->loop_->byte_budget(), [this] { RevokeSoon(); }),
        stream_(server->loop_, handle,
                {.on_bytes = [this](std::string* input) { OnBytes(input); },
                 .on_end = [this](net::StreamEnd) { OnEnd(); },
                 .on_drained = [this] { OnDrained(); }}) {
    RestartIdleTimer();
  }
  ~Connection() { loop_->CancelTimer(timer_); }

  /// Closes the connection unless a request or its response is in progress, or bytes have arrived.
  void CloseIfIdle() {
    const bool busy =
        serving_ || closing_ || parser_.state() != ParseState::kEmpty || stream_.unwritten() > 0;
    if (!busy && !stream_.HasUnreadInput()) {
      OnEnd();
    }
  }
  /// Closes the connection because the server is being destroyed. Later responses are ignored.
  void Detach() {
    server_ = nullptr;
    stream_.Close();
  }

 private:
  static MessageLimits Limits(const HttpServerOptions& options) {
    return {static_cast<uint32_t>(options.max_header_bytes), options.max_body_bytes};
  }

  void OnBytes(std::string* input) {
    input_ = input;
    if (closing_) {
      // After an error the input is dropped.
      dropped_bytes_ += input->size();
      input->clear();
    }
    ReadRequests();
    UpdateFlow();
  }

  /// Whether the next request may be read: responses are written one after the other, and a client
  /// that does not read them gets no further ones.
  bool ReadyForRequest() const { return !serving_ && !closing_ && stream_.unwritten() == 0; }
  bool HasInput() const { return input_ != nullptr && !input_->empty(); }
  /// Whether the parser has seen all input and found no end of the request in it.
  bool NeedsMoreOfRequest() const {
    return ReadyForRequest() && parser_.state() != ParseState::kEmpty;
  }

  void ReadRequests() {
    while (ReadyForRequest() && HasInput()) {
      const bool starts_request = parser_.state() == ParseState::kEmpty;
      const ParseState state = parser_.Consume(input_);
      if (starts_request) {
        request_started_ = net::EventLoop::Now();
        RestartIdleTimer();
      }
      if (state == ParseState::kFailed) {
        Refuse(CodeOfError(parser_.error()));
        return;
      }
      if (state == ParseState::kBody && !continue_sent_ && parser_.ExpectsContinue()) {
        continue_sent_ = true;
        stream_.Write(kContinue);
      }
      if (state != ParseState::kComplete) {
        return;
      }
      Dispatch();
    }
  }

  void ReadRequestsSoon() {
    loop_->Defer([self = weak_from_this()] {
      if (const auto connection = self.lock()) {
        connection->ReadRequests();
        connection->UpdateFlow();
      }
    });
  }

  /// Stops reading while further requests wait, and tells the budget what is held.
  void UpdateFlow() {
    if (!stream_.open()) {
      return;
    }
    const size_t waiting = HasInput() ? input_->size() : 0;
    const bool wanted = closing_ ? dropped_bytes_ < kMaxDroppedBytes
                                 : NeedsMoreOfRequest() || waiting < kMaxReadAheadBytes;
    stream_.SetReading(wanted);
    held_.Hold(waiting + parser_.held_bytes() + served_bytes_ + stream_.unwritten());
  }

  /// Called by the budget, possibly from within another connection's work.
  void RevokeSoon() {
    loop_->Defer([self = weak_from_this()] {
      if (const auto connection = self.lock()) {
        connection->Revoke();
      }
    });
  }

  void Revoke() {
    if (ReadyForRequest() && parser_.state() != ParseState::kEmpty) {
      Refuse(ResultCode::kOverloaded);
    } else if (stream_.open()) {
      OnEnd();
    }
  }

  void OnDrained() {
    UpdateFlow();
    if (HasInput()) {
      ReadRequestsSoon();
    }
  }

  void Dispatch() {
    served_bytes_ = parser_.held_bytes();
    RequestMessage message = parser_.Take();
    keep_alive_ = message.keep_alive;
    head_only_ = message.method == "HEAD";
    continue_sent_ = false;
    serving_ = true;
    RestartIdleTimer();
    const uint64_t number = ++request_number_;
    if (number == 1) {
      round_trip_ = stream_.RoundTrip();
    }
    HttpRequest request = ToRequest(std::move(message));
    request.round_trip = round_trip_;
    const std::weak_ptr<Connection> self = weak_from_this();
    server_->handler_(std::move(request),
                      Responder(
                          [self, number](HttpResponse response) {
                            if (const auto connection = self.lock()) {
                              connection->Answer(number, std::move(response));
                            }
                          },
                          [self, number](std::function<void()> on_disconnect) {
                            const auto connection = self.lock();
                            if (connection && connection->request_number_ == number) {
                              connection->on_disconnect_ = std::move(on_disconnect);
                            }
                          }));
  }

  void Answer(uint64_t number, HttpResponse response) {
    if (!serving_ || number != request_number_ || server_ == nullptr) {
      return;
    }
    serving_ = false;
    served_bytes_ = 0;
    on_disconnect_ = {};
    const bool keep = keep_alive_ && !server_->draining_;
    stream_.Write(EncodeResponse(ToMessage(std::move(response), keep), head_only_));
    RestartIdleTimer();
    closing_ = !keep;
    UpdateFlow();
    if (!keep) {
      stream_.CloseWhenDrained();
    } else if (HasInput()) {
      ReadRequestsSoon();
    }
  }

  /// Responds to an invalid request with an error. The close is delayed, because closing with
  /// unread bytes resets the connection and may lose the response.
  void Refuse(ResultCode code) {
    closing_ = true;
    stream_.Write(EncodeResponse(ToMessage(ErrorResponse(code), /*keep_alive=*/false), false));
    parser_.Reset();
    std::string().swap(*input_);
    UpdateFlow();
    loop_->CancelTimer(timer_);
    timer_ = loop_->RunAt(net::EventLoop::Now() + kLingerAfterError, [this] { OnEnd(); });
  }

  Timestamp Deadline() const {
    if (serving_) {
      return Timestamp::max();
    }
    if (parser_.state() != ParseState::kEmpty) {
      return request_started_ + server_->options_.request_timeout;
    }
    return idle_since_ + Seconds(server_->options_.idle_seconds);
  }

  void RestartIdleTimer() {
    idle_since_ = net::EventLoop::Now();
    if (timer_ == 0) {
      timer_ = loop_->RunAt(idle_since_ + Seconds(1), [this] { OnTimer(); });
    }
  }

  void OnTimer() {
    timer_ = 0;
    const Timestamp now = net::EventLoop::Now();
    if (now >= Deadline()) {
      if (parser_.state() != ParseState::kEmpty) {
        Refuse(ResultCode::kRequestTimeout);
      } else {
        OnEnd();
      }
      return;
    }
    const Timestamp next_check = now + Seconds(1);
    timer_ = loop_->RunAt(std::min(next_check, Deadline()), [this] { OnTimer(); });
  }

  void OnEnd() {
    stream_.Close();
    held_.Hold(0);
    loop_->CancelTimer(timer_);
    timer_ = 0;
    if (std::exchange(serving_, false) && on_disconnect_) {
      const auto on_disconnect = std::move(on_disconnect_);
      on_disconnect_ = {};
      on_disconnect();
    }
    if (server_ != nullptr) {
      server_->Remove(id_);
    }
  }

  HttpServer* server_;
  net::EventLoop* loop_;
  uint64_t id_;
  RequestParser parser_;
  net::ByteBudget::Holder held_;
  /// What has arrived and was not parsed yet; owned by the stream. Null until bytes have arrived.
  std::string* input_ = nullptr;
  /// Bytes of the request that is being served.
  size_t served_bytes_ = 0;
  size_t dropped_bytes_ = 0;
  bool serving_ = false;
  bool closing_ = false;
  bool keep_alive_ = true;
  bool head_only_ = false;
  bool continue_sent_ = false;
  uint64_t request_number_ = 0;
  Duration round_trip_{};
  std::function<void()> on_disconnect_;
  Timestamp idle_since_{};
  Timestamp request_started_{};
  net::EventLoop::TimerId timer_ = 0;
  net::ByteStream stream_;
};

bool SplitAddress(const std::string& address, std::string* host, uint16_t* port) {
  const size_t colon = address.rfind(':');
  int number = 0;
  if (colon == std::string::npos || !absl::SimpleAtoi(address.substr(colon + 1), &number) ||
      number < 0 || number > 65535) {
    return false;
  }
  *host = address.substr(0, colon);
  *port = static_cast<uint16_t>(number);
  return true;
}

HttpServer::HttpServer(net::EventLoop* loop, HttpServerOptions options, Handler handler)
    : loop_(loop), options_(options), handler_(std::move(handler)) {}

HttpServer::~HttpServer() {
  StopListening();
  for (const auto& [id, connection] : connections_) {
    connection->Detach();
  }
}

absl::Status HttpServer::Listen(const std::string& address) {
  std::string host;
  sockaddr_in local{};
  uint16_t port = 0;
  local.sin_family = AF_INET;
  const bool readable = SplitAddress(address, &host, &port) &&
                        ::inet_pton(AF_INET, host.c_str(), &local.sin_addr) == 1;
  if (!readable) {
    return MakeStatus(ResultCode::kInvalidConfig, address + " is not an IPv4 number and a port");
  }
  local.sin_port = htons(port);
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  socklen_t size = sizeof(local);
  const bool listening = ::bind(listener_, reinterpret_cast<sockaddr*>(&local), size) == 0 &&
                         ::listen(listener_, kBacklog) == 0;
  if (!listening) {
    const std::string why = std::strerror(errno);
    ::close(std::exchange(listener_, ACE_INVALID_HANDLE));
    return MakeStatus(ResultCode::kInvalidConfig, "cannot listen on " + address + ": " + why);
  }
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&local), &size);
  port_ = ntohs(local.sin_port);
  loop_->poller()->Watch(this, ACE_Event_Handler::ACCEPT_MASK);
  return absl::OkStatus();
}

int HttpServer::handle_input(ACE_HANDLE /*handle*/) {
  for (int accepted = 0; accepted < kAcceptsPerIteration && Accept(); ++accepted) {
  }
  return 0;
}

bool HttpServer::Accept() {
  const ACE_HANDLE handle = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (handle == ACE_INVALID_HANDLE) {
    return false;
  }
  if (connections_.size() >= options_.max_connections) {
    ::close(handle);
    return true;
  }
  const uint64_t id = next_connection_++;
  connections_.emplace(id, std::make_shared<Connection>(this, id, handle));
  return true;
}

void HttpServer::Remove(uint64_t id) {
  const auto it = connections_.find(id);
  if (it != connections_.end()) {
    // The connection may be the caller, so it is destroyed in the next loop iteration.
    loop_->Defer([connection = it->second] {});
    connections_.erase(it);
  }
}

void HttpServer::StopListening() {
  if (listener_ == ACE_INVALID_HANDLE) {
    return;
  }
  for (int accepted = 0; accepted < kBacklog && Accept(); ++accepted) {
  }
  loop_->poller()->Remove(this);
  ::close(std::exchange(listener_, ACE_INVALID_HANDLE));
}

void HttpServer::CloseIdleConnections() {
  // Closing removes the connection from the map.
  std::vector<std::shared_ptr<Connection>> open;
  for (const auto& [id, connection] : connections_) {
    open.push_back(connection);
  }
  for (const auto& connection : open) {
    connection->CloseIfIdle();
  }
}

}  // namespace pumicedyke::http
