// Tests what becomes of a request whose client closes its sending side and reads on.
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <string>
#include <utility>
#include <vector>

#include "e2e/fleet.h"
#include "e2e/raw_connection.h"
#include "http/http_server.h"
#include "http/server_thread.h"

namespace pumicedyke::http {

class HalfClosedClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HalfClosedClientTest);
  CPPUNIT_TEST(EndOfTheStreamCountsAsLeaving);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against work that goes on for clients that have left: their close looks like this one
  /// until something is written.
  void EndOfTheStreamCountsAsLeaving() {
    std::atomic<int> left{0};
    std::vector<Responder> held;
    const ServerThread server(net::kDefaultHeldBytes,
                              [&](const HttpRequest& /*request*/, Responder responder) {
                                responder.WatchClient([&left] { ++left; });
                                held.push_back(std::move(responder));
                              });
    const e2e::RawConnection client(server.address());
    client.SendBytes("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    client.StopSending();
    CPPUNIT_ASSERT_EQUAL(std::string(), client.ReadToEnd());
    e2e::WaitFor("the request to be cancelled", [&left] { return left == 1; });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HalfClosedClientTest);

}  // namespace pumicedyke::http
