// Tests that a broken response is never taken for a response, that it ends its call at once, and
// that unusual responses which are sound are read.
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <atomic>
#include <optional>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "http/message_parser.h"
#include "http/raw_answers.h"
#include "http/scripted_peer.h"

namespace pumicedyke::http {
namespace {

constexpr int kServed = 200;
constexpr int kFirstFinalStatus = 200;
constexpr std::array<const char*, 3> kMethods = {"GET", "HEAD", "POST"};

AnswerParts Parts() { return {"X-Stamp: a.b\r\n", "seven.."}; }

std::string BodyTo(const std::string& method, const RawAnswer& answer) {
  return method == "HEAD" ? "" : answer.body;
}

/// Parses a response that arrives in two pieces; interim ones are passed over. @return the final
/// one; unset if it is incomplete or broken. @param state the parser's last state.
std::optional<ResponseMessage> Parse(const std::string& text, size_t first_bytes, bool to_head,
                                     ParseState* state) {
  ResponseParser parser({}, to_head);
  std::string input;
  for (const std::string& piece : {text.substr(0, first_bytes), text.substr(first_bytes)}) {
    input += piece;
    while ((*state = parser.Consume(&input)) == ParseState::kComplete) {
      ResponseMessage message = parser.Take();
      if (message.status >= kFirstFinalStatus) {
        return message;
      }
    }
  }
  return std::nullopt;
}

ClientRequest RequestTo(const std::string& address, const std::string& method) {
  ClientRequest request;
  request.address = address;
  request.path = "/";
  request.method = method;
  return request;
}

/// Makes a sound call, one that gets `answer`, and one more. The peer closes no connection, and
/// sends a sound response in the same piece after `answer`.
std::vector<ClientResponse> ExchangeAround(const std::string& method, const RawAnswer& answer) {
  std::atomic<int> requests{0};
  const std::string sound = method == "HEAD" ? "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
                                             : ScriptedPeer::Answer("sound");
  ScriptedPeer peer(3, [&](int connection) {
    while (ScriptedPeer::ReadHead(connection)) {
      const std::string broken = answer.head + BodyTo(method, answer) + sound;
      ScriptedPeer::Write(connection, ++requests == 2 ? broken : sound);
    }
  });
  const ClientRequest request = RequestTo(peer.address(), method);
  return Exchange({request, request, request});
}

}  // namespace

class BrokenAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrokenAnswersTest);
  CPPUNIT_TEST(BrokenHeadFailsInAnyPieces);
  CPPUNIT_TEST(BrokenBodyFailsInAnyPieces);
  CPPUNIT_TEST(BodyThatLooksFoldedIsRead);
  CPPUNIT_TEST(BrokenAnswerEndsItsCallAndItsConnection);
  CPPUNIT_TEST(SoundAnswersAreReadInAnyPieces);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against broken responses that are taken for responses, and against such that are read
  /// on for their body or for a further response although their head is there.
  void BrokenHeadFailsInAnyPieces() {
    for (const RawAnswer& answer : BrokenHeads(Parts())) {
      for (const bool to_head : {false, true}) {
        for (size_t first = 0; first <= answer.head.size(); ++first) {
          ParseState state = ParseState::kEmpty;
          const bool read = Parse(answer.head, first, to_head, &state).has_value();
          CPPUNIT_ASSERT_MESSAGE(answer.name, !read);
          CPPUNIT_ASSERT_MESSAGE(answer.name, state == ParseState::kFailed);
        }
      }
    }
  }

  /// Guards against chunks and trailers that are taken for what they are not.
  void BrokenBodyFailsInAnyPieces() {
    for (const RawAnswer& answer : BrokenBodies(Parts())) {
      const std::string text = answer.head + answer.body;
      for (size_t first = 0; first <= text.size(); ++first) {
        ParseState state = ParseState::kEmpty;
        const bool read = Parse(text, first, /*to_head=*/false, &state).has_value();
        CPPUNIT_ASSERT_MESSAGE(answer.name, !read);
        CPPUNIT_ASSERT_MESSAGE(answer.name, state == ParseState::kFailed);
      }
    }
  }

  /// Guards against bodies that are refused for what only a head must not contain.
  void BodyThatLooksFoldedIsRead() {
    const std::string body = "a\r\n b\r\n\tc\r\n ";
    for (const std::string& text :
         {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + body,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n" + body +
              "\r\n0\r\nX-Sum: 1\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\nb;x\r\n" +
              body.substr(1) + "\r\n0\r\n\r\n"}) {
      for (size_t first = 0; first <= text.size(); ++first) {
        ParseState state = ParseState::kEmpty;
        const std::optional<ResponseMessage> message =
            Parse(text, first, /*to_head=*/false, &state);
        CPPUNIT_ASSERT_MESSAGE(text, message.has_value());
        CPPUNIT_ASSERT_EQUAL(body, message->body);
      }
    }
  }

  /// Guards against broken responses after sound ones on the same connection, against what follows
  /// them there, and against calls that wait for their time-out although the head has arrived.
  void BrokenAnswerEndsItsCallAndItsConnection() {
    for (const char* method : kMethods) {
      for (const RawAnswer& answer : BrokenHeads(Parts())) {
        const std::string what = std::string(method) + " " + answer.name;
        const std::vector<ClientResponse> responses = ExchangeAround(method, answer);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, kServed, responses[0].status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, responses[1].status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string("the response is not valid HTTP"),
                                     responses[1].error);
        CPPUNIT_ASSERT_MESSAGE(what, responses[1].reused_connection);
        CPPUNIT_ASSERT_MESSAGE(what, !responses[1].not_sent && !responses[1].connection_lost);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, kServed, responses[2].status);
        CPPUNIT_ASSERT_MESSAGE(what, !responses[2].reused_connection);
      }
    }
  }

  void SoundAnswersAreReadInAnyPieces() {
    for (const RawAnswer& answer : SoundAnswers(Parts())) {
      for (const char* method : kMethods) {
        const std::string text = answer.head + BodyTo(method, answer);
        const bool to_head = std::string(method) == "HEAD";
        for (size_t first = 0; first <= text.size(); ++first) {
          ParseState state = ParseState::kEmpty;
          const std::optional<ResponseMessage> message = Parse(text, first, to_head, &state);
          CPPUNIT_ASSERT_MESSAGE(answer.name, message.has_value());
          CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.name, kServed, message->status);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.name, to_head ? "" : Parts().body, message->body);
        }
      }
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswersTest);

}  // namespace pumicedyke::http
