// Tests that messages sent while the connection is being established arrive.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "e2e/fleet.h"
#include "e2e/raw_connection.h"
#include "net/event_loop.h"
#include "net/frame_socket.h"
#include "net/suspended_clock.h"

namespace pumicedyke::net {

class FrameClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameClientTest);
  CPPUNIT_TEST(FirstMessagesWaitForTheConnection);
  CPPUNIT_TEST(FrameThatDoesNotEndClosesItsConnection);
  CPPUNIT_TEST(CutFrameIsNoMessage);
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

  /// Guards against connections, and the bytes they hold, that are kept for ever for the rest of a
  /// frame.
  void FrameThatDoesNotEndClosesItsConnection() {
    EventLoop loop;
    FrameServer server(
        &loop, [](uint64_t, const wire::Envelope&) {}, [&loop](uint64_t) { loop.Stop(); });
    CPPUNIT_ASSERT(server.Listen("127.0.0.1:0").ok());
    e2e::RawConnection peer("127.0.0.1:" + std::to_string(server.port()));
    const std::string whole =
        EncodeFrame({"test", 0, wire::JoinRequest{1, std::string(100, 'm'), ""}});
    peer.SendBytes(whole + whole.substr(0, whole.size() / 2));
    // The time passes once the first half has been read.
    const Timestamp give_up = EventLoop::Now() + 2 * kFrameTimeout;
    std::unique_ptr<SuspendedFor> suspended;
    loop.Run([&](Timestamp now) {
      if (loop.byte_budget()->held() > 0 && suspended == nullptr) {
        suspended = std::make_unique<SuspendedFor>(kFrameTimeout);
      }
      if (now >= give_up) {
        loop.Stop();
      }
      return now + Milliseconds(10);
    });
    e2e::WaitFor("the connection to be closed", [&peer] {
      peer.ReadAvailable();
      return peer.closed();
    });
    CPPUNIT_ASSERT_EQUAL(size_t{0}, loop.byte_budget()->held());
  }

  /// Guards against a message made from what a peer sent of a frame before its connection ended.
  void CutFrameIsNoMessage() {
    const std::string whole =
        EncodeFrame({"test", 0, wire::JoinRequest{1, std::string(30, 'm'), ""}});
    EventLoop loop;
    size_t messages = 0;
    size_t closed = 0;
    FrameServer server(
        &loop, [&](uint64_t, const wire::Envelope&) { ++messages; },
        [&](uint64_t) {
          ++closed;
          loop.Stop();
        });
    CPPUNIT_ASSERT(server.Listen("127.0.0.1:0").ok());
    for (size_t cut = 1; cut <= whole.size(); ++cut) {
      e2e::RawConnection peer("127.0.0.1:" + std::to_string(server.port()));
      peer.SendBytes(whole.substr(0, cut));
      peer.StopSending();
      loop.Resume();
      loop.Run([](Timestamp now) { return now + Milliseconds(10); });
      CPPUNIT_ASSERT_EQUAL(cut, closed);
      CPPUNIT_ASSERT_EQUAL(cut < whole.size() ? size_t{0} : size_t{1}, messages);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FrameClientTest);

}  // namespace pumicedyke::net
