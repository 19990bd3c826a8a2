#include "http/http_client.h"

#include <algorithm>
#include <deque>
#include <string_view>
#include <utility>

#include "http/client_message.h"
#include "http/message_parser.h"
#include "net/byte_stream.h"

namespace pumicedyke::http {
namespace {

/// An idle connection is closed this long before the peer's idle limit, so that no request is sent
/// while the peer closes it.
constexpr Duration kIdleMargin = Milliseconds(700);
/// Responses before the final one of a call that are passed over: interim responses, and surplus
/// responses to earlier requests.
constexpr int kMaxPassedOver = 16;
/// Bytes of a body that wait to be written at a time.
constexpr size_t kBodySliceBytes = 64 * 1024;
/// A blocking exchange is the only one of its process, and may fetch a whole configuration.
constexpr size_t kBlockingHeldBytes = size_t{128} << 20;

}  // namespace

struct HttpClient::Call {
  CallId id = 0;
  ClientRequest request;
  DoneCb done;
  Timestamp started{};
  Host* host = nullptr;
  std::shared_ptr<Connection> connection;
  net::EventLoop::TimerId timer = 0;
  bool abandoned = false;

  bool Expired(Timestamp now) const {
    return !request.budget_header.empty() && now - started >= request.budget;
  }
};

struct HttpClient::Host {
  std::string address;
  std::vector<std::shared_ptr<Connection>> connections;
  std::deque<std::shared_ptr<Call>> waiting;
};

/// A connection to a peer, with one exchange at a time.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpClient* client, Host* host)
      : client_(client),
        loop_(client->loop_),
        host_(host),
        held_(client->loop_->byte_budget(), [this] { RevokeSoon(); }),
        stream_(client->loop_, host->address,
                {.on_bytes = [this](std::string* input) { OnBytes(input); },
                 .on_end = [this](net::StreamEnd end) { OnEnd(end); },
                 .on_drained = [this] { WriteBody(); },
                 .on_connected = [this] { WriteRequest(); }}) {
    connect_timer_ = client_->loop_->RunAt(
        net::EventLoop::Now() + client_->options_.connect_timeout, [this] { OnConnectTimeout(); });
  }
  /// The loop may keep this object after the client is destroyed.
  ~Connection() {
    loop_->CancelTimer(connect_timer_);
    loop_->CancelTimer(idle_timer_);
  }

  void Begin(const std::shared_ptr<Call>& call) {
    client_->loop_->CancelTimer(idle_timer_);
    idle_timer_ = 0;
    call_ = call;
    passed_over_ = 0;
    body_written_ = 0;
    if (call->request.separate_tries) {
      const Timestamp now = net::EventLoop::Now();
      std::erase_if(carried_, [now](const CarriedEcho& item) { return item.until <= now; });
      carried_.push_back({call->request.expected_echo, call->started + call->request.timeout});
    }
    parser_ = std::make_unique<ResponseParser>(client_->options_.response_limits,
                                               call->request.method == "HEAD");
    if (stream_.connected()) {
      WriteRequest();
    }
  }

  void Close() {
    stream_.Close();
    held_.Hold(0);
    client_->OnClosed(this);
  }
  bool idle() const { return call_ == nullptr && stream_.open(); }
  bool used() const { return served_ > 0; }
  /// Whether a response to an earlier request with this echo may still arrive.
  bool HasCarried(const std::string& echo) const {
    return std::any_of(carried_.begin(), carried_.end(),
                       [&echo](const CarriedEcho& item) { return item.echo == echo; });
  }
  /// The stream passes bytes to the operating system only once it is connected.
  bool was_connected() const { return stream_.was_connected(); }
  Host* host() const { return host_; }

 private:
  struct CarriedEcho {
    std::string echo;
    /// No further try is sent from then on.
    Timestamp until;
  };

  /// Called only once the connection is established, as the request states the budget left then.
  void WriteRequest() {
    if (call_ == nullptr) {
      return;
    }
    if (call_->Expired(net::EventLoop::Now())) {
      const std::shared_ptr<Call> call = std::exchange(call_, nullptr);
      ArmIdleTimer(/*retained=*/0);
      client_->OnIdle(this);
      client_->Expire(call);
      return;
    }
    ++requests_written_;
    const std::string& body = call_->request.body_text();
    std::string text = EncodeRequestHead(call_->request, net::EventLoop::Now() - call_->started);
    text.append(body, 0, kBodySliceBytes);
    body_written_ = std::min(body.size(), kBodySliceBytes);
    stream_.Write(text);
  }

