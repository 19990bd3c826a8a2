// HTTP/1.1 client on the event loop, with warm connections per address. A request is put on one
// connection once and never sent again by the client itself: what a failure means is for the caller
// to decide.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/types.h"
#include "http/message.h"
#include "net/event_loop.h"

namespace pumicedyke::http {

struct ClientRequest {
  /// IP number and port.
  std::string address;
  /// Path and query.
  std::string path;
  /// With no method given: empty means GET, else POST.
  std::string body;
  Duration timeout = Seconds(5);
  std::string idempotency_key;
  std::string authorization;
  /// Work that must not run twice: sent on a fresh connection, whose close before the reply is
  /// rarer.
  bool unrepeatable = false;
  std::string method;
  /// Sent as they stand, after Host (unless they hold one).
  Headers headers;
  /// Request line and headers by EncodeHead(), Host among them, for requests to many peers that
  /// differ in little; `path` is unused then, and `headers` come after it. Null: there is none.
  std::shared_ptr<const std::string> shared_head;
  /// A response whose header of this name has another value than `expected_echo` belongs to an
  /// earlier request of the connection and is dropped. Empty: none is expected.
  std::string echoed_header;
  std::string expected_echo;
  /// The peer is told in this header how many whole milliseconds of `budget`, which counts from
  /// Start(), are left when the request is written. With nothing left the request is not written:
  /// the call ends as not sent. Empty: it is not told.
  std::string budget_header;
  Duration budget{};
  /// Connections to the address that may be open for this call to go out; zero: as the client's
  /// options say.
  size_t max_connections = 0;
  /// No request to the address is to be expected soon: its connection is closed like one of many.
  bool close_soon = false;
  /// Otherwise as many connections to the address outlive the surplus limit.
  size_t kept_connections = 1;
  /// Of calls that wait for a connection, those with the least go first.
  int priority = 0;
};

struct ClientResponse {
  /// Zero if there was no whole response.
  int status = 0;
  std::string body;
  Duration retry_after{};
  /// Set if not one byte of the request can have reached the peer.
  bool not_sent = false;
  /// The peer's end of the connection went away after the request had gone out, before one byte of
  /// a response.
  bool connection_lost = false;
  std::string error;
  std::string reason;
  Headers headers;
  /// The response came on a connection that had served before.
  bool reused_connection = false;
  bool ok() const { return status != 0; }
};

struct HttpClientOptions {
  /// Warm connections kept per address, and connections in use beyond which calls wait their turn.
  size_t max_connections_per_host = 8;
  /// Idle connections are closed after this, or a little before the peer's own limit.
  Duration idle_limit = Seconds(60);
  /// The same for connections of an address beyond those that are kept: peers count the connections
  /// of a process that lost power as open for long, so no more are kept than are needed.
  Duration surplus_idle_limit = Milliseconds(1000);
  Duration connect_timeout = Milliseconds(1000);
};

class HttpClient {
 public:
  using DoneCb = std::function<void(ClientResponse)>;
  using CallId = uint64_t;

  /// @param loop must not run any more once this object is gone.
  HttpClient(net::EventLoop* loop, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// `done` is called once on the loop's thread, unless the call is cancelled before.
  CallId Start(ClientRequest request, DoneCb done);
  /// Ends the call and closes its connection: a reply that comes late must meet no other request.
  void Cancel(CallId id);
  /// The reply is no longer wanted, but the connection is: it is read to its end for up to
  /// `patience`. @param late hears what became of the call; null: nobody does.
  /// @return whether anything is still to come of the call.
  bool Abandon(CallId id, Duration patience, DoneCb late = nullptr);
  /// Ends the call as not sent, unless it may have been written.
  void EndUnsent(CallId id);
  /// Calls whose `done` is still to come.
  size_t in_flight() const;
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  class Connection;
  struct Call;
  struct Host;
  friend class Connection;

  void Dispatch(Host* host);
  void Assign(const std::shared_ptr<Call>& call, const std::shared_ptr<Connection>& connection);
  void Finish(const std::shared_ptr<Call>& call, ClientResponse response);
  void OnIdle(Connection* connection);
  void OnClosed(Connection* connection);
  void OnTimeout(CallId id);
  /// Nothing is left of the call's budget; it was not written.
  void Expire(const std::shared_ptr<Call>& call);

  net::EventLoop* loop_;
  HttpClientOptions options_;
  std::unordered_map<std::string, std::unique_ptr<Host>> hosts_;
  std::unordered_map<CallId, std::shared_ptr<Call>> calls_;
  CallId next_id_ = 1;
  uint64_t connections_opened_ = 0;
};

/// One blocking exchange, for command line tools and tests.
ClientResponse FetchBlocking(const ClientRequest& request);

}  // namespace pumicedyke::http
