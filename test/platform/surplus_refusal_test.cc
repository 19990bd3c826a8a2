// Tests on real processes: requests that may run once, and leafs whose refusals arrive a second
// time, late.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "common/json.h"
#include "platform/doubling_leaf.h"
#include "platform/platform_fleet.h"

namespace pumicedyke::platform {
namespace {

constexpr int kRequests = 30;
constexpr int kServed = 200;
constexpr int kNotRun = 503;

std::string Document() {
  return Json{{"version", 1},
              {"routes",
               {{{"name", "reserve"},
                 {"host", "desk.example"},
                 {"path_prefix", "/reserve/"},
                 {"type", "mutating"},
                 {"timeout_ms", 2000},
                 {"slo_ms", 500},
                 {"priority", 1},
                 {"backend", "s0"},
                 {"max_attempts", 4}}}},
              {"backends", {{{"name", "s0"}, {"health_path", "/healthz"}, {"max_conns", 26}}}},
              {"limits",
               {{"max_header_bytes", 4096},
                {"max_body_bytes", 1000},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

/// Sends a request that may run once, with an id of its own.
http::ClientResponse Reserve(const PlatformFleet& fleet, const std::string& id) {
  http::ClientRequest request;
  request.address = fleet.gateway_address();
  request.path = "/reserve/" + id;
  request.method = "POST";
  request.body = "one stack";
  request.headers = {{"Host", "desk.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "2000"}};
  return http::FetchBlocking(request);
}

}  // namespace

class SurplusRefusalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SurplusRefusalTest);
  CPPUNIT_TEST(LateCopyOfARefusalDoesNotAnswerTheNextTry);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against requests that run twice, or are answered as not run though they ran, because
  /// the second copy of a leaf's refusal is taken for its answer to the next try.
  void LateCopyOfARefusalDoesNotAnswerTheNextTry() {
    PlatformFleet fleet;
    RunCounts runs;
    DoublingLeaf one("leaf-a", "s0", &runs);
    DoublingLeaf two("leaf-b", "s0", &runs);
    fleet.Put(Document());
    for (DoublingLeaf* leaf : {&one, &two}) {
      e2e::WaitFor("a heartbeat to be acknowledged",
                   [&] { return leaf->SendHeartbeat(fleet.ServiceAddress(0)) == kServed; });
    }
    fleet.WaitUntilServed("/reserve/warm-up");
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = "once-" + std::to_string(i);
      const http::ClientResponse answer = Reserve(fleet, id);
      CPPUNIT_ASSERT_MESSAGE(id, runs.Of(id) <= 1);
      CPPUNIT_ASSERT_MESSAGE(id, answer.status == kServed || answer.status == kNotRun);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(id, answer.status == kServed ? 1 : 0, runs.Of(id));
    }
    CPPUNIT_ASSERT(one.copies() + two.copies() > 0);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SurplusRefusalTest);

}  // namespace pumicedyke::platform
