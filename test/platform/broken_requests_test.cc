// Tests on real processes of requests whose head is broken or says that the body is coded: none
// reaches a leaf as something that its client did not send.
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

#include "absl/strings/str_cat.h"
#include "e2e/raw_connection.h"
#include "platform/platform_fleet.h"
#include "platform/shard_document.h"

namespace pumicedyke::platform {
namespace {

constexpr int kServed = 200;

/// Values of Transfer-Encoding of which at least one item is not decoded here.
constexpr std::array<const char*, 9> kOtherCodings = {
    "gzip", "gzip, chunked", "chunked, gzip", "odd", "identity", "chunked;q=1", "chunked odd", "",
    ","};

constexpr char kSmuggled[] =
    "GET /safe/smuggled HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: s\r\nX-Deadline-Ms: "
    "2000\r\n\r\n";

/// The bytes of a body in one chunk.
std::string InOneChunk(const std::string& body) {
  return absl::StrCat(absl::Hex(body.size()), "\r\n", body, "\r\n0\r\n\r\n");
}

/// A request's head without its end.
std::string HeadOf(const std::string& method, const std::string& path) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: one\r\nX-Deadline-Ms: 2000\r\n";
}

/// Sends bytes on a new connection. @return the head of the first response.
std::string SendBytesTo(const std::string& address, const std::string& bytes) {
  const e2e::RawConnection connection(address);
  connection.SendBytes(bytes);
  return connection.ReadUntil("\r\n\r\n");
}

bool IsRefused(const std::string& response) { return response.starts_with("HTTP/1.1 400 "); }

/// A gateway with a leaf, and control machines.
class RequestFleet {
 public:
  RequestFleet() {
    CPPUNIT_ASSERT_EQUAL(kServed, fleet_.Put(ShardDocument({})));
    fleet_.SendHeartbeats({&leaf_});
    fleet_.WaitUntilServed("/safe/1");
  }

  std::string Send(const std::string& bytes) const {
    return SendBytesTo(fleet_.gateway_address(), bytes);
  }
  std::string SendToControl(const std::string& bytes) const {
    return SendBytesTo(fleet_.ServiceAddress(0), bytes);
  }
  int runs() const { return leaf_.runs(); }
  http::Headers last_headers() const { return leaf_.last_headers(); }

 private:
  PlatformFleet fleet_;
  FakeLeaf leaf_{"leaf-a", kPlainService};
};

}  // namespace

class BrokenRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrokenRequestsTest);
  CPPUNIT_TEST(RequestsInOtherCodingsReachNoLeaf);
  CPPUNIT_TEST(OrdersInOtherCodingsAreRefused);
  CPPUNIT_TEST(BrokenLinesReachNoLeaf);
  CPPUNIT_TEST(FoldedLinesReachLeafsAsOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against leafs that run a request with a body still coded or with none, and against a
  /// body that is taken for a further request.
  void RequestsInOtherCodingsReachNoLeaf() {
    const RequestFleet fleet;
    const int runs = fleet.runs();
    for (const std::string coding : kOtherCodings) {
      const std::string body = coding.ends_with(", chunked") ? InOneChunk(kSmuggled) : kSmuggled;
      const std::string response = fleet.Send(absl::StrCat(
          HeadOf("POST", "/once/coded"), "Transfer-Encoding: ", coding, "\r\n\r\n", body));
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(coding, ": ", response), IsRefused(response));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(coding, runs, fleet.runs());
    }
  }

  /// Guards against orders that are in force although their body may be another one.
  void OrdersInOtherCodingsAreRefused() {
    const RequestFleet fleet;
    for (const std::string coding : kOtherCodings) {
      const std::string document = ShardDocument({.timeout = Seconds(1)});
      const std::string body = coding.ends_with(", chunked") ? InOneChunk(document) : document;
      const std::string response = fleet.SendToControl(absl::StrCat(
          HeadOf("POST", "/v1/config/put"), "Transfer-Encoding: ", coding, "\r\n\r\n", body));
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(coding, ": ", response), IsRefused(response));
    }
  }

  void BrokenLinesReachNoLeaf() {
    const RequestFleet fleet;
    const int runs = fleet.runs();
    const std::string lines[] = {
        "X Odd: 1",
        "X-Odd : 1",
        "X-Odd\t: 1",
        ": 1",
        "X-Odd",
        "X-\x01Odd: 1",
        "X-Odd\x7f: 1",
        "X-\xc3\xa9: 1",
        "X-(Odd): 1",
        "X-Odd: \x01",
        "X-Odd: \x7f",
        "X-Odd: a\rb",
        "X-Odd: a\nX-B: 2",
        std::string("X-\0Odd: 1", 9),
        std::string("X-Odd: a\0b", 10),
    };
    for (const std::string& line : lines) {
      for (const std::string method : {"GET", "HEAD", "POST"}) {
        const std::string path = method == "POST" ? "/once/broken" : "/safe/broken";
        const std::string response =
            fleet.Send(absl::StrCat(HeadOf(method, path), line, "\r\n\r\n"));
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(line, ": ", response), IsRefused(response));
      }
    }
    CPPUNIT_ASSERT_EQUAL(runs, fleet.runs());
  }

  /// Guards against a folded line that is passed on as such, or as a line of its own.
  void FoldedLinesReachLeafsAsOne() {
    const RequestFleet fleet;
    const std::string response =
        fleet.Send(HeadOf("GET", "/safe/folded") + "X-Odd: 1\r\n X-Tenant: other\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 200 "));
    const http::Headers headers = fleet.last_headers();
    CPPUNIT_ASSERT(http::FindHeader(headers, "X-Odd") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("1 X-Tenant: other"), *http::FindHeader(headers, "X-Odd"));
    CPPUNIT_ASSERT(http::FindHeader(headers, "X-Tenant") == nullptr);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BrokenRequestsTest);

}  // namespace pumicedyke::platform
