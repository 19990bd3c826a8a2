// Tests which calls get the connections to an address, and which connections are kept.
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "http/http_client.h"
#include "http/http_server.h"
#include "net/event_loop.h"

namespace pumicedyke::http {
namespace {

/// Answers held requests as soon as `together` of them have arrived.
class Peer {
 public:
  Peer(net::EventLoop* loop, size_t together)
      : together_(together),
        server_(loop, {}, [this](const HttpRequest& request, Responder responder) {
          paths.push_back(request.path);
          held_.push_back(std::move(responder));
          if (held_.size() == together_) {
            for (Responder& held : std::exchange(held_, {})) {
              held.Send({200, "ok"});
            }
          }
        }) {
    CPPUNIT_ASSERT(server_.Listen("127.0.0.1:0").ok());
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }

  std::vector<std::string> paths;

 private:
  size_t together_;
  std::vector<Responder> held_;
  HttpServer server_;
};

/// Makes three rounds of two concurrent calls, with a pause between rounds. @return the number of
/// connections opened.
uint64_t ConnectionsOpened(size_t kept) {
  net::EventLoop loop;
  Peer peer(&loop, 2);
  HttpClient client(&loop, {.surplus_idle_limit = Duration(0)});
  int rounds = 0;
  int answered = 0;
  std::function<void()> next = [&] {
    for (int i = 0; i < 2; ++i) {
      ClientRequest request;
      request.address = peer.address();
      request.path = "/";
      request.retained_connections = kept;
      client.Start(request, [&](const ClientResponse& response) {
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        if (++answered % 2 != 0) {
          return;
        }
        if (++rounds == 3) {
          loop.Stop();
        } else {
          // Connections past their idle limit are closed before the next round.
          loop.RunAt(net::EventLoop::Now() + Milliseconds(1), next);
        }
      });
    }
  };
  loop.Post(next);
  loop.Run([](Timestamp now) { return now + Milliseconds(50); });
  return client.connections_opened();
}

}  // namespace

class ClientConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientConnectionsTest);
  CPPUNIT_TEST(KeptConnectionsAreReused);
  CPPUNIT_TEST(UrgentCallsGetTheNextConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeptConnectionsAreReused() {
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, ConnectionsOpened(2));
    CPPUNIT_ASSERT(ConnectionsOpened(1) > 2);
  }

  void UrgentCallsGetTheNextConnection() {
    net::EventLoop loop;
    Peer peer(&loop, 1);
    HttpClient client(&loop, {});
    size_t answered = 0;
    const std::vector<std::pair<std::string, int>> calls = {
        {"/first", 5}, {"/later", 5}, {"/last", 5}, {"/urgent", 0}};
    for (const auto& [path, priority] : calls) {
      ClientRequest request;
      request.address = peer.address();
      request.path = path;
      request.priority = priority;
      request.max_connections = 1;
      client.Start(request, [&](const ClientResponse&) {
        if (++answered == calls.size()) {
          loop.Stop();
        }
      });
    }
    loop.Run([](Timestamp now) { return now + Milliseconds(50); });
    const std::vector<std::string> wanted = {"/first", "/urgent", "/later", "/last"};
    CPPUNIT_ASSERT(peer.paths == wanted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientConnectionsTest);

}  // namespace pumicedyke::http
