// Tests on real sockets, with the time set by the test, that a process that stops answers whatever
// has arrived.
#include "server/graceful_stop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <string>

#include "e2e/raw_connection.h"
#include "net/event_loop.h"

namespace pumicedyke::server {
namespace {

constexpr Duration kGrace = Milliseconds(300);
constexpr Duration kKillAfter = Seconds(2);
constexpr Timestamp kStart{Seconds(100)};
constexpr char kRequest[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server that answers each request at once, and its planned stop.
class StoppingServer {
 public:
  StoppingServer()
      : server_(&loop_, {},
                [this](const http::HttpRequest& /*request*/, http::Responder responder) {
                  ++requests_;
                  responder.Send({200, "answer"});
                }) {
    CPPUNIT_ASSERT(server_.Listen("127.0.0.1:0").ok());
  }

  std::unique_ptr<e2e::RawConnection> Connect() const {
    return std::make_unique<e2e::RawConnection>("127.0.0.1:" + std::to_string(server_.port()));
  }
  /// Lets the event loop run until `condition` holds.
  void PollUntil(const std::string& what, const std::function<bool()>& condition) {
    constexpr int kMaxTurns = 2000;
    int turns = 0;
    loop_.Resume();
    loop_.Run([&](Timestamp now) {
      if (condition()) {
        loop_.Stop();
      }
      CPPUNIT_ASSERT_MESSAGE(what, ++turns < kMaxTurns);
      return now + Milliseconds(5);
    });
  }
  /// Sends a request on a connection that stays open.
  void Exchange(e2e::RawConnection* client) {
    client->SendBytes(kRequest);
    PollUntil("an answer", [&] { return client->ReadAvailable().ends_with("answer"); });
  }
  void Start() { stop_.Start(kStart, {&server_}); }
  /// Ticks up to `end`, as often as a process that is not paused. @return whether it may exit.
  bool TickUntil(Duration end) {
    bool done = false;
    for (; elapsed_ < end; elapsed_ += Milliseconds(50)) {
      done = stop_.Done(kStart + elapsed_, /*idle=*/true);
    }
    return done;
  }
  bool DoneAt(Duration elapsed) { return stop_.Done(kStart + elapsed, /*idle=*/true); }
  /// Checks that the client gets its answer, that its connection is closed then, and that the
  /// process may exit.
  void CheckAnswered(e2e::RawConnection* client, Duration elapsed) {
    std::string received;
    PollUntil("an answer and the end of the connection", [&] {
      received += client->ReadAvailable();
      return client->closed();
    });
    CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(received.ends_with("answer"));
    CPPUNIT_ASSERT(DoneAt(elapsed));
  }

 private:
  net::EventLoop loop_;
  http::HttpServer server_;
  GracefulStop stop_{StopTimes{.grace = kGrace, .kill_after = kKillAfter}};
  Duration elapsed_{};
  int requests_ = 0;
};

}  // namespace

class GracefulStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GracefulStopTest);
  CPPUNIT_TEST(UnreadRequestOnKeptConnectionIsAnswered);
  CPPUNIT_TEST(UnacceptedConnectionIsServed);
  CPPUNIT_TEST(RequestInPiecesIsAnswered);
  CPPUNIT_TEST(UnfinishedRequestIsRefusedBeforeTheKill);
  CPPUNIT_TEST(IdleConnectionsAreClosedInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a process that was paused while it stopped and exits before it reads what
  /// arrived meanwhile: its caller got a reset instead of an answer.
  void UnreadRequestOnKeptConnectionIsAnswered() {
    StoppingServer server;
    const auto client = server.Connect();
    server.Exchange(client.get());
    server.Start();
    CPPUNIT_ASSERT(!server.TickUntil(Milliseconds(750)));
    client->SendBytes(kRequest);
    CPPUNIT_ASSERT(!server.DoneAt(Milliseconds(900)));
    CPPUNIT_ASSERT(!server.DoneAt(Milliseconds(910)));
    server.CheckAnswered(client.get(), Milliseconds(920));
  }

  /// The connection was opened just before the process stops listening.
  void UnacceptedConnectionIsServed() {
    StoppingServer server;
    server.Start();
    CPPUNIT_ASSERT(!server.TickUntil(kGrace));
    const auto client = server.Connect();
    client->SendBytes(kRequest);
    CPPUNIT_ASSERT(!server.DoneAt(kGrace));
    server.CheckAnswered(client.get(), kGrace + Milliseconds(10));
  }

  void RequestInPiecesIsAnswered() {
    StoppingServer server;
    const auto client = server.Connect();
    server.Exchange(client.get());
    server.Start();
    CPPUNIT_ASSERT(!server.TickUntil(Milliseconds(750)));
    const std::string request = kRequest;
    client->SendBytes(request.substr(0, 5));
    CPPUNIT_ASSERT(!server.DoneAt(Milliseconds(900)));
    int turns = 0;
    server.PollUntil("some turns", [&] { return ++turns > 3; });
    CPPUNIT_ASSERT(!server.DoneAt(Milliseconds(950)));
    client->SendBytes(request.substr(5));
    server.CheckAnswered(client.get(), Milliseconds(960));
  }

  /// Guards against a process that waits for the rest of a request until it is killed.
  void UnfinishedRequestIsRefusedBeforeTheKill() {
    StoppingServer server;
    const auto client = server.Connect();
    server.Exchange(client.get());
    server.Start();
    const std::string request = kRequest;
    client->SendBytes(request.substr(0, 5));
    int turns = 0;
    server.PollUntil("some turns", [&] { return ++turns > 3; });
    CPPUNIT_ASSERT(!server.TickUntil(kKillAfter));
    std::string received;
    server.PollUntil("a refusal", [&] {
      received += client->ReadAvailable();
      return received.ends_with("}");
    });
    CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 503"));
  }

  void IdleConnectionsAreClosedInTime() {
    StoppingServer server;
    const auto client = server.Connect();
    server.Exchange(client.get());
    server.Start();
    CPPUNIT_ASSERT(!server.TickUntil(Milliseconds(800)));
    CPPUNIT_ASSERT_EQUAL(std::string(), client->ReadAvailable());
    CPPUNIT_ASSERT(!client->closed());
    CPPUNIT_ASSERT(server.DoneAt(Milliseconds(800)));
    client->ReadAvailable();
    CPPUNIT_ASSERT(client->closed());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GracefulStopTest);

}  // namespace pumicedyke::server
