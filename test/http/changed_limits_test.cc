// Tests an HTTP server whose limits change while clients keep their connections.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "e2e/fleet.h"
#include "e2e/raw_connection.h"
#include "http/http_server.h"
#include "http/server_thread.h"

namespace pumicedyke::http {
namespace {

constexpr size_t kLow = 2000;
constexpr size_t kHigh = 20000;
/// More than the low limit, and less than the high one.
constexpr size_t kBetween = 10000;

HttpServerOptions Limits(size_t header_bytes, size_t body_bytes) {
  return {.max_body_bytes = body_bytes, .max_header_bytes = header_bytes};
}

std::string HeadOf(size_t body_bytes, size_t header_bytes) {
  return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body_bytes) +
         "\r\nX-Padding: " + std::string(header_bytes, 'h') + "\r\n\r\n";
}

std::string RequestOf(size_t body_bytes, size_t header_bytes = 10) {
  return HeadOf(body_bytes, header_bytes) + std::string(body_bytes, 'b');
}

void Serve(const HttpRequest& /*request*/, Responder responder) { responder.Send({200, "served"}); }

/// @return the status line's number in the answer to the request.
std::string StatusOf(const e2e::RawConnection& client, const std::string& request) {
  client.SendBytes(request);
  const std::string answer = client.ReadUntil("served");
  constexpr size_t kStatusAt = 9;
  constexpr size_t kStatusDigits = 3;
  return answer.size() > kStatusAt ? answer.substr(kStatusAt, kStatusDigits) : "none";
}

}  // namespace

class ChangedLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangedLimitsTest);
  CPPUNIT_TEST(RaisedLimitsHoldOnKeptConnections);
  CPPUNIT_TEST(LoweredLimitsHoldOnKeptConnections);
  CPPUNIT_TEST(BodyUnderWayIsTakenThoughTheLimitFalls);
  CPPUNIT_TEST(RequestUnderWayKeepsItsTimeThoughTheLimitFalls);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against allowed requests that are refused with 413 or 431 because their connection is
  /// older than the limits.
  void RaisedLimitsHoldOnKeptConnections() {
    ServerThread server(
        net::kDefaultHeldBytes, Serve, [] {}, Limits(kLow, kLow));
    const e2e::RawConnection bodies(server.address());
    const e2e::RawConnection headers(server.address());
    CPPUNIT_ASSERT_EQUAL(std::string("200"), StatusOf(bodies, RequestOf(10)));
    CPPUNIT_ASSERT_EQUAL(std::string("200"), StatusOf(headers, RequestOf(10)));
    server.SetOptions(Limits(kHigh, kHigh));
    CPPUNIT_ASSERT_EQUAL(std::string("200"), StatusOf(bodies, RequestOf(kBetween)));
    CPPUNIT_ASSERT_EQUAL(std::string("200"), StatusOf(headers, RequestOf(10, kBetween)));
  }

  void LoweredLimitsHoldOnKeptConnections() {
    ServerThread server(
        net::kDefaultHeldBytes, Serve, [] {}, Limits(kHigh, kHigh));
    const e2e::RawConnection bodies(server.address());
    const e2e::RawConnection headers(server.address());
    CPPUNIT_ASSERT_EQUAL(std::string("200"), StatusOf(bodies, RequestOf(kBetween)));
    CPPUNIT_ASSERT_EQUAL(std::string("200"), StatusOf(headers, RequestOf(10, kBetween)));
    server.SetOptions(Limits(kLow, kLow));
    CPPUNIT_ASSERT_EQUAL(std::string("413"), StatusOf(bodies, RequestOf(kBetween)));
    CPPUNIT_ASSERT_EQUAL(std::string("431"), StatusOf(headers, RequestOf(10, kBetween)));
  }

  void BodyUnderWayIsTakenThoughTheLimitFalls() {
    ServerThread server(
        net::kDefaultHeldBytes, Serve, [] {}, Limits(kHigh, kHigh));
    for (const bool chunked : {false, true}) {
      server.SetOptions(Limits(kHigh, kHigh));
      const e2e::RawConnection client(server.address());
      client.SendBytes(chunked ? "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n"
                               : HeadOf(kBetween, 10) + "b");
      e2e::WaitFor("the body to begin", [&server] { return server.held() > 0; });
      server.SetOptions(Limits(kLow, kLow));
      const std::string rest(kBetween - 1, 'b');
      const std::string chunk = "270f\r\n" + rest + "\r\n0\r\n\r\n";
      CPPUNIT_ASSERT_EQUAL(std::string("200"), StatusOf(client, chunked ? chunk : rest));
      CPPUNIT_ASSERT_EQUAL(std::string("413"), StatusOf(client, RequestOf(kBetween)));
    }
  }

  /// Guards against requests that are refused with 408 while they arrive, by a limit that came
  /// after their head.
  void RequestUnderWayKeepsItsTimeThoughTheLimitFalls() {
    ServerThread server(net::kDefaultHeldBytes, Serve, [] {}, {.request_timeout = Seconds(60)});
    const e2e::RawConnection before(server.address());
    before.SendBytes(HeadOf(10, 10) + "b");
    e2e::WaitFor("the body to begin", [&server] { return server.held() > 0; });
    server.SetOptions({.request_timeout = Milliseconds(100)});
    // A request that begins now is refused; the one before it has been looked at as often by then.
    const e2e::RawConnection after(server.address());
    CPPUNIT_ASSERT_EQUAL(std::string("408"), StatusOf(after, HeadOf(10, 10) + "b"));
    CPPUNIT_ASSERT_EQUAL(std::string("200"), StatusOf(before, std::string(9, 'b')));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChangedLimitsTest);

}  // namespace pumicedyke::http