  /// Writes more of the body whenever what was written before has left, so that a long body is not
  /// copied whole.
  void WriteBody() {
    if (writing_body_) {
      return;
    }
    writing_body_ = true;
    while (call_ != nullptr && stream_.unwritten() == 0 && !BodyIsWritten()) {
      const std::string_view body = call_->request.body_text();
      const std::string_view slice = body.substr(body_written_, kBodySliceBytes);
      body_written_ += slice.size();
      stream_.Write(slice);
      if (!stream_.open()) {
        break;
      }
    }
    writing_body_ = false;
  }

  bool BodyIsWritten() const { return body_written_ == call_->request.body_text().size(); }

  void OnConnectTimeout() {
    connect_timer_ = 0;
    if (!stream_.connected()) {
      OnEnd(net::StreamEnd::kBroken);
    }
  }

  void OnBytes(std::string* input) {
    if (call_ == nullptr) {
      // Bytes on an idle connection belong to no request.
      ++client_->surplus_responses_;
      Close();
      return;
    }
    while (call_ != nullptr && !input->empty()) {
      const ParseState state = parser_->Consume(input);
      if (state == ParseState::kFailed) {
        Fail("the response is not valid HTTP");
        return;
      }
      if (state != ParseState::kComplete) {
        held_.Hold(input->size() + parser_->held_bytes());
        return;
      }
      Complete(*input);
      if (passed_over_ > kMaxPassedOver) {
        Fail("too many responses before the final one");
        return;
      }
    }
    if (stream_.open()) {
      held_.Hold(input->size());
    }
  }

  /// Called by the budget, possibly from within another connection's work.
  void RevokeSoon() {
    loop_->Defer([self = weak_from_this()] {
      const auto connection = self.lock();
      if (connection != nullptr && connection->stream_.open()) {
        connection->Fail("too many bytes are held for unfinished responses");
      }
    });
  }

  void Complete(const std::string& rest) {
    ResponseMessage message = parser_->Take();
    constexpr int kFirstFinalStatus = 200;
    if (message.status < kFirstFinalStatus) {
      ++passed_over_;
      return;
    }
    const ClientRequest& request = call_->request;
    const std::string* echo = request.echoed_header.empty()
                                  ? nullptr
                                  : FindHeader(message.headers, request.echoed_header);
    const bool stale = echo != nullptr && *echo != request.expected_echo;
    if (stale) {
      // A surplus response to an earlier request. The response to this one is still to come.
      ++client_->surplus_responses_;
      ++passed_over_;
      return;
    }
    ClientResponse response;
    response.status = message.status;
    response.reason = std::move(message.reason);
    response.body = std::move(message.body);
    response.headers = std::move(message.headers);
    response.retry_after = RetryAfter(response.headers);
    response.reused_connection = used();
    response.attributed = echo != nullptr || requests_written_ == 1;
    const bool written = stream_.unwritten() == 0 && BodyIsWritten();
    const bool reusable =
        message.keep_alive && rest.empty() && written && !call_->request.unrepeatable;
    const Duration keep_alive = KeepAliveTimeout(response.headers);
    if (keep_alive.count() > 0) {
      idle_limit_ = std::max(Duration(0), keep_alive - kIdleMargin);
    }
    ++served_;
    const std::shared_ptr<Call> call = std::exchange(call_, nullptr);
    if (reusable) {
      ArmIdleTimer(call->request.close_when_idle ? 0 : call->request.retained_connections);
      client_->OnIdle(this);
    } else {
      Close();
    }
    client_->Finish(call, std::move(response));
  }

  /// @param retained number of connections to the address that are not surplus.
  void ArmIdleTimer(size_t retained) {
    Duration limit = host_->connections.size() > retained ? client_->options_.surplus_idle_limit
                                                          : client_->options_.idle_limit;
    if (idle_limit_.count() > 0) {
      limit = std::min(limit, idle_limit_);
    }
    idle_timer_ = client_->loop_->RunAt(net::EventLoop::Now() + limit, [this] {
      idle_timer_ = 0;
      Close();
    });
  }

