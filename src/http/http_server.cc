#include "http/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include <atomic>
#include <cmath>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "common/result_code.h"

namespace pumicedyke::http {

/// What outlives single exchanges; answers may come after the server object is gone.
struct HttpServer::Shared {
  HttpServerOptions options;
  Handler handler;
  net::EventLoop* loop = nullptr;
  std::atomic<bool> draining{false};
  std::atomic<size_t> in_flight{0};
  std::mutex mutex;
  bool closed = false;
};

namespace {

/// One request and its answer. Owned by MHD's connection and by whoever answers.
struct Exchange {
  HttpRequest request;
  MHD_Connection* connection = nullptr;
  bool dispatched = false;
  bool too_large = false;
  std::optional<HttpResponse> response;
};

std::string Header(MHD_Connection* connection, const char* name) {
  const char* value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
  return value == nullptr ? std::string() : std::string(value);
}

MHD_Result QueueResponse(HttpServer::Shared* shared, MHD_Connection* connection,
                         const HttpResponse& response) {
  MHD_Response* out = MHD_create_response_from_buffer(
      response.body.size(), const_cast<char*>(response.body.data()), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(out, MHD_HTTP_HEADER_CONTENT_TYPE, response.content_type.c_str());
  if (response.retry_after.count() > 0) {
    const double seconds = std::ceil(ToMilliseconds(response.retry_after) / 1000.0);
    MHD_add_response_header(out, MHD_HTTP_HEADER_RETRY_AFTER,
                            std::to_string(static_cast<int64_t>(seconds)).c_str());
  }
  if (shared->draining) {
    MHD_add_response_header(out, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  const MHD_Result result =
      MHD_queue_response(connection, static_cast<unsigned>(response.status), out);
  MHD_destroy_response(out);
  return result;
}

HttpResponse ErrorResponse(ResultCode code) {
  const ResultCodeInfo& info = InfoOf(code);
  const std::string body = "{\"code\":" + std::to_string(static_cast<int>(code)) +
                           ",\"result\":\"" + std::string(info.name) +
                           "\",\"run\":\"not_run\",\"message\":\"" + std::string(info.meaning) +
                           "\"}";
  return {info.http_status, body};
}

void Dispatch(const std::shared_ptr<HttpServer::Shared>& shared,
              const std::shared_ptr<Exchange>& exchange) {
  exchange->dispatched = true;
  MHD_suspend_connection(exchange->connection);
  const auto send = [shared, exchange](HttpResponse response) {
    const std::lock_guard lock(shared->mutex);
    if (shared->closed || exchange->response.has_value()) {
      return;
    }
    exchange->response = std::move(response);
    MHD_resume_connection(exchange->connection);
  };
  shared->loop->Post(
      [shared, exchange, send] { shared->handler(std::move(exchange->request), Responder(send)); });
}

MHD_Result OnAccess(void* cls, MHD_Connection* connection, const char* url, const char* method,
                    const char* /*version*/, const char* upload_data, size_t* upload_data_size,
                    void** connection_state) {
  const auto& shared = *static_cast<std::shared_ptr<HttpServer::Shared>*>(cls);
  if (*connection_state == nullptr) {
    auto exchange = std::make_shared<Exchange>();
    exchange->request.method = method;
    exchange->request.path = url;
    exchange->request.idempotency_key = Header(connection, "Idempotency-Key");
    exchange->request.authorization = Header(connection, "Authorization");
    exchange->connection = connection;
    *connection_state = new std::shared_ptr<Exchange>(exchange);
    ++shared->in_flight;
    uint64_t length = 0;
    const bool announced_too_large =
        absl::SimpleAtoi(Header(connection, "Content-Length"), &length) &&
        length > shared->options.max_body_bytes;
    if (announced_too_large) {
      return QueueResponse(shared.get(), connection, ErrorResponse(ResultCode::kBodyTooLarge));
    }
    return MHD_YES;
  }
  const auto& exchange = *static_cast<std::shared_ptr<Exchange>*>(*connection_state);
  if (*upload_data_size > 0) {
    exchange->too_large |=
        exchange->request.body.size() + *upload_data_size > shared->options.max_body_bytes;
    if (!exchange->too_large) {
      exchange->request.body.append(upload_data, *upload_data_size);
    }
    *upload_data_size = 0;
    return MHD_YES;
  }
  if (exchange->too_large) {
    return QueueResponse(shared.get(), connection, ErrorResponse(ResultCode::kBodyTooLarge));
  }
  if (!exchange->dispatched) {
    Dispatch(shared, exchange);
    return MHD_YES;
  }
  const std::lock_guard lock(shared->mutex);
  if (!exchange->response.has_value()) {
    return MHD_YES;
  }
  return QueueResponse(shared.get(), connection, *exchange->response);
}

void OnCompleted(void* cls, MHD_Connection* /*connection*/, void** connection_state,
                 MHD_RequestTerminationCode /*code*/) {
  const auto& shared = *static_cast<std::shared_ptr<HttpServer::Shared>*>(cls);
  auto* exchange = static_cast<std::shared_ptr<Exchange>*>(*connection_state);
  if (exchange != nullptr) {
    --shared->in_flight;
    delete exchange;
    *connection_state = nullptr;
  }
}

}  // namespace

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
    : loop_(loop), shared_(std::make_shared<Shared>()) {
  shared_->options = options;
  shared_->handler = std::move(handler);
  shared_->loop = loop_;
}

HttpServer::~HttpServer() {
  if (daemon_ == nullptr) {
    return;
  }
  {
    const std::lock_guard lock(shared_->mutex);
    shared_->closed = true;
  }
  MHD_stop_daemon(daemon_);
  if (quiesced_socket_ >= 0) {
    ::close(quiesced_socket_);
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
  const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
  daemon_ = MHD_start_daemon(
      flags, port, nullptr, nullptr, &OnAccess, &shared_, MHD_OPTION_SOCK_ADDR,
      reinterpret_cast<sockaddr*>(&local), MHD_OPTION_NOTIFY_COMPLETED, &OnCompleted, &shared_,
      MHD_OPTION_CONNECTION_LIMIT, shared_->options.max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
      shared_->options.idle_seconds, MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_END);
  if (daemon_ == nullptr) {
    return MakeStatus(ResultCode::kInvalidConfig,
                      "cannot listen on " + address + ": " + std::strerror(errno));
  }
  port_ = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
  return absl::OkStatus();
}

void HttpServer::StartDraining() { shared_->draining = true; }

void HttpServer::StopListening() {
  if (daemon_ != nullptr && quiesced_socket_ < 0) {
    quiesced_socket_ = MHD_quiesce_daemon(daemon_);
  }
}

size_t HttpServer::in_flight() const { return shared_->in_flight; }

unsigned HttpServer::connections() const {
  return MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)->num_connections;
}

}  // namespace pumicedyke::http
