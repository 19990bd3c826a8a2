// Tests peers that reset the connection within a response while the request is still being written.
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "e2e/raw_listener.h"
#include "http/http_client.h"

namespace pumicedyke::http {
namespace {

/// More than the operating system takes of a request that the peer does not read.
constexpr size_t kLongBodyBytes = 24 << 20;
constexpr int kRequests = 5;

/// Reads a request's head and answers with a response that has no length. @param body that is sent.
void Answer(int connection, const std::string& body) {
  std::string text;
  char byte = 0;
  while (!text.ends_with("\r\n\r\n") && ::read(connection, &byte, 1) == 1) {
    text += byte;
  }
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\n" + body;
  (void)!::write(connection, answer.data(), answer.size());
}

/// Makes the close of the connection a reset.
void Reset(int connection) {
  const linger reset{1, 0};
  ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

/// Returns the response to a request that the peer does not read whole.
ClientResponse SendLongRequest(const std::string& address) {
  ClientRequest request;
  request.address = address;
  request.method = "POST";
  request.path = "/";
  request.body.assign(kLongBodyBytes, 'x');
  return FetchBlocking(request);
}

}  // namespace

class ResetAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResetAnswersTest);
  CPPUNIT_TEST(ResetWhileTheRequestIsWrittenLeavesTheResponseIncomplete);
  CPPUNIT_TEST(OrderlyEndBeforeAResetCompletesTheResponse);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a short body taken for a whole one because the write of the request, not the
  /// read of the response, was told of the reset.
  void ResetWhileTheRequestIsWrittenLeavesTheResponseIncomplete() {
    const e2e::RawListener peer([](int connection) {
      Answer(connection, "part of a bo");
      Reset(connection);
    });
    for (int i = 0; i < kRequests; ++i) {
      const ClientResponse response = SendLongRequest(peer.address());
      CPPUNIT_ASSERT_MESSAGE(response.body, !response.ok());
      CPPUNIT_ASSERT(!response.not_sent);
    }
  }

  /// Guards against the opposite: a whole response dropped because the peer, which has ended it in
  /// an orderly way, does not read the rest of the request.
  void OrderlyEndBeforeAResetCompletesTheResponse() {
    const e2e::RawListener peer([](int connection) {
      Answer(connection, "the whole body");
      ::shutdown(connection, SHUT_WR);
      Reset(connection);
    });
    for (int i = 0; i < kRequests; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("the whole body"), SendLongRequest(peer.address()).body);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ResetAnswersTest);

}  // namespace pumicedyke::http