  void OnEnd(net::StreamEnd end) {
    if (call_ != nullptr && end == net::StreamEnd::kClosed && parser_ != nullptr) {
      const bool started = parser_->state() != ParseState::kEmpty;
      if (started && parser_->ConsumeEnd() == ParseState::kComplete) {
        Complete("");
        if (call_ == nullptr) {
          Close();
          return;
        }
      }
    }
    const bool answered = parser_ != nullptr && parser_->state() != ParseState::kEmpty;
    Fail(end == net::StreamEnd::kClosed ? "the connection was closed before the response"
                                        : "the connection was reset or not established",
         /*lost=*/was_connected() && !answered);
  }

  void Fail(const char* why, bool lost = false) {
    ClientResponse response;
    response.error = why;
    response.connection_lost = lost;
    response.reused_connection = used();
    response.not_sent = !was_connected();
    const std::shared_ptr<Call> call = std::exchange(call_, nullptr);
    Close();
    if (call != nullptr) {
      client_->Finish(call, std::move(response));
    }
  }

  HttpClient* client_;
  net::EventLoop* loop_;
  Host* host_;
  std::shared_ptr<Call> call_;
  std::unique_ptr<ResponseParser> parser_;
  net::ByteBudget::Holder held_;
  uint64_t served_ = 0;
  uint64_t requests_written_ = 0;
  /// Bytes of the current call's body that were passed to the stream.
  size_t body_written_ = 0;
  bool writing_body_ = false;
  /// Responses of the current call that were passed over.
  int passed_over_ = 0;
  /// Requests sent here whose tries must be separate.
  std::vector<CarriedEcho> carried_;
  Duration idle_limit_{};
  net::EventLoop::TimerId connect_timer_ = 0;
  net::EventLoop::TimerId idle_timer_ = 0;
  net::ByteStream stream_;
};

HttpClient::HttpClient(net::EventLoop* loop, HttpClientOptions options)
    : loop_(loop), options_(options) {}

HttpClient::~HttpClient() {
  for (const auto& [id, call] : calls_) {
    loop_->CancelTimer(call->timer);
    call->connection.reset();
  }
}

size_t HttpClient::in_flight() const {
  return static_cast<size_t>(std::count_if(
      calls_.begin(), calls_.end(), [](const auto& item) { return !item.second->abandoned; }));
}

HttpClient::CallId HttpClient::Start(ClientRequest request, DoneCb done) {
  const CallId id = next_id_++;
  std::unique_ptr<Host>& host = hosts_[request.address];
  if (host == nullptr) {
    host = std::make_unique<Host>();
    host->address = request.address;
  }
  auto call = std::make_shared<Call>();
  call->id = id;
  call->request = std::move(request);
  call->done = std::move(done);
  call->host = host.get();
  call->started = net::EventLoop::Now();
  call->timer = loop_->RunAt(call->started + call->request.timeout, [this, id] { OnTimeout(id); });
  calls_[id] = call;
  const auto position = std::upper_bound(
      host->waiting.begin(), host->waiting.end(), call,
      [](const auto& a, const auto& b) { return a->request.priority < b->request.priority; });
  host->waiting.insert(position, std::move(call));
  Dispatch(host.get());
  return id;
}

void HttpClient::Dispatch(Host* host) {
  while (!host->waiting.empty()) {
    const std::shared_ptr<Call> call = host->waiting.front();
    if (call->Expired(net::EventLoop::Now())) {
      host->waiting.pop_front();
      // Deferred, as this may be called from within Start() or a callback.
      loop_->Defer([this, call] { Expire(call); });
      continue;
    }
    std::shared_ptr<Connection> connection = FindIdle(*host, call->request);
    const size_t max_connections = call->request.max_connections > 0
                                       ? call->request.max_connections
                                       : options_.max_connections_per_host;
    if (connection == nullptr && host->connections.size() >= max_connections &&
        call->request.separate_tries) {
      // The call must not wait for an idle connection that it may not use.
      CloseOneIdle(*host);
    }
    const bool may_open = call->request.unrepeatable || host->connections.size() < max_connections;
    if (connection == nullptr && !may_open) {
      return;
    }
    if (connection == nullptr) {
      connection = std::make_shared<Connection>(this, host);
      host->connections.push_back(connection);
      ++connections_opened_;
    }
    host->waiting.pop_front();
    call->connection = connection;
    connection->Begin(call);
  }
}

