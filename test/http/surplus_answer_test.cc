// Tests peers that answer a request a second time in place of the next response, that send surplus
// bytes after a response, that reset the connection within a response, or that end a response by
// closing the connection.
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <atomic>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "http/scripted_peer.h"

namespace pumicedyke::http {
namespace {

ClientRequest RequestWithId(const std::string& address, const std::string& id) {
  ClientRequest request;
  request.address = address;
  request.path = "/";
  request.headers = {{"X-Id", id}};
  request.echoed_header = "X-Id";
  request.expected_echo = id;
  return request;
}

}  // namespace

class SurplusAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SurplusAnswerTest);
  CPPUNIT_TEST(LateSurplusIsDroppedByItsId);
  CPPUNIT_TEST(SurplusRefusalDoesNotAnswerTheNextTry);
  CPPUNIT_TEST(OtherRequestsShareConnectionsWithSeparateTries);
  CPPUNIT_TEST(EarlySurplusEndsTheConnection);
  CPPUNIT_TEST(ResetResponseIsIncomplete);
  CPPUNIT_TEST(EndOfConnectionCompletesAnUnframedResponse);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LateSurplusIsDroppedByItsId() {
    ScriptedPeer peer(1, [](int connection) {
      ScriptedPeer::ReadHead(connection);
      ScriptedPeer::Write(connection, ScriptedPeer::Answer("one"));
      ScriptedPeer::ReadHead(connection);
      // A second response to the first request, in place of the response to the second request.
      ScriptedPeer::Write(connection, ScriptedPeer::Answer("one"));
      ScriptedPeer::Write(connection, ScriptedPeer::Answer("two"));
      ScriptedPeer::ReadHead(connection);
    });
    const auto responses =
        Exchange({RequestWithId(peer.address(), "one"), RequestWithId(peer.address(), "two")});
    CPPUNIT_ASSERT_EQUAL(std::string("one"), responses[0].body);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), responses[1].body);
    CPPUNIT_ASSERT(responses[1].reused_connection);
  }

  /// Guards against a try of work that may run once being taken for refused.
  void SurplusRefusalDoesNotAnswerTheNextTry() {
    std::atomic<int> served{0};
    ScriptedPeer peer(2, [&served](int connection) {
      const bool first = ++served == 1;
      ScriptedPeer::ReadHead(connection);
      ScriptedPeer::Write(connection,
                          first ? ScriptedPeer::Refusal("one") : ScriptedPeer::Answer("one"));
      ScriptedPeer::ReadHead(connection);
      if (first) {
        ScriptedPeer::Write(connection, ScriptedPeer::Refusal("one"));
        ScriptedPeer::Write(connection, ScriptedPeer::Answer("one"));
        ScriptedPeer::ReadHead(connection);
      }
    });
    ClientRequest request = RequestWithId(peer.address(), "one");
    request.separate_tries = true;
    const auto responses = Exchange({request, request});
    CPPUNIT_ASSERT_EQUAL(503, responses[0].status);
    CPPUNIT_ASSERT_EQUAL(200, responses[1].status);
    CPPUNIT_ASSERT(!responses[1].reused_connection);
    CPPUNIT_ASSERT(responses[1].attributed);
  }

  void OtherRequestsShareConnectionsWithSeparateTries() {
    ScriptedPeer peer(1, [](int connection) {
      ScriptedPeer::ReadHead(connection);
      ScriptedPeer::Write(connection, ScriptedPeer::Refusal("one"));
      ScriptedPeer::ReadHead(connection);
      // A response without an id may be a late one to the first request.
      ScriptedPeer::Write(connection, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
      ScriptedPeer::ReadHead(connection);
      ScriptedPeer::Write(connection, ScriptedPeer::Refusal("one"));
      ScriptedPeer::Write(connection, ScriptedPeer::Answer("three"));
      ScriptedPeer::ReadHead(connection);
    });
    std::vector<ClientRequest> requests;
    for (const char* id : {"one", "two", "three"}) {
      requests.push_back(RequestWithId(peer.address(), id));
      requests.back().separate_tries = true;
    }
    const auto responses = Exchange(requests);
    CPPUNIT_ASSERT(responses[0].attributed);
    CPPUNIT_ASSERT(responses[1].reused_connection);
    CPPUNIT_ASSERT(!responses[1].attributed);
    CPPUNIT_ASSERT_EQUAL(std::string("three"), responses[2].body);
    CPPUNIT_ASSERT(responses[2].attributed);
  }

  void EarlySurplusEndsTheConnection() {
    std::atomic<int> served{0};
    ScriptedPeer peer(2, [&served](int connection) {
      const std::string id = ++served == 1 ? "one" : "two";
      ScriptedPeer::ReadHead(connection);
      ScriptedPeer::Write(connection, ScriptedPeer::Answer(id) + (served == 1 ? "HTTP/1.1 2" : ""));
      ScriptedPeer::ReadHead(connection);
    });
    const auto responses =
        Exchange({RequestWithId(peer.address(), "one"), RequestWithId(peer.address(), "two")});
    CPPUNIT_ASSERT_EQUAL(std::string("one"), responses[0].body);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), responses[1].body);
    CPPUNIT_ASSERT(!responses[1].reused_connection);
  }

  void ResetResponseIsIncomplete() {
    ScriptedPeer peer(1, [](int connection) {
      ScriptedPeer::ReadHead(connection);
      ScriptedPeer::Write(connection, "HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\npart");
      const linger reset{1, 0};
      ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    });
    const auto responses = Exchange({RequestWithId(peer.address(), "one")});
    CPPUNIT_ASSERT(!responses[0].ok());
    CPPUNIT_ASSERT(!responses[0].not_sent);
  }

  void EndOfConnectionCompletesAnUnframedResponse() {
    ScriptedPeer peer(1, [](int connection) {
      ScriptedPeer::ReadHead(connection);
      ScriptedPeer::Write(connection, "HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\nwhole");
    });
    const auto responses = Exchange({RequestWithId(peer.address(), "one")});
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), responses[0].body);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SurplusAnswerTest);

}  // namespace pumicedyke::http
