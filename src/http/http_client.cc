#include "http/http_client.h"

#include <algorithm>
#include <cstdlib>
#include <mutex>
#include <utility>

namespace pumicedyke::http {
namespace {

constexpr size_t kIdleHandles = 256;
constexpr size_t kMaxResponseBytes = 64U << 20;

size_t AppendBody(char* data, size_t size, size_t count, void* user) {
  auto* response = static_cast<ClientResponse*>(user);
  const size_t bytes = size * count;
  if (response->body.size() + bytes > kMaxResponseBytes) {
    return 0;
  }
  response->body.append(data, bytes);
  return bytes;
}

void InitializeCurlOnce() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

/// Sets everything but the callbacks. @return the headers, to be freed after the exchange.
curl_slist* Configure(CURL* easy, const ClientRequest& request) {
  const std::string url = "http://" + request.address + request.path;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   std::max<long>(1, static_cast<long>(request.timeout.count() / 1000)));
  // No "Expect: 100-continue" round trip, and no chance to send twice on its account.
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  if (!request.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, request.body.c_str());
    headers = curl_slist_append(headers, "Content-Type: application/json");
  }
  if (!request.idempotency_key.empty()) {
    headers = curl_slist_append(headers, ("Idempotency-Key: " + request.idempotency_key).c_str());
  }
  if (!request.authorization.empty()) {
    headers = curl_slist_append(headers, ("Authorization: " + request.authorization).c_str());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  if (request.unrepeatable) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  return headers;
}

void ReadOutcome(CURL* easy, CURLcode code, ClientResponse* response) {
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_off_t retry_after = 0;
    curl_easy_getinfo(easy, CURLINFO_RETRY_AFTER, &retry_after);
    response->status = static_cast<int>(status);
    response->retry_after = Seconds(retry_after);
    return;
  }
  long request_bytes = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  response->error = curl_easy_strerror(code);
  // Only a connection that was never made proves that nothing was sent.
  response->not_sent = code == CURLE_COULDNT_CONNECT && request_bytes == 0;
}

}  // namespace

struct HttpClient::Call {
  CallId id = 0;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  ClientResponse response;
  DoneCb done;
};

class HttpClient::SocketHandler : public ACE_Event_Handler {
 public:
  SocketHandler(HttpClient* client, curl_socket_t socket) : client_(client), socket_(socket) {}
  ACE_HANDLE get_handle() const override { return socket_; }
  int handle_input(ACE_HANDLE /*handle*/) override {
    client_->Act(socket_, CURL_CSELECT_IN);
    return 0;
  }
  int handle_output(ACE_HANDLE /*handle*/) override {
    client_->Act(socket_, CURL_CSELECT_OUT);
    return 0;
  }
  bool registered = false;

 private:
  HttpClient* client_;
  curl_socket_t socket_;
};

class HttpClient::TimerHandler : public ACE_Event_Handler {
 public:
  explicit TimerHandler(HttpClient* client) : client_(client) {}
  int handle_timeout(const ACE_Time_Value& /*now*/, const void* /*argument*/) override {
    timer_id = -1;
    client_->Act(CURL_SOCKET_TIMEOUT, 0);
    return 0;
  }
  long timer_id = -1;

 private:
  HttpClient* client_;
};

HttpClient::HttpClient(net::EventLoop* loop, long max_connections_per_host) : loop_(loop) {
  InitializeCurlOnce();
  multi_ = curl_multi_init();
  timer_ = std::make_unique<TimerHandler>(this);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &HttpClient::OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &HttpClient::OnTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, max_connections_per_host);
  constexpr long kPooledConnections = 4096;
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kPooledConnections);
}

HttpClient::~HttpClient() {
  while (!calls_.empty()) {
    Cancel(calls_.begin()->first);
  }
  for (CURL* easy : idle_handles_) {
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(multi_);
  if (timer_->timer_id >= 0) {
    loop_->ace()->cancel_timer(timer_->timer_id);
  }
}

CURL* HttpClient::TakeHandle() {
  if (idle_handles_.empty()) {
    return curl_easy_init();
  }
  CURL* easy = idle_handles_.back();
  idle_handles_.pop_back();
  return easy;
}

void HttpClient::ReturnHandle(CURL* easy) {
  if (idle_handles_.size() >= kIdleHandles) {
    curl_easy_cleanup(easy);
    return;
  }
  curl_easy_reset(easy);
  idle_handles_.push_back(easy);
}

HttpClient::CallId HttpClient::Start(const ClientRequest& request, DoneCb done) {
  auto call = std::make_unique<Call>();
  call->id = next_id_++;
  call->easy = TakeHandle();
  call->headers = Configure(call->easy, request);
  call->done = std::move(done);
  curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, &call->response);
  curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call.get());
  const CallId id = call->id;
  CURL* easy = call->easy;
  calls_[id] = std::move(call);
  curl_multi_add_handle(multi_, easy);
  return id;
}

