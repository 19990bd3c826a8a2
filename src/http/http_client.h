// HTTP/1.1 client on the event loop, with a pool of persistent connections per address. The client
// sends each request at most once and never retries: the caller decides what a failure means.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/types.h"
#include "http/message.h"
#include "http/message_parser.h"
#include "net/event_loop.h"

namespace pumicedyke::http {

struct ClientRequest {
  /// IP address and port.
  std::string address;
  /// Path and query.
  std::string path;
  /// If `method` is empty, an empty body means GET, any other POST.
  std::string body;
  /// A body that is shared by several requests. If set, `body` is unused. May be null.
  std::shared_ptr<const std::string> shared_body = nullptr;
  Duration timeout = Seconds(5);
  std::string idempotency_key;
  std::string authorization;
  /// The work must not run twice. The request is sent on a new connection, which is less likely to
  /// be closed before the response.
  bool unrepeatable = false;
  std::string method;
  /// Sent unchanged, after Host (unless they contain it).
  Headers headers;
  /// Request line and headers from EncodeHead(), including Host, shared by similar requests to many
  /// peers. If set, `path` is unused and `headers` are sent after it. May be null.
  std::shared_ptr<const std::string> shared_head;
  /// A response whose header of this name differs from `expected_echo` belongs to an earlier
  /// request on the connection and is dropped. Empty: no echo is expected.
  std::string echoed_header;
  std::string expected_echo;
  /// Tries with the same `expected_echo` are sent on different connections, so that a surplus
  /// response to one is not taken for the response to another. All tries must be sent within the
  /// `timeout` of the first.
  bool separate_tries = false;
  /// Name of the header that states how many whole milliseconds of `budget`, counted from Start(),
  /// are left when the request is written. If none are left, the request is not written and the
  /// call ends as not sent. Empty: no such header.
  std::string budget_header;
  Duration budget{};
  /// A new connection is opened for this call only while the address has fewer connections. Zero:
  /// HttpClientOptions::max_connections_per_host.
  size_t max_connections = 0;
  /// No further request to the address is expected soon, so its connection counts as surplus.
  bool close_when_idle = false;
  /// Without `close_when_idle`: the number of connections to the address that are not surplus.
  size_t retained_connections = 1;
  /// Of the calls that wait for a connection, those with the lowest value are sent first.
  int priority = 0;

  const std::string& body_text() const { return shared_body != nullptr ? *shared_body : body; }
};

struct ClientResponse {
  /// Zero if no complete response was received.
  int status = 0;
  std::string body;
  Duration retry_after{};
  /// Set if no byte of the request can have reached the peer.
  bool not_sent = false;
  /// The connection ended after the request was sent and before the first byte of a response.
  bool connection_lost = false;
  std::string error;
  std::string reason;
  Headers headers;
  /// The connection had already been used by an earlier request.
  bool reused_connection = false;
  /// The response is provably the one to this request: it carries the expected echo, or no other
  /// request was sent on its connection.
  bool attributed = false;
  bool ok() const { return status != 0; }
};

struct HttpClientOptions {
  /// Maximum connections per address, idle ones included. Further calls wait, unless
  /// they are unrepeatable.
  size_t max_connections_per_host = 8;
  /// Idle connections are closed after this time, or shortly before the peer's own limit.
  Duration idle_limit = Seconds(60);
  /// The idle limit of surplus connections of an address. After a power loss peers keep a process's
  /// connections open for a long time, so only the needed ones are kept.
  Duration surplus_idle_limit = Milliseconds(1000);
  Duration connect_timeout = Milliseconds(1000);
  /// A response beyond these ends its call without one, and closes the connection at once.
  MessageLimits response_limits{.body_bytes = 8 << 20};
};

class HttpClient {
 public:
  using DoneCb = std::function<void(ClientResponse)>;
  using CallId = uint64_t;

  /// @param loop must not run any more once this object is destroyed.
  HttpClient(net::EventLoop* loop, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call. `done` is called once on the loop's thread, unless the call is cancelled
  /// before.
  CallId Start(ClientRequest request, DoneCb done);
  /// Ends the call and closes its connection, so that a late response cannot be mistaken for that
  /// of another request.
  void Cancel(CallId id);
  /// Gives up the response but keeps the connection: the response is still read, for up to
  /// `timeout`. @param on_late receives the result of the call; may be null.
  /// @return whether the call is still open.
  bool Abandon(CallId id, Duration timeout, DoneCb on_late = nullptr);
  /// Ends the call as not sent, unless its request may have been written.
  void CancelUnsent(CallId id);
  /// Number of open calls that were not abandoned.
  size_t in_flight() const;
  uint64_t connections_opened() const { return connections_opened_; }
  /// Number of times that bytes belonged to no open call: a second response to an earlier request,
  /// or bytes on an idle connection.
  uint64_t surplus_responses() const { return surplus_responses_; }

 private:
  class Connection;
  struct Call;
  struct Host;
  friend class Connection;

  void Dispatch(Host* host);
  /// Returns the newest idle connection that the request may use, or null.
  static std::shared_ptr<Connection> FindIdle(const Host& host, const ClientRequest& request);
  /// Closes an idle connection, if there is one, so that another one may be opened in its place.
  static void CloseOneIdle(const Host& host);
  void Finish(const std::shared_ptr<Call>& call, ClientResponse response);
  void OnIdle(Connection* connection);
  void OnClosed(Connection* connection);
  void OnTimeout(CallId id);
  /// Ends a call whose budget ran out before its request was written.
  void Expire(const std::shared_ptr<Call>& call);

  net::EventLoop* loop_;
  HttpClientOptions options_;
  std::unordered_map<std::string, std::unique_ptr<Host>> hosts_;
  std::unordered_map<CallId, std::shared_ptr<Call>> calls_;
  CallId next_id_ = 1;
  uint64_t connections_opened_ = 0;
  uint64_t surplus_responses_ = 0;
};

/// Makes one blocking exchange, for command line tools and tests.
ClientResponse FetchBlocking(const ClientRequest& request);

}  // namespace pumicedyke::http