std::shared_ptr<HttpClient::Connection> HttpClient::FindIdle(const Host& host,
                                                             const ClientRequest& request) {
  if (request.unrepeatable) {
    return nullptr;
  }
  const auto usable = [&request](const std::shared_ptr<Connection>& connection) {
    return connection->idle() &&
           !(request.separate_tries && connection->HasCarried(request.expected_echo));
  };
  // Prefers the newest connection, so that the others may reach their idle limit.
  const auto it = std::find_if(host.connections.rbegin(), host.connections.rend(), usable);
  return it == host.connections.rend() ? nullptr : *it;
}

void HttpClient::CloseOneIdle(const Host& host) {
  const auto it = std::find_if(host.connections.begin(), host.connections.end(),
                               [](const auto& connection) { return connection->idle(); });
  if (it != host.connections.end()) {
    (*it)->Close();
  }
}

void HttpClient::OnIdle(Connection* connection) {
  loop_->Defer([this, host = connection->host()] { Dispatch(host); });
}

void HttpClient::OnClosed(Connection* connection) {
  std::vector<std::shared_ptr<Connection>>& all = connection->host()->connections;
  const auto it = std::find_if(all.begin(), all.end(),
                               [&](const auto& item) { return item.get() == connection; });
  if (it == all.end()) {
    return;
  }
  // The connection may be the caller of this function, so it is destroyed in the next loop
  // iteration.
  loop_->Defer([this, closed = *it, host = connection->host()] { Dispatch(host); });
  all.erase(it);
}

void HttpClient::Finish(const std::shared_ptr<Call>& call, ClientResponse response) {
  loop_->CancelTimer(call->timer);
  call->connection.reset();
  if (calls_.erase(call->id) > 0 && call->done != nullptr) {
    call->done(std::move(response));
  }
}

void HttpClient::Expire(const std::shared_ptr<Call>& call) {
  ClientResponse response;
  response.error = "the time budget ran out before the request was sent";
  response.not_sent = true;
  Finish(call, std::move(response));
}

void HttpClient::OnTimeout(CallId id) {
  const std::shared_ptr<Call> call = calls_.at(id);
  const bool unsent = call->connection == nullptr || !call->connection->was_connected();
  ClientResponse response;
  response.error = "timed out";
  response.not_sent = unsent;
  Cancel(id);
  if (call->done != nullptr) {
    call->done(std::move(response));
  }
}

void HttpClient::Cancel(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return;
  }
  const std::shared_ptr<Call> call = it->second;
  calls_.erase(it);
  loop_->CancelTimer(call->timer);
  std::erase(call->host->waiting, call);
  if (const auto connection = std::exchange(call->connection, nullptr)) {
    connection->Close();
  }
}

void HttpClient::CancelUnsent(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return;
  }
  const std::shared_ptr<Call> call = it->second;
  const bool written = call->connection != nullptr && call->connection->was_connected();
  if (written) {
    return;
  }
  Cancel(id);
  if (call->done != nullptr) {
    ClientResponse response;
    response.error = "cancelled before the request was sent";
    response.not_sent = true;
    call->done(std::move(response));
  }
}

bool HttpClient::Abandon(CallId id, Duration timeout, DoneCb on_late) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return false;
  }
  const std::shared_ptr<Call> call = it->second;
  if (call->connection == nullptr) {
    Cancel(id);
    return false;
  }
  call->abandoned = true;
  call->done = std::move(on_late);
  loop_->CancelTimer(call->timer);
  call->timer = loop_->RunAt(net::EventLoop::Now() + timeout, [this, id] { OnTimeout(id); });
  return true;
}

ClientResponse FetchBlocking(const ClientRequest& request) {
  net::EventLoop loop;
  loop.byte_budget()->SetLimit(kBlockingHeldBytes);
  HttpClientOptions options;
  options.response_limits = MessageLimits{};
  HttpClient client(&loop, options);
  ClientResponse result;
  client.Start(request, [&](ClientResponse response) {
    result = std::move(response);
    loop.Stop();
  });
  loop.Run([](Timestamp now) { return now + Seconds(1); });
  return result;
}

}  // namespace pumicedyke::http