void HttpClient::Cancel(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return;
  }
  const std::unique_ptr<Call> call = std::move(it->second);
  calls_.erase(it);
  // Removing a handle in mid-exchange makes libcurl close its connection.
  curl_multi_remove_handle(multi_, call->easy);
  curl_slist_free_all(call->headers);
  ReturnHandle(call->easy);
}

int HttpClient::OnSocket(CURL* /*easy*/, curl_socket_t socket, int what, void* self,
                         void* handler) {
  static_cast<HttpClient*>(self)->SetSocket(socket, what, static_cast<SocketHandler*>(handler));
  return 0;
}

void HttpClient::SetSocket(curl_socket_t socket, int what, SocketHandler* handler) {
  ACE_Reactor* reactor = loop_->ace();
  if (what == CURL_POLL_REMOVE) {
    if (handler != nullptr) {
      reactor->remove_handler(handler,
                              ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
      curl_multi_assign(multi_, socket, nullptr);
      const auto it = sockets_.find(socket);
      if (it != sockets_.end()) {
        // The handler may be the one that runs now: it goes when the loop is back at the top.
        std::shared_ptr<SocketHandler> dead = std::move(it->second);
        sockets_.erase(it);
        loop_->Post([dead] {});
      }
    }
    return;
  }
  if (handler == nullptr) {
    auto fresh = std::make_unique<SocketHandler>(this, socket);
    handler = fresh.get();
    sockets_[socket] = std::move(fresh);
    curl_multi_assign(multi_, socket, handler);
  }
  ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
  if ((what & CURL_POLL_IN) != 0) {
    mask |= ACE_Event_Handler::READ_MASK;
  }
  if ((what & CURL_POLL_OUT) != 0) {
    mask |= ACE_Event_Handler::WRITE_MASK;
  }
  if (!handler->registered) {
    reactor->register_handler(handler, mask);
    handler->registered = true;
  } else {
    reactor->mask_ops(handler, mask, ACE_Reactor::SET_MASK);
  }
}

int HttpClient::OnTimer(CURLM* /*multi*/, long timeout_ms, void* self) {
  auto* client = static_cast<HttpClient*>(self);
  ACE_Reactor* reactor = client->loop_->ace();
  TimerHandler* timer = client->timer_.get();
  if (timer->timer_id >= 0) {
    reactor->cancel_timer(timer->timer_id);
    timer->timer_id = -1;
  }
  if (timeout_ms >= 0) {
    const ACE_Time_Value delay(timeout_ms / 1000, (timeout_ms % 1000) * 1000);
    timer->timer_id = reactor->schedule_timer(timer, nullptr, delay);
  }
  return 0;
}

void HttpClient::Act(curl_socket_t socket, int events) {
  int running = 0;
  curl_multi_socket_action(multi_, socket, events, &running);
  ReapFinished();
}

void HttpClient::ReapFinished() {
  int queued = 0;
  while (CURLMsg* message = curl_multi_info_read(multi_, &queued)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    CURL* easy = message->easy_handle;
    const CURLcode code = message->data.result;
    Call* finished = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &finished);
    const auto it = calls_.find(finished->id);
    const std::unique_ptr<Call> call = std::move(it->second);
    calls_.erase(it);
    ReadOutcome(easy, code, &call->response);
    curl_multi_remove_handle(multi_, easy);
    curl_slist_free_all(call->headers);
    ReturnHandle(easy);
    call->done(std::move(call->response));
  }
}

ClientResponse FetchBlocking(const ClientRequest& request) {
  InitializeCurlOnce();
  CURL* easy = curl_easy_init();
  ClientResponse response;
  curl_slist* headers = Configure(easy, request);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response);
  const CURLcode code = curl_easy_perform(easy);
  ReadOutcome(easy, code, &response);
  curl_slist_free_all(headers);
  curl_easy_cleanup(easy);
  return response;
}

}  // namespace pumicedyke::http
