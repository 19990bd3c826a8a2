// Tests on real sockets that the last answer on a connection arrives whole, although its client
// sends more than the request.
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "e2e/raw_connection.h"
#include "e2e/whole_response.h"
#include "http/http_server.h"
#include "net/event_loop.h"
#include "net/suspended_clock.h"

namespace pumicedyke::http {
namespace {

constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
/// So little waits at a client that most of an answer waits at the server's operating system.
constexpr int kReceiveBuffer = 16 * 1024;
/// An answer that the operating system takes at once.
constexpr size_t kLongAnswer = 200000;
/// One that it doesn't.
constexpr size_t kVeryLongAnswer = size_t{16} << 20;
/// Longer than a connection is kept after its last answer.
constexpr Duration kPause = Seconds(2);

/// A server that stops, on the test's own thread, with one client whose request it has read.
class DrainingServer {
 public:
  DrainingServer()
      : server_(&loop_, {}, [this](const HttpRequest& /*request*/, Responder responder) {
          responder_.emplace(std::move(responder));
        }) {
    CPPUNIT_ASSERT(server_.Listen("127.0.0.1:0").ok());
    client_.emplace("127.0.0.1:" + std::to_string(server_.port()), kReceiveBuffer);
    client_->SendBytes(kRequest);
    PollUntil("the request", [this] { return responder_.has_value(); });
    server_.StartDraining();
  }

  e2e::RawConnection& client() { return *client_; }
  void CloseClient() { client_.reset(); }
  size_t unwritten() const { return loop_.byte_budget().held(); }
  unsigned connections() const { return server_.connections(); }
  void Answer(size_t bytes) { responder_->Send({200, std::string(bytes, 'x')}); }
  /// Lets the event loop run until `condition` holds.
  void PollUntil(const std::string& what, const std::function<bool()>& condition) {
    constexpr int kMaxTurns = 20000;
    int turns = 0;
    loop_.Resume();
    loop_.Run([&](Timestamp now) {
      if (condition()) {
        loop_.Stop();
      }
      CPPUNIT_ASSERT_MESSAGE(what, ++turns < kMaxTurns);
      return now + Milliseconds(1);
    });
  }
  /// Lets the event loop handle what has arrived.
  void Poll() {
    int turns = 0;
    PollUntil("some turns", [&turns] { return ++turns > 3; });
  }
  /// Checks that the answer arrives whole, and that the connection ends in order.
  void CheckAnswered(std::string received = {}) {
    PollUntil("the end of the connection", [&] {
      received += client_->ReadAvailable();
      return client_->closed();
    });
    CPPUNIT_ASSERT_MESSAGE(std::to_string(received.size()) + " bytes",
                           e2e::IsWholeResponse(received));
    CPPUNIT_ASSERT(!client_->reset());
  }

 private:
  net::EventLoop loop_;
  HttpServer server_;
  std::optional<Responder> responder_;
  std::optional<e2e::RawConnection> client_;
};

}  // namespace

class LastAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LastAnswerTest);
  CPPUNIT_TEST(UnreadBytesDoNotCutTheAnswer);
  CPPUNIT_TEST(UnreadBytesDoNotResetAShortAnswer);
  CPPUNIT_TEST(BytesAfterTheAnswerDoNotCutIt);
  CPPUNIT_TEST(BytesAfterAnAnswerWrittenInPiecesDoNotCutIt);
  CPPUNIT_TEST(BytesDuringAPauseDoNotCutTheAnswer);
  CPPUNIT_TEST(ConnectionEndsAlthoughItsClientKeepsIt);
  CPPUNIT_TEST(ConnectionEndsAlthoughItsClientSendsOn);
  CPPUNIT_TEST(ConnectionEndsWithItsClient);
  CPPUNIT_TEST(ShortAnswerEndsTheConnectionAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against answers that are cut by a reset, because the client's next request lies unread
  /// when the connection is closed.
  void UnreadBytesDoNotCutTheAnswer() {
    DrainingServer server;
    server.client().SendBytes(kRequest);
    server.Answer(kLongAnswer);
    server.Poll();
    server.CheckAnswered();
  }

  /// Guards against short answers whose connection is reset for the same reason.
  void UnreadBytesDoNotResetAShortAnswer() {
    DrainingServer server;
    server.client().SendBytes("\r\n");
    server.Answer(10);
    server.Poll();
    server.CheckAnswered();
  }

  /// Guards against answers that are cut because the client sends on while it reads them.
  void BytesAfterTheAnswerDoNotCutIt() {
    DrainingServer server;
    server.Answer(kLongAnswer);
    server.client().SendBytes(kRequest);
    server.Poll();
    server.CheckAnswered();
  }

  /// Guards against the same with an answer that is written as its client reads.
  void BytesAfterAnAnswerWrittenInPiecesDoNotCutIt() {
    DrainingServer server;
    server.Answer(kVeryLongAnswer);
    CPPUNIT_ASSERT(server.unwritten() > 0);
    std::string received;
    server.PollUntil("all to be written", [&] {
      if (server.unwritten() > 0) {
        received += server.client().ReadAvailable();
      }
      return server.unwritten() == 0;
    });
    server.client().SendBytes(kRequest);
    server.Poll();
    server.CheckAnswered(received);
  }

  /// Guards against answers that are cut because the process was paused when the client sent on.
  void BytesDuringAPauseDoNotCutTheAnswer() {
    DrainingServer server;
    server.Answer(kLongAnswer);
    server.Poll();
    server.client().SendBytes(kRequest);
    const net::SuspendedFor pause(kPause);
    server.Poll();
    server.CheckAnswered();
  }

  /// Guards against a stop that waits for clients which do not close their connections.
  void ConnectionEndsAlthoughItsClientKeepsIt() {
    DrainingServer server;
    server.Answer(kLongAnswer);
    server.CheckAnswered();
    const net::SuspendedFor pause(kPause);
    server.PollUntil("no connection", [&server] { return server.connections() == 0; });
  }

  /// Guards against a stop that waits for clients which send without end.
  void ConnectionEndsAlthoughItsClientSendsOn() {
    DrainingServer server;
    server.Answer(kLongAnswer);
    server.Poll();
    const net::SuspendedFor pause(kPause);
    server.PollUntil("no connection", [&server] {
      server.client().SendBytes(kRequest);
      return server.connections() == 0;
    });
  }

  /// Guards against connections that are kept until a time-out although their clients have closed
  /// them.
  void ConnectionEndsWithItsClient() {
    DrainingServer server;
    server.Answer(kLongAnswer);
    server.CheckAnswered();
    server.CloseClient();
    server.Poll();
    CPPUNIT_ASSERT_EQUAL(0U, server.connections());
  }

  /// Guards against connections that are kept although nothing can be lost.
  void ShortAnswerEndsTheConnectionAtOnce() {
    DrainingServer server;
    server.Answer(10);
    CPPUNIT_ASSERT_EQUAL(0U, server.connections());
    server.CheckAnswered();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LastAnswerTest);

}  // namespace pumicedyke::http
