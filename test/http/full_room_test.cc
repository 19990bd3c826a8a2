// Tests an HTTP server that has no room for all the bodies its clients send at once.
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "e2e/fleet.h"
#include "e2e/raw_connection.h"
#include "http/http_server.h"
#include "http/server_thread.h"

namespace pumicedyke::http {
namespace {

constexpr size_t kHeldBytes = size_t{1} << 20;
constexpr size_t kBodyBytes = 200000;
/// More than there is room for.
constexpr int kClients = 10;
/// As many as there is room for.
constexpr int kFirstClients = 3;
constexpr size_t kMostServedBytes = kFirstClients * (kBodyBytes + 1000);

std::string HeadOfBody(size_t length) {
  return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string RequestOf(size_t length) { return HeadOfBody(length) + std::string(length, 'x'); }

/// A server that answers no request before it is told to.
class HoldingServer {
 public:
  HoldingServer()
      : server_(
            kHeldBytes,
            [this](const HttpRequest& request, Responder responder) {
              body_bytes_ += request.body.size();
              held_.push_back(std::move(responder));
              ++served_;
            },
            [this] {
              if (answers_) {
                for (Responder& responder : std::exchange(held_, {})) {
                  responder.Send({200, "served"});
                }
              }
            },
            {.deadline_header = "X-Wait"}) {}

  std::string address() const { return server_.address(); }
  void AnswerAll() { answers_ = true; }
  /// Number of requests that have been read whole.
  int served() const { return served_; }
  size_t body_bytes() const { return body_bytes_; }
  size_t held() const { return server_.held(); }
  size_t most_held() const { return server_.most_held(); }

 private:
  std::vector<Responder> held_;
  std::atomic<bool> answers_{false};
  std::atomic<int> served_{0};
  std::atomic<size_t> body_bytes_{0};
  /// Last, because its thread uses the other members.
  ServerThread server_;
};

std::vector<std::unique_ptr<e2e::RawConnection>> Connect(const std::string& address, int count) {
  std::vector<std::unique_ptr<e2e::RawConnection>> clients;
  clients.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    clients.push_back(std::make_unique<e2e::RawConnection>(address));
  }
  return clients;
}

bool IsServed(const std::string& answer) { return answer.find("HTTP/1.1 200") == 0; }

}  // namespace

class FullRoomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FullRoomTest);
  CPPUNIT_TEST(RequestsThatAreServedAreNotCut);
  CPPUNIT_TEST(ChunkedBodiesWaitForRoomToo);
  CPPUNIT_TEST(SmallRequestsDoNotWaitForLargeOnes);
  CPPUNIT_TEST(TrickledBodiesTakeNoRoom);
  CPPUNIT_TEST(StalledBodiesGiveTheirRoomBack);
  CPPUNIT_TEST(RequestThatNeverFitsIsRefusedAtOnce);
  CPPUNIT_TEST(RequestWaitsNoLongerThanItsClient);
  CPPUNIT_TEST(ClientThatLeavesWhileWaitingIsPassedOver);
  CPPUNIT_TEST(RequestIsServedAlthoughTooMuchWasSentAhead);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against connections that are closed without an answer while their request is served,
  /// to make room for others'.
  void RequestsThatAreServedAreNotCut() {
    HoldingServer server;
    const auto clients = Connect(server.address(), kClients);
    std::vector<std::thread> senders;
    const auto send = [&clients, &senders](int client) {
      senders.emplace_back([&clients, client] {
        clients[static_cast<size_t>(client)]->SendBytes(RequestOf(kBodyBytes));
      });
    };
    for (int i = 0; i < kFirstClients; ++i) {
      send(i);
    }
    e2e::WaitFor("the first to be served", [&] { return server.served() == kFirstClients; });
    for (int i = kFirstClients; i < kClients; ++i) {
      send(i);
    }
    e2e::WaitFor("the others to send", [&] { return server.most_held() > kMostServedBytes; });
    server.AnswerAll();
    for (std::thread& sender : senders) {
      sender.join();
    }
    for (const auto& client : clients) {
      const std::string answer = client->ReadUntil("served");
      CPPUNIT_ASSERT_MESSAGE("'" + answer + "'", IsServed(answer));
    }
    CPPUNIT_ASSERT_EQUAL(kBodyBytes * kClients, server.body_bytes());
    CPPUNIT_ASSERT(server.most_held() <= kHeldBytes);
    e2e::WaitFor("nothing to be held", [&server] { return server.held() == 0; });
  }

  void ChunkedBodiesWaitForRoomToo() {
    HoldingServer server;
    server.AnswerAll();
    const auto clients = Connect(server.address(), kClients);
    std::vector<std::thread> senders;
    senders.reserve(clients.size());
    for (const auto& client : clients) {
      senders.emplace_back([&client] {
        const std::string chunk = "2710\r\n" + std::string(10000, 'x') + "\r\n";
        std::string body;
        for (size_t sent = 0; sent < kBodyBytes; sent += 10000) {
          body += chunk;
        }
        client->SendBytes("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
                          body + "0\r\n\r\n");
      });
    }
    for (std::thread& sender : senders) {
      sender.join();
    }
    for (const auto& client : clients) {
      const std::string answer = client->ReadUntil("served");
      CPPUNIT_ASSERT_MESSAGE("'" + answer + "'", IsServed(answer));
    }
    CPPUNIT_ASSERT_EQUAL(kBodyBytes * kClients, server.body_bytes());
  }

  void SmallRequestsDoNotWaitForLargeOnes() {
    HoldingServer server;
    const auto large = FillRoom(&server);
    const e2e::RawConnection waiting(server.address());
    waiting.SendBytes(HeadOfBody(kBodyBytes) + std::string(kBodyBytes / 2, 'x'));
    const e2e::RawConnection small(server.address());
    small.SendBytes(RequestOf(1000));
    const e2e::RawConnection bodiless(server.address());
    bodiless.SendBytes("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    e2e::WaitFor("the small requests to be served",
                 [&server] { return server.served() == kFirstClients + 2; });
    server.AnswerAll();
    CPPUNIT_ASSERT(IsServed(small.ReadUntil("served")));
    CPPUNIT_ASSERT(IsServed(bodiless.ReadUntil("served")));
    waiting.SendBytes(std::string(kBodyBytes - kBodyBytes / 2, 'x'));
    CPPUNIT_ASSERT(IsServed(waiting.ReadUntil("served")));
  }

  /// Guards against clients that send a byte now and then and keep others out.
  void TrickledBodiesTakeNoRoom() {
    HoldingServer server;
    server.AnswerAll();
    constexpr int kTricklers = 40;
    const auto tricklers = Connect(server.address(), kTricklers);
    for (const auto& trickler : tricklers) {
      trickler->SendBytes(HeadOfBody(kBodyBytes) + "x");
    }
    e2e::WaitFor("the tricklers' heads", [&server] { return server.held() >= kTricklers * 50; });
    const e2e::RawConnection client(server.address());
    client.SendBytes(RequestOf(kBodyBytes));
    CPPUNIT_ASSERT(IsServed(client.ReadUntil("served")));
    for (const auto& trickler : tricklers) {
      trickler->SendBytes("x");
      CPPUNIT_ASSERT_EQUAL(std::string(), trickler->ReadAvailable());
      CPPUNIT_ASSERT(!trickler->closed());
    }
  }

  /// Guards against clients that send the beginning of a body, and keep others out by not sending
  /// the rest.
  void StalledBodiesGiveTheirRoomBack() {
    HoldingServer server;
    server.AnswerAll();
    const auto stalled = Connect(server.address(), kFirstClients);
    for (const auto& client : stalled) {
      client->SendBytes(HeadOfBody(kBodyBytes) + std::string(5000, 'x'));
    }
    e2e::WaitFor("the stalled bodies to have room",
                 [&server] { return server.held() >= kFirstClients * kBodyBytes; });
    const e2e::RawConnection client(server.address());
    client.SendBytes(RequestOf(kBodyBytes));
    CPPUNIT_ASSERT(IsServed(client.ReadUntil("served")));
    // Only as much was taken back as was needed.
    int refused = 0;
    for (const auto& other : stalled) {
      const std::string answer = other->ReadAvailable();
      const bool refuses = answer.find("HTTP/1.1 429") == 0;
      CPPUNIT_ASSERT_MESSAGE(answer, answer.empty() || refuses);
      CPPUNIT_ASSERT(!refuses || answer.find("Retry-After: ") != std::string::npos);
      refused += refuses ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, refused);
    CPPUNIT_ASSERT_EQUAL(1, server.served());
  }

  void RequestThatNeverFitsIsRefusedAtOnce() {
    HoldingServer server;
    const e2e::RawConnection client(server.address());
    client.SendBytes(HeadOfBody(kHeldBytes) + std::string(5000, 'x'));
    const std::string answer = client.ReadToEnd();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, size_t{0}, answer.find("HTTP/1.1 429"));
    CPPUNIT_ASSERT(answer.find("Retry-After: ") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(0, server.served());
  }

  void RequestWaitsNoLongerThanItsClient() {
    HoldingServer server;
    const auto large = FillRoom(&server);
    const e2e::RawConnection client(server.address());
    client.SendBytes("POST / HTTP/1.1\r\nX-Wait: 100\r\nContent-Length: " +
                     std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(5000, 'x'));
    const std::string answer = client.ReadToEnd();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, size_t{0}, answer.find("HTTP/1.1 429"));
    server.AnswerAll();
    for (const auto& other : large) {
      CPPUNIT_ASSERT(IsServed(other->ReadUntil("served")));
    }
    CPPUNIT_ASSERT_EQUAL(kFirstClients, server.served());
  }

  void ClientThatLeavesWhileWaitingIsPassedOver() {
    HoldingServer server;
    const auto large = FillRoom(&server);
    const size_t held = server.held();
    auto leaving = std::make_unique<e2e::RawConnection>(server.address());
    leaving->SendBytes(HeadOfBody(kBodyBytes) + std::string(5000, 'x'));
    e2e::WaitFor("the client to wait", [&] { return server.held() >= held + 5000; });
    leaving.reset();
    const e2e::RawConnection client(server.address());
    std::thread sender([&client] { client.SendBytes(RequestOf(kBodyBytes)); });
    server.AnswerAll();
    sender.join();
    CPPUNIT_ASSERT(IsServed(client.ReadUntil("served")));
    e2e::WaitFor("nothing to be held", [&server] { return server.held() == 0; });
    CPPUNIT_ASSERT_EQUAL(kFirstClients + 1, server.served());
  }

  /// Guards against requests that are cut because of what their client has sent after them.
  void RequestIsServedAlthoughTooMuchWasSentAhead() {
    HoldingServer server;
    constexpr int kPipelining = 40;
    const auto clients = Connect(server.address(), kPipelining);
    for (const auto& client : clients) {
      client->SendBytes(RequestOf(10) + std::string(60000, 'x'));
    }
    e2e::WaitFor("all to be served", [&server] { return server.served() == kPipelining; });
    server.AnswerAll();
    for (const auto& client : clients) {
      const std::string answer = client->ReadUntil("served");
      CPPUNIT_ASSERT_MESSAGE("'" + answer + "'", IsServed(answer));
    }
  }

 private:
  using Clients = std::vector<std::unique_ptr<e2e::RawConnection>>;

  /// Makes the server hold as many long requests as there is room for.
  static Clients FillRoom(HoldingServer* server) {
    Clients clients = Connect(server->address(), kFirstClients);
    for (const auto& client : clients) {
      client->SendBytes(RequestOf(kBodyBytes));
    }
    e2e::WaitFor("the room to be full", [server] { return server->served() == kFirstClients; });
    return clients;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FullRoomTest);

}  // namespace pumicedyke::http
