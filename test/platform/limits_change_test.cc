// Tests on real processes: the limits on clients' requests change while clients keep connections.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "common/json.h"
#include "e2e/raw_connection.h"
#include "platform/platform_fleet.h"

namespace pumicedyke::platform {
namespace {

constexpr int kServed = 200;
constexpr size_t kLow = 1000;
constexpr size_t kHigh = 100000;
/// More than the low limit, and less than the high one.
constexpr size_t kBetween = 50000;

std::string Document(uint64_t version, size_t max_body_bytes) {
  return Json{{"version", version},
              {"routes",
               {{{"name", "one"},
                 {"host", "desk.example"},
                 {"path_prefix", "/one/"},
                 {"type", "idempotent"},
                 {"timeout_ms", 2000},
                 {"slo_ms", 500},
                 {"priority", 1},
                 {"backend", "s0"},
                 {"max_attempts", 2}}}},
              {"backends", {{{"name", "s0"}, {"health_path", "/healthz"}, {"max_conns", 26}}}},
              {"limits",
               {{"max_header_bytes", 4096},
                {"max_body_bytes", max_body_bytes},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 60000}}}}
      .dump();
}

/// @return the first line of the answer.
std::string Send(const e2e::RawConnection& client, const std::string& id, size_t body_bytes) {
  client.SendBytes("POST /one/" + id + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
                   "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
                   std::string(body_bytes, 'b'));
  const std::string answer = client.ReadUntil("..........");
  return answer.substr(0, answer.find('\r'));
}

}  // namespace

class LimitsChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitsChangeTest);
  CPPUNIT_TEST(KeptConnectionsFollowTheLimits);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against bodies that the configuration allows and that are refused with 413 on
  /// connections from before it, and against the reverse.
  void KeptConnectionsFollowTheLimits() {
    PlatformFleet fleet;
    FakeLeaf leaf("leaf-a", "s0");
    CPPUNIT_ASSERT_EQUAL(kServed, fleet.Put(Document(1, kLow)));
    fleet.SendHeartbeats({&leaf});
    fleet.WaitUntilServed("/one/first");
    const e2e::RawConnection client(fleet.gateway_address());
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 OK"), Send(client, "small", 10));
    CPPUNIT_ASSERT_EQUAL(kServed, fleet.Put(Document(2, kHigh)));
    fleet.WaitForVersion(2);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 OK"), Send(client, "raised", kBetween));
    CPPUNIT_ASSERT_EQUAL(kServed, fleet.Put(Document(3, kLow)));
    fleet.WaitForVersion(3);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413 Payload Too Large"),
                         Send(client, "lowered", kBetween));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LimitsChangeTest);

}  // namespace pumicedyke::platform
