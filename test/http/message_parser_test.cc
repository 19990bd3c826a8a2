// Tests parsing of requests and responses: whole, in pieces, malformed, and with surplus bytes.
#include "http/message_parser.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

namespace pumicedyke::http {
namespace {

ParseState ParseRequest(std::string text, RequestMessage* message, std::string* rest,
                        MessageLimits limits = {}) {
  RequestParser parser(limits);
  const ParseState state = parser.Consume(&text);
  if (state == ParseState::kComplete) {
    *message = parser.Take();
  }
  *rest = text;
  return state;
}

}  // namespace

class MessageParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageParserTest);
  CPPUNIT_TEST(RequestsAreReadWhole);
  CPPUNIT_TEST(MalformedRequestsFail);
  CPPUNIT_TEST(LimitsAreEnforced);
  CPPUNIT_TEST(AnnouncedLengthIsCheckedBeforeItIsAllocated);
  CPPUNIT_TEST(FramingWithoutEndFails);
  CPPUNIT_TEST(SmallChunksWithLongSizesAreRead);
  CPPUNIT_TEST(ResponsesEndAtTheirLength);
  CPPUNIT_TEST(PiecesGiveTheSameMessages);
  CPPUNIT_TEST(BodiesInChunksMayArriveInAnyPieces);
  CPPUNIT_TEST(GarbageInPiecesDoesNoHarm);
  CPPUNIT_TEST(GarbageDoesNoHarm);
  CPPUNIT_TEST(EncodedMessagesAreParsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsAreReadWhole() {
    RequestMessage message;
    std::string rest;
    CPPUNIT_ASSERT(ParseRequest("POST /a/b?c=%20d HTTP/1.1\r\nHost: x\r\nContent-Length: "
                                "3\r\n\r\nabcGET /next",
                                &message, &rest) == ParseState::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=%20d"), message.target);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), message.body);
    CPPUNIT_ASSERT_EQUAL(std::string("GET /next"), rest);
    CPPUNIT_ASSERT(ParseRequest("PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
                                &message, &rest) == ParseState::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), message.body);
    CPPUNIT_ASSERT(ParseRequest("GET / HTTP/1.0\r\n\r\n", &message, &rest) ==
                   ParseState::kComplete);
    CPPUNIT_ASSERT(!message.keep_alive);
  }

  void MalformedRequestsFail() {
    const char* const cases[] = {
        "\x16\x03\x01 hello\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 3, 4\r\n\r\nabc",
        "GET / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "GET / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\n: empty\r\n\r\n",
        "PUT / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        "PUT / HTTP/1.1\r\nTransfer-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc",
        "PUT / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
        "PUT / HTTP/1.1\r\nTransfer-Encoding:\r\n\r\n",
    };
    for (const char* text : cases) {
      RequestMessage message;
      std::string rest;
      CPPUNIT_ASSERT_MESSAGE(text, ParseRequest(text, &message, &rest) == ParseState::kFailed);
    }
  }

  void LimitsAreEnforced() {
    const MessageLimits limits{.header_bytes = 200, .body_bytes = 10};
    RequestParser headers(limits);
    std::string text = "GET / HTTP/1.1\r\nA: " + std::string(300, 'a') + "\r\n\r\n";
    CPPUNIT_ASSERT(headers.Consume(&text) == ParseState::kFailed);
    CPPUNIT_ASSERT(headers.error() == ParseError::kHeaderTooLarge);
    RequestParser announced(limits);
    text = "PUT / HTTP/1.1\r\nContent-Length: 11\r\n\r\n";
    CPPUNIT_ASSERT(announced.Consume(&text) == ParseState::kFailed);
    CPPUNIT_ASSERT(announced.error() == ParseError::kBodyTooLarge);
    RequestParser chunked(limits);
    text = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nabcdefghijk\r\n0\r\n\r\n";
    CPPUNIT_ASSERT(chunked.Consume(&text) == ParseState::kFailed);
    CPPUNIT_ASSERT(chunked.error() == ParseError::kBodyTooLarge);
  }

  /// Guards against processes that end because a peer announces more bytes than there is memory,
  /// and sends some of them with the head.
  void AnnouncedLengthIsCheckedBeforeItIsAllocated() {
    for (const char* length : {"67108865", "4611686018427387904", "18446744073709551615"}) {
      const std::string rest = std::string("Content-Length: ") + length + "\r\n\r\nfirst bytes";
      ResponseParser response({}, false);
      std::string text = "HTTP/1.1 200 OK\r\n" + rest;
      CPPUNIT_ASSERT_MESSAGE(length, response.Consume(&text) == ParseState::kFailed);
      RequestParser request({});
      text = "PUT / HTTP/1.1\r\n" + rest;
      CPPUNIT_ASSERT_MESSAGE(length, request.Consume(&text) == ParseState::kFailed);
      CPPUNIT_ASSERT_MESSAGE(length, request.error() == ParseError::kBodyTooLarge);
    }
  }

  /// Guards against memory taken by chunk sizes, extensions and trailers that never end.
  void FramingWithoutEndFails() {
    struct Case {
      const char* name;
      std::string start;
      std::string endless;
    };
    const Case cases[] = {
        {"size", "", "0"},
        {"extension", "1;", "a"},
        {"extension of the last chunk", "0;", "a"},
        {"trailer", "0\r\nT: ", "a"},
        {"trailers", "0\r\n", "T: x\r\n"},
        {"extensions of many chunks", "", "1;" + std::string(90, 'a') + "\r\nx\r\n"},
    };
    const MessageLimits limits{.header_bytes = 200, .body_bytes = 1000};
    constexpr size_t kMostBytes = 4000;
    for (const Case& item : cases) {
      const std::string head = "Transfer-Encoding: chunked\r\n\r\n" + item.start;
      RequestParser request(limits);
      ResponseParser response(limits, false);
      std::string input = "PUT / HTTP/1.1\r\n" + head;
      std::string answer = "HTTP/1.1 200 OK\r\n" + head;
      size_t sent = 0;
      bool open = true;
      while (open && sent < kMostBytes) {
        input += item.endless;
        answer += item.endless;
        sent += item.endless.size();
        const bool request_open = request.Consume(&input) != ParseState::kFailed;
        const bool response_open = response.Consume(&answer) != ParseState::kFailed;
        open = request_open || response_open;
      }
      CPPUNIT_ASSERT_MESSAGE(item.name, !open);
      CPPUNIT_ASSERT_MESSAGE(item.name, request.error() == ParseError::kHeaderTooLarge);
    }
  }

  /// Bodies may come a byte at a time, with sizes padded to a fixed width.
  void SmallChunksWithLongSizesAreRead() {
    RequestParser parser({.header_bytes = 200, .body_bytes = 1000});
    std::string input = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 900; ++i) {
      input += "00000001\r\nx\r\n";
    }
    CPPUNIT_ASSERT(parser.Consume(&input) == ParseState::kBody);
    input += "0\r\n\r\n";
    CPPUNIT_ASSERT(parser.Consume(&input) == ParseState::kComplete);
    CPPUNIT_ASSERT_EQUAL(size_t{900}, parser.Take().body.size());
  }

  void ResponsesEndAtTheirLength() {
    std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    ResponseParser counted({}, false);
    CPPUNIT_ASSERT(counted.Consume(&text) == ParseState::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 OK\r\n"), text);
    // Without a length, only the orderly end of the connection completes the response.
    ResponseParser open({}, false);
    text = "HTTP/1.1 200 OK\r\n\r\npart";
    CPPUNIT_ASSERT(open.Consume(&text) == ParseState::kBody);
    CPPUNIT_ASSERT(open.ConsumeEnd() == ParseState::kComplete);
    const ResponseMessage message = open.Take();
    CPPUNIT_ASSERT_EQUAL(std::string("part"), message.body);
    CPPUNIT_ASSERT(!message.keep_alive);
    ResponseParser cut({}, false);
    text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
    cut.Consume(&text);
    CPPUNIT_ASSERT(cut.ConsumeEnd() == ParseState::kFailed);
    ResponseParser head({}, true);
    text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
    CPPUNIT_ASSERT(head.Consume(&text) == ParseState::kComplete);
  }

  void PiecesGiveTheSameMessages() {
    const std::string text =
        "POST /a HTTP/1.1\r\nHost: x\r\nX-Y: 1\r\nContent-Length: 5\r\n\r\nhello"
        "GET /b HTTP/1.1\r\nHost: x\r\n\r\n"
        "PUT /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    const bool held = rc::check("pieces make the same messages", [&text] {
      RequestParser parser({});
      std::string input;
      std::string seen;
      for (size_t at = 0; at < text.size();) {
        const auto step = static_cast<size_t>(*rc::gen::inRange(1, 30));
        input += text.substr(at, step);
        at += step;
        while (!input.empty() && parser.Consume(&input) == ParseState::kComplete) {
          const RequestMessage message = parser.Take();
          seen += message.method + message.target + message.body + " ";
        }
      }
      RC_ASSERT(seen == "POST/ahello GET/b PUT/cabc ");
    });
    CPPUNIT_ASSERT(held);
  }

  /// Guards against a process ended by one message: a body in chunks whose last chunk arrives in
  /// several pieces.
  void BodiesInChunksMayArriveInAnyPieces() {
    const std::string head = "PUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::pair<std::string, std::string> bodies[] = {
        {"0\r\n\r\n", ""},
        {"00\r\n\r\n", ""},
        {"0;x\r\nT: 1\r\n\r\n", ""},
        {"0\r\nT: 1\r\n\r\n", ""},
        {"2\r\n00\r\n0\r\n\r\n", "00"},
        {"4\r\n0\r\n\r\r\n01\r\n0\r\n000\r\nT: 1\r\n\r\n", "0\r\n\r0"},
    };
    for (const auto& [text, body] : bodies) {
      for (size_t first = 0; first <= text.size(); ++first) {
        for (size_t second = first; second <= text.size(); ++second) {
          RequestParser parser({});
          std::string input = head;
          parser.Consume(&input);
          for (const std::string& piece :
               {text.substr(0, first), text.substr(first, second - first), text.substr(second)}) {
            CPPUNIT_ASSERT(parser.state() == ParseState::kBody || piece.empty());
            input += piece;
            parser.Consume(&input);
          }
          CPPUNIT_ASSERT_MESSAGE(text, parser.state() == ParseState::kComplete);
          CPPUNIT_ASSERT_EQUAL(body, parser.Take().body);
          CPPUNIT_ASSERT(input.empty());
        }
      }
    }
  }

  /// Guards against a process ended by bytes that are nearly a body in chunks, in pieces.
  void GarbageInPiecesDoesNoHarm() {
    const bool held = rc::check("garbage in pieces does no harm", [] {
      constexpr int kMessages = 20;
      const std::string alphabet = "00001fF;x=\"\r\r\n\n: T";
      for (int i = 0; i < kMessages; ++i) {
        RequestParser request({});
        ResponseParser response({}, /*to_head=*/false);
        std::string to_server = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        std::string to_client = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const auto pieces = *rc::gen::container<std::vector<std::string>>(
            rc::gen::oneOf(rc::gen::element<std::string>("0\r\n", "\r\n", "1\r\n", "0", "\r"),
                           rc::gen::container<std::string>(rc::gen::elementOf(alphabet))));
        for (const std::string& piece : pieces) {
          to_server += piece;
          to_client += piece;
          const size_t before = to_server.size();
          request.Consume(&to_server);
          response.Consume(&to_client);
          RC_ASSERT(to_server.size() <= before);
        }
        response.ConsumeEnd();
      }
    });
    CPPUNIT_ASSERT(held);
  }

  /// Valid messages with bytes changed, removed or duplicated: the parser fails or reads a message,
  /// and never consumes more than its input.
  void GarbageDoesNoHarm() {
    const std::string request =
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTE: a, b\r\n\r\nhello";
    const std::string response =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: x\r\n\r\n";
    const bool held = rc::check("garbage does no harm", [&] {
      for (const std::string* sound : {&request, &response}) {
        std::string text = *sound;
        const int changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes && !text.empty(); ++i) {
          const auto at = static_cast<size_t>(*rc::gen::inRange(0, static_cast<int>(text.size())));
          switch (*rc::gen::inRange(0, 3)) {
            case 0:
              text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
              break;
            case 1:
              text.erase(at, static_cast<size_t>(*rc::gen::inRange(1, 8)));
              break;
            default:
              text.insert(at, text.substr(at, 8));
          }
        }
        const size_t size = text.size();
        RequestParser requests({.header_bytes = 512, .body_bytes = 64});
        std::string input = text;
        requests.Consume(&input);
        RC_ASSERT(input.size() <= size);
        ResponseParser responses({.header_bytes = 512, .body_bytes = 64}, false);
        input = text;
        if (responses.Consume(&input) != ParseState::kComplete) {
          responses.ConsumeEnd();
        }
        RC_ASSERT(input.size() <= size);
      }
    });
    CPPUNIT_ASSERT(held);
  }

  void EncodedMessagesAreParsed() {
    RequestMessage request{"POST", "/x?y", {{"Host", "h"}, {"A", "b"}}, "body", true};
    RequestMessage read;
    std::string rest;
    CPPUNIT_ASSERT(ParseRequest(EncodeRequest(request), &read, &rest) == ParseState::kComplete);
    CPPUNIT_ASSERT_EQUAL(request.body, read.body);
    CPPUNIT_ASSERT(read.keep_alive);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), *FindHeader(read.headers, "a"));
    ResponseMessage response{503, "", {{"Retry-After", "0.250"}}, "later", false};
    std::string text = EncodeResponse(response, /*head_only=*/false);
    ResponseParser parser({}, false);
    CPPUNIT_ASSERT(parser.Consume(&text) == ParseState::kComplete);
    const ResponseMessage back = parser.Take();
    CPPUNIT_ASSERT_EQUAL(std::string("Service Unavailable"), back.reason);
    CPPUNIT_ASSERT_EQUAL(std::string("later"), back.body);
    CPPUNIT_ASSERT(!back.keep_alive);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MessageParserTest);

}  // namespace pumicedyke::http
