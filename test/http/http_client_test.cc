// Tests requests whose connection closes before the response: the client never resends them, and
// reports whether they may have reached the peer.
#include "http/http_client.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>

#include "net/event_loop.h"

namespace pumicedyke::http {
namespace {

/// Answers the first request of each connection, and closes the connection at the second one
/// without a response. With kNeverAnswers it closes the connection at the first request.
class DisconnectingServer {
 public:
  enum class Mode { kAnswersFirst, kNeverAnswers };

  explicit DisconnectingServer(Mode mode) : mode_(mode) {
    socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT(::bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    socklen_t size = sizeof(address);
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    CPPUNIT_ASSERT(::listen(socket_, 16) == 0);
    thread_ = std::thread([this] { Serve(); });
  }
  ~DisconnectingServer() {
    ::shutdown(socket_, SHUT_RDWR);
    thread_.join();
    ::close(socket_);
  }

  const std::string& address() const { return address_; }
  /// Requests that reached the server and might have run.
  int received() const { return received_; }

 private:
  void Serve() {
    for (int client = ::accept(socket_, nullptr, nullptr); client >= 0;
         client = ::accept(socket_, nullptr, nullptr)) {
      ServeConnection(client);
      ::close(client);
    }
  }

  void ServeConnection(int client) {
    if (!ReadRequest(client) || mode_ == Mode::kNeverAnswers) {
      return;
    }
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    (void)!::write(client, reply.data(), reply.size());
    ReadRequest(client);
  }

  /// @return whether a complete request with the body "job" was received.
  bool ReadRequest(int client) {
    std::string text;
    char buffer[4096];
    while (!text.ends_with("\r\n\r\njob")) {
      const ssize_t got = ::read(client, buffer, sizeof(buffer));
      if (got <= 0) {
        return false;
      }
      text.append(buffer, static_cast<size_t>(got));
    }
    ++received_;
    return true;
  }

  Mode mode_;
  int socket_ = -1;
  std::string address_;
  std::atomic<int> received_{0};
  std::thread thread_;
};

/// Makes `count` consecutive exchanges with one client.
std::vector<ClientResponse> Exchange(const std::string& address, int count, bool unrepeatable) {
  net::EventLoop loop;
  HttpClient client(&loop, {.max_connections_per_host = 4});
  std::vector<ClientResponse> responses;
  std::function<void()> next = [&] {
    ClientRequest request;
    request.address = address;
    request.path = "/";
    request.body = "job";
    request.unrepeatable = unrepeatable;
    client.Start(request, [&](const ClientResponse& response) {
      responses.push_back(response);
      if (responses.size() == static_cast<size_t>(count)) {
        loop.Stop();
      } else {
        loop.Post(next);
      }
    });
  };
  loop.Post(next);
  loop.Run([](Timestamp now) { return now + Milliseconds(50); });
  return responses;
}

}  // namespace

class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(RequestOnAReusedConnectionIsNeverResent);
  CPPUNIT_TEST(UnrepeatableRequestIsSentOnce);
  CPPUNIT_TEST(ClosedConnectionDoesNotCountAsNotSent);
  CPPUNIT_TEST(RefusedConnectionIsNotSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Two calls reach the server as two requests. The second one is lost with its connection and is
  /// reported as such.
  void RequestOnAReusedConnectionIsNeverResent() {
    DisconnectingServer server(DisconnectingServer::Mode::kAnswersFirst);
    const auto responses = Exchange(server.address(), 2, /*unrepeatable=*/false);
    CPPUNIT_ASSERT(responses[0].ok());
    CPPUNIT_ASSERT(!responses[1].ok());
    CPPUNIT_ASSERT(!responses[1].not_sent);
    CPPUNIT_ASSERT(responses[1].connection_lost);
    CPPUNIT_ASSERT_EQUAL(2, server.received());
  }

  void UnrepeatableRequestIsSentOnce() {
    DisconnectingServer server(DisconnectingServer::Mode::kAnswersFirst);
    const auto responses = Exchange(server.address(), 5, /*unrepeatable=*/true);
    CPPUNIT_ASSERT_EQUAL(size_t{5}, responses.size());
    CPPUNIT_ASSERT_EQUAL(5, server.received());
  }

  void ClosedConnectionDoesNotCountAsNotSent() {
    DisconnectingServer server(DisconnectingServer::Mode::kNeverAnswers);
    const auto responses = Exchange(server.address(), 1, /*unrepeatable=*/true);
    CPPUNIT_ASSERT(!responses[0].ok());
    CPPUNIT_ASSERT(!responses[0].not_sent);
    CPPUNIT_ASSERT_EQUAL(1, server.received());
  }

  void RefusedConnectionIsNotSent() {
    std::string address;
    {
      const DisconnectingServer closed_server(DisconnectingServer::Mode::kNeverAnswers);
      address = closed_server.address();
    }
    const auto responses = Exchange(address, 1, /*unrepeatable=*/true);
    CPPUNIT_ASSERT(!responses[0].ok());
    CPPUNIT_ASSERT(responses[0].not_sent);
    CPPUNIT_ASSERT(!responses[0].connection_lost);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

}  // namespace pumicedyke::http
