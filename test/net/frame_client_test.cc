// Tests that messages sent while the connection is being established arrive.
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "net/event_loop.h"
#include "net/frame_socket.h"

namespace pumicedyke::net {

class FrameClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameClientTest);
  CPPUNIT_TEST(FirstMessagesWaitForTheConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A vote request is sent only once, so it must arrive even as the first message of a connection.
  void FirstMessagesWaitForTheConnection() {
    EventLoop loop;
    std::vector<std::string> received;
    FrameServer server(
        &loop,
        [&](uint64_t, const wire::Envelope& envelope) {
          received.push_back(std::get<wire::JoinRequest>(envelope.body).machine);
          if (received.size() == 2) {
            loop.Stop();
          }
        },
        [](uint64_t) {});
    CPPUNIT_ASSERT(server.Listen("127.0.0.1:0").ok());
    FrameClient client(
        &loop, "127.0.0.1:" + std::to_string(server.port()), [](const wire::Envelope&) {}, [] {});
    client.Send({"test", 0, wire::JoinRequest{1, "first", ""}});
    client.Send({"test", 0, wire::JoinRequest{2, "second", ""}});
    const Timestamp deadline = EventLoop::Now() + Seconds(20);
    loop.Run([&](Timestamp now) {
      if (now >= deadline) {
        loop.Stop();
      }
      return now + Milliseconds(10);
    });
    const std::vector<std::string> expected = {"first", "second"};
    CPPUNIT_ASSERT(expected == received);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FrameClientTest);

}  // namespace pumicedyke::net
