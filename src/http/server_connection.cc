#include "http/server_connection.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/numbers.h"

namespace pumicedyke::http {
namespace {

constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
/// A client may still be sending when the last response was written. What it sends is dropped for
/// this long, so that it can read the response.
constexpr Duration kLinger = Milliseconds(500);
/// A longer response may wait at the operating system for its client to read.
constexpr size_t kDeliveredAtOnceBytes = 4 * 1024;
/// Bytes of further requests that are read while a request is served or its response written.
constexpr size_t kMaxReadAheadBytes = 64 * 1024;
/// Bytes that are read and dropped meanwhile. What comes after them is not read.
constexpr size_t kMaxDroppedBytes = size_t{16} << 20;
/// Told to clients whose request is refused because all connections together hold too many bytes,
/// at least.
constexpr Duration kRetryAfterOverload = Seconds(1);
/// So many bytes of a body must have arrived, unless it is shorter, before it is given room:
/// clients that send a byte now and then take none.
constexpr size_t kFirstBodyBytes = 4 * 1024;
/// While others wait for room, a body that advances by less in this time gives its room back.
constexpr size_t kMinProgressBytes = 1024;
constexpr Duration kProgressInterval = Seconds(1);
/// Interval of the checks of deadlines and progress.
constexpr Duration kCheckInterval = Seconds(1);

HttpResponse ErrorResponse(ResultCode code, Duration retry_after) {
  const ResultCodeInfo& info = InfoOf(code);
  const std::string body = "{\"code\":" + std::to_string(static_cast<int>(code)) +
                           ",\"result\":\"" + std::string(info.name) +
                           "\",\"run\":\"not_run\",\"message\":\"" + std::string(info.meaning) +
                           "\"}";
  HttpResponse response{info.http_status, body};
  if (code == ResultCode::kOverloaded) {
    response.retry_after = std::max(retry_after, kRetryAfterOverload);
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

HttpServer::Connection::Connection(HttpServer* server, uint64_t id, ACE_HANDLE handle)
    : server_(server),
      loop_(server->loop_),
      id_(id),
      parser_(Limits(server->options_), BodyReading::kOnceAdmitted),
      held_(server->loop_->byte_budget(), [this] { RevokeSoon(); }),
      room_(
          server->loop_->request_room(), [this] { ReadRequestsSoon(); }, [this] { RevokeSoon(); }),
      stream_(server->loop_, handle,
              {.on_bytes = [this](std::string* input) { OnBytes(input); },
               .on_end = [this](net::StreamEnd) { OnEnd(); },
               .on_drained = [this] { OnDrained(); }}) {
  RestartIdleTimer();
}

HttpServer::Connection::~Connection() { loop_->CancelTimer(timer_); }

MessageLimits HttpServer::Connection::Limits(const HttpServerOptions& options) {
  return {static_cast<uint32_t>(options.max_header_bytes), options.max_body_bytes};
}

void HttpServer::Connection::CloseIfIdle() {
  const bool busy =
      serving_ || closing_ || parser_.state() != ParseState::kEmpty || stream_.unwritten() > 0;
  if (!busy && !stream_.HasUnreadInput()) {
    stream_.StopSending();
    OnEnd();
  }
}

void HttpServer::Connection::RefuseIfUnfinished() {
  const bool unfinished = ReadyForRequest() && parser_.state() != ParseState::kEmpty;
  if (unfinished && !stream_.HasUnreadInput()) {
    Refuse(ResultCode::kShuttingDown);
  }
}

void HttpServer::Connection::Detach() {
  server_ = nullptr;
  stream_.Close();
  room_.Release();
}

void HttpServer::Connection::OnBytes(std::string* input) {
  input_ = input;
  if (drops_input()) {
    dropped_bytes_ += input->size();
    input->clear();
  }
  ReadRequests();
  UpdateFlow();
}

bool HttpServer::Connection::NeedsMoreOfRequest() const {
  const ParseState state = parser_.state();
  if (!ReadyForRequest() || state == ParseState::kEmpty || state == ParseState::kComplete) {
    return false;
  }
  const bool asks_for_room = room_.state() != net::RoomState::kNone;
  return !parser_.AwaitsAdmission() || (!asks_for_room && !EnoughHasArrived());
}

void HttpServer::Connection::ReadRequests() {
  while (ReadyForRequest() && (HasInput() || parser_.state() == ParseState::kComplete)) {
    if (parser_.state() == ParseState::kEmpty) {
      BeginRequest();
    }
    const ParseState state = parser_.Consume(input_);
    if (state == ParseState::kFailed) {
      Refuse(CodeOfError(parser_.error()));
      return;
    }
    if (state == ParseState::kBody && !continue_sent_ && parser_.ExpectsContinue()) {
      continue_sent_ = true;
      stream_.Write(kContinue);
    }
    const bool head_only_read = state == ParseState::kBody && parser_.AwaitsAdmission();
    if ((head_only_read || state == ParseState::kComplete) && !HasRoom()) {
      return;
    }
    if (head_only_read) {
      AdmitBody();
    } else if (state == ParseState::kComplete) {
      Dispatch();
    } else {
      RefuseIfTooLong();
      return;
    }
  }
}

void HttpServer::Connection::BeginRequest() {
  const HttpServerOptions& options = server_->options_;
  parser_.SetLimits(Limits(options));
  request_timeout_ = options.request_timeout;
  request_started_ = net::EventLoop::Now();
  request_arrived_ = loop_->earliest_arrival();
  reading_since_ = request_started_;
  RestartIdleTimer();
}

void HttpServer::Connection::ReadRequestsSoon() {
  loop_->Defer([self = weak_from_this()] {
    const auto connection = self.lock();
    if (connection != nullptr && connection->stream_.open()) {
      connection->ReadRequests();
      connection->UpdateFlow();
    }
  });
}

bool HttpServer::Connection::EnoughHasArrived() const {
  if (parser_.state() == ParseState::kComplete) {
    return true;
  }
  const std::optional<uint64_t> announced = parser_.AnnouncedBodyBytes();
  // A body in chunks may be short.
  const uint64_t wanted =
      announced.has_value() ? std::min<uint64_t>(*announced, kFirstBodyBytes) : 1;
  return HasInput() && input_->size() >= wanted;
}

Duration HttpServer::Connection::Patience() const {
  const std::string& header = server_->options_.deadline_header;
  const std::string_view text = header.empty() ? std::string_view() : parser_.HeaderValue(header);
  int64_t client_waits = 0;
  const bool known = absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &client_waits);
  const bool shorter = known && client_waits > 0 &&
                       static_cast<double>(client_waits) < ToMilliseconds(request_timeout_);
  return shorter ? Milliseconds(client_waits) : request_timeout_;
}

void HttpServer::Connection::RefuseIfTooLong() {
  if (room_.state() == net::RoomState::kGranted && parser_.held_bytes() > room_.bytes()) {
    loop_->request_room()->CountRefused();
    Refuse(ResultCode::kOverloaded);
  }
}

bool HttpServer::Connection::HasRoom() {
  if (room_.state() == net::RoomState::kNone && EnoughHasArrived()) {
    AskForRoom(net::EventLoop::Now());
  }
  return room_.state() == net::RoomState::kGranted;
}

void HttpServer::Connection::AskForRoom(Timestamp now) {
  const Duration patience = request_started_ + Patience() - now;
  const net::RoomAnswer answer = room_.Ask(now, parser_.held_bytes() + MostBodyBytes(), patience);
  if (answer.state == net::RoomState::kRefused) {
    Refuse(ResultCode::kOverloaded, answer.expected_wait);
  } else if (answer.state == net::RoomState::kWaiting) {
    room_wanted_until_ = now + patience;
    ArmTimer(now);
  }
}

size_t HttpServer::Connection::MostBodyBytes() const {
  if (!parser_.AwaitsAdmission()) {
    return 0;
  }
  return parser_.AnnouncedBodyBytes().value_or(std::min<uint64_t>(
      parser_.limits().body_bytes, loop_->request_room()->MostForUnknownLength()));
}

void HttpServer::Connection::AdmitBody() {
  reading_since_ = net::EventLoop::Now();
  progress_noted_ = reading_since_;
  noted_progress_ = parser_.held_bytes();
  parser_.AdmitBody();
}

void HttpServer::Connection::UpdateFlow() {
  if (!stream_.open()) {
    return;
  }
  const size_t waiting = HasInput() ? input_->size() : 0;
  const bool reads_request = !serving_ && !closing_ && parser_.state() != ParseState::kEmpty;
  bool wanted = NeedsMoreOfRequest() || (!reads_request && waiting < kMaxReadAheadBytes);
  if (drops_input()) {
    wanted = dropped_bytes_ < kMaxDroppedBytes;
  }
  stream_.SetReading(wanted);
  const size_t parsed = room_.state() == net::RoomState::kGranted ? 0 : parser_.held_bytes();
  held_.Hold(waiting + parsed + stream_.unwritten());
}

void HttpServer::Connection::RevokeSoon() {
  loop_->Defer([self = weak_from_this()] {
    if (const auto connection = self.lock()) {
      connection->Revoke();
    }
  });
}

void HttpServer::Connection::Revoke() {
  if (!stream_.open()) {
    return;
  }
  if (serving_) {
    // The request is served to its end; what its client has sent ahead is not.
    keep_alive_ = false;
    drops_further_input_ = true;
    std::string().swap(*input_);
    UpdateFlow();
  } else if (ReadyForRequest() && parser_.state() != ParseState::kEmpty) {
    loop_->request_room()->CountRefused();
    Refuse(ResultCode::kOverloaded);
  } else {
    OnEnd();
  }
}

void HttpServer::Connection::OnDrained() {
  UpdateFlow();
  if (closing_) {
    CloseSoon();
  } else if (HasInput()) {
    ReadRequestsSoon();
  }
}

void HttpServer::Connection::Dispatch() {
  room_.Keep(parser_.held_bytes());
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
  request.arrived = request_arrived_;
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

void HttpServer::Connection::Answer(uint64_t number, HttpResponse response) {
  if (!serving_ || number != request_number_ || server_ == nullptr) {
    return;
  }
  serving_ = false;
  on_disconnect_ = {};
  const bool keep = keep_alive_ && !server_->draining_;
  const std::string text = EncodeResponse(ToMessage(std::move(response), keep), head_only_);
  RestartIdleTimer();
  room_.Release();
  if (!keep) {
    lingers_ = HasInput() || drops_input() || text.size() > kDeliveredAtOnceBytes;
    WriteLast(text);
    return;
  }
  stream_.Write(text);
  UpdateFlow();
  if (HasInput()) {
    ReadRequestsSoon();
  }
}

void HttpServer::Connection::Refuse(ResultCode code, Duration retry_after) {
  parser_.Reset();
  room_.Release();
  lingers_ = true;
  WriteLast(
      EncodeResponse(ToMessage(ErrorResponse(code, retry_after), /*keep_alive=*/false), false));
  if (stream_.unwritten() > 0) {
    Linger();
  }
}

void HttpServer::Connection::WriteLast(const std::string& response) {
  closing_ = true;
  if (HasInput()) {
    std::string().swap(*input_);
  }
  stream_.Write(response);
  lingers_ = lingers_ || stream_.unwritten() > 0;
  UpdateFlow();
}

void HttpServer::Connection::CloseSoon() {
  if (lingers_ || stream_.HasUnreadInput()) {
    stream_.StopSending();
    Linger();
  } else {
    OnEnd();
  }
}

void HttpServer::Connection::Linger() {
  loop_->CancelTimer(timer_);
  timer_ = loop_->RunAt(net::EventLoop::Now() + kLinger, [this] { EndAfterReading(); });
}

void HttpServer::Connection::EndAfterReading() {
  timer_ = 0;
  loop_->Defer([self = weak_from_this()] {
    const auto connection = self.lock();
    if (connection != nullptr && connection->stream_.open()) {
      connection->OnEnd();
    }
  });
}

Timestamp HttpServer::Connection::Deadline() const {
  if (serving_) {
    return Timestamp::max();
  }
  if (room_.state() == net::RoomState::kWaiting) {
    return room_wanted_until_;
  }
  if (parser_.state() != ParseState::kEmpty) {
    return reading_since_ + request_timeout_;
  }
  // Clients may know only one of the limits before and after a change.
  return idle_since_ + Seconds(std::max(idle_seconds_, server_->options_.idle_seconds));
}

void HttpServer::Connection::RestartIdleTimer() {
  idle_since_ = net::EventLoop::Now();
  idle_seconds_ = server_->options_.idle_seconds;
  if (timer_ == 0) {
    timer_ = loop_->RunAt(idle_since_ + kCheckInterval, [this] { OnTimer(); });
  }
}

void HttpServer::Connection::ArmTimer(Timestamp now) {
  loop_->CancelTimer(timer_);
  timer_ = loop_->RunAt(std::min(now + kCheckInterval, Deadline()), [this] { OnTimer(); });
}

void HttpServer::Connection::OnTimer() {
  timer_ = 0;
  const Timestamp now = net::EventLoop::Now();
  const bool waits_for_room = room_.state() == net::RoomState::kWaiting;
  const bool late = now >= Deadline();
  if ((late && waits_for_room) || IsStalled(now)) {
    loop_->request_room()->CountRefused();
    Refuse(ResultCode::kOverloaded);
  } else if (late && parser_.state() != ParseState::kEmpty) {
    Refuse(ResultCode::kRequestTimeout);
  } else if (late) {
    OnEnd();
  } else {
    ArmTimer(now);
  }
}

bool HttpServer::Connection::IsStalled(Timestamp now) {
  const bool reads_body = !serving_ && room_.state() == net::RoomState::kGranted;
  if (!reads_body || now - progress_noted_ < kProgressInterval) {
    return false;
  }
  const size_t progress = parser_.held_bytes() - noted_progress_;
  noted_progress_ = parser_.held_bytes();
  progress_noted_ = now;
  return progress < kMinProgressBytes && loop_->request_room()->waiting() > 0;
}

void HttpServer::Connection::OnEnd() {
  stream_.Close();
  held_.Hold(0);
  room_.Release();
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

}  // namespace pumicedyke::http
