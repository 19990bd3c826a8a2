// Tests peers of the HTTP client and server that send without end, and what is kept for others.
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "e2e/fleet.h"
#include "e2e/raw_connection.h"
#include "e2e/raw_listener.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "http/server_thread.h"
#include "platform/endless_peers.h"

namespace pumicedyke::http {
namespace {

using platform::EndlessEnd;
using platform::SendEndlessTo;

constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

std::string RequestWithBody(size_t length, size_t sent) {
  return "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
         std::string(sent, 'x');
}

/// Fetches from a peer that answers with `bytes` again and again.
ClientResponse FetchEndless(const std::string& bytes) {
  const e2e::RawListener peer([&bytes](int connection) {
    char byte = 0;
    static_cast<void>(::recv(connection, &byte, 1, 0));
    platform::SendEndless(connection, {"", bytes});
  });
  ClientRequest request;
  request.address = peer.address();
  request.path = "/";
  request.timeout = Seconds(60);
  request.echoed_header = "X-Id";
  request.expected_echo = "this one";
  return FetchBlocking(request);
}

}  // namespace

class EndlessMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessMessagesTest);
  CPPUNIT_TEST(ResponsesThatAreNotFinalEndTheCall);
  CPPUNIT_TEST(AFewInterimResponsesArePassedOver);
  CPPUNIT_TEST(BytesAfterARequestAreNotRead);
  CPPUNIT_TEST(RequestsWhoseResponsesAreNotReadAreNotServed);
  CPPUNIT_TEST(BytesAfterARefusalAreNotRead);
  CPPUNIT_TEST(SmallRequestsAreServedBesideALargeOne);
  CPPUNIT_TEST(PipelinedRequestsAreAllServed);
  CPPUNIT_TEST(WrittenResponsesAreNotHeld);
  CPPUNIT_TEST(RequestsSentAheadAreNotRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against calls that read interim responses, or responses to other requests, until their
  /// deadline.
  void ResponsesThatAreNotFinalEndTheCall() {
    for (const char* bytes : {"HTTP/1.1 100 Continue\r\n\r\n",
                              "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n"}) {
      const ClientResponse response = FetchEndless(bytes);
      CPPUNIT_ASSERT_EQUAL(0, response.status);
      CPPUNIT_ASSERT_EQUAL(std::string("too many responses before the final one"), response.error);
    }
  }

  void AFewInterimResponsesArePassedOver() {
    const e2e::RawListener peer([](int connection) {
      char byte = 0;
      static_cast<void>(::recv(connection, &byte, 1, 0));
      std::string text;
      for (int i = 0; i < 16; ++i) {
        text += "HTTP/1.1 103 Early Hints\r\n\r\n";
      }
      text += "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
      static_cast<void>(::send(connection, text.data(), text.size(), MSG_NOSIGNAL));
    });
    ClientRequest request;
    request.address = peer.address();
    request.path = "/";
    CPPUNIT_ASSERT_EQUAL(std::string("done"), FetchBlocking(request).body);
  }

  /// Guards against memory taken by what a client sends while its request is served.
  void BytesAfterARequestAreNotRead() {
    std::vector<Responder> held;
    const ServerThread server(
        net::kDefaultHeldBytes,
        [&held](const HttpRequest&, Responder responder) { held.push_back(std::move(responder)); });
    CPPUNIT_ASSERT(SendEndlessTo(server.address(), {kRequest, "x"}) != EndlessEnd::kTaken);
  }

  /// Guards against memory taken by responses that a client never reads.
  void RequestsWhoseResponsesAreNotReadAreNotServed() {
    const ServerThread server(net::kDefaultHeldBytes, [](const HttpRequest&, Responder responder) {
      responder.Send({200, std::string(10000, 'x')});
    });
    CPPUNIT_ASSERT(SendEndlessTo(server.address(), {"", kRequest}) != EndlessEnd::kTaken);
  }

  /// Guards against processor time taken by what a client sends after its request was refused.
  void BytesAfterARefusalAreNotRead() {
    const ServerThread server(net::kDefaultHeldBytes, [](const HttpRequest&, Responder responder) {
      responder.Send({200, ""});
    });
    CPPUNIT_ASSERT(SendEndlessTo(server.address(), {"", "x"}) != EndlessEnd::kTaken);
  }

  /// Guards against one client's long request taking the room of others' short ones.
  void SmallRequestsAreServedBesideALargeOne() {
    const ServerThread server(100000, [](const HttpRequest&, Responder responder) {
      responder.Send({200, "served"});
    });
    const e2e::RawConnection large(server.address());
    large.SendBytes(RequestWithBody(90000, 80000));
    e2e::WaitFor("the large request to arrive", [&] { return server.held() > 80000; });
    const e2e::RawConnection small(server.address());
    small.SendBytes(RequestWithBody(40000, 30000));
    const std::string refusal = large.ReadToEnd();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(refusal, size_t{0}, refusal.find("HTTP/1.1 429"));
    CPPUNIT_ASSERT(refusal.find("Retry-After: 1\r\n") != std::string::npos);
    small.SendBytes(std::string(10000, 'x'));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, small.ReadUntil("served").find("HTTP/1.1 200"));
    e2e::WaitFor("nothing to be held", [&] { return server.held() == 0; });
  }

  void PipelinedRequestsAreAllServed() {
    const ServerThread server(net::kDefaultHeldBytes, [](const HttpRequest&, Responder responder) {
      responder.Send({200, std::string(100000, 'x')});
    });
    const e2e::RawConnection client(server.address());
    constexpr int kRequests = 100;
    std::string text;
    for (int i = 1; i < kRequests; ++i) {
      text += kRequest;
    }
    client.SendBytes(text + "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string answers = client.ReadToEnd();
    int served = 0;
    for (size_t at = answers.find("HTTP/1.1 200"); at != std::string::npos;
         at = answers.find("HTTP/1.1 200", at + 1)) {
      ++served;
    }
    CPPUNIT_ASSERT_EQUAL(kRequests, served);
  }

  /// Guards against idle connections that count, and are closed for it, because of a response that
  /// was once too long to be written at once.
  void WrittenResponsesAreNotHeld() {
    constexpr size_t kResponseBytes = size_t{16} << 20;
    const ServerThread server(net::kDefaultHeldBytes, [](const HttpRequest&, Responder responder) {
      responder.Send({200, std::string(kResponseBytes, 'x') + "end"});
    });
    const e2e::RawConnection client(server.address());
    client.SendBytes(kRequest);
    e2e::WaitFor("the response to wait", [&server] { return server.held() > 0; });
    CPPUNIT_ASSERT(client.ReadUntil("end").size() > kResponseBytes);
    e2e::WaitFor("nothing to be held", [&server] { return server.held() == 0; });
    // The connection is still open.
    client.SendBytes(kRequest);
    CPPUNIT_ASSERT(client.ReadUntil("end").size() > kResponseBytes);
  }

  /// Guards against a server that, for each request it answers, reads many more that wait behind
  /// it.
  void RequestsSentAheadAreNotRead() {
    constexpr size_t kMostHeldBytes = size_t{256} << 10;
    std::vector<Responder> waiting;
    std::atomic<size_t> answered{0};
    const ServerThread server(
        net::kDefaultHeldBytes,
        [&waiting](const HttpRequest&, Responder responder) {
          waiting.push_back(std::move(responder));
        },
        [&waiting, &answered] {
          for (Responder& responder : std::exchange(waiting, {})) {
            responder.Send({200, ""});
            ++answered;
          }
        });
    SendEndlessTo(server.address(), {"", kRequest});
    CPPUNIT_ASSERT(answered > 0);
    const size_t held = server.most_held();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(held) + " bytes", held <= kMostHeldBytes);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EndlessMessagesTest);

}  // namespace pumicedyke::http
