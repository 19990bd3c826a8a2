// Tests that a response which is cut at any byte is never taken for a whole one.
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <functional>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "e2e/raw_listener.h"
#include "http/http_client.h"
#include "http/message_parser.h"
#include "net/event_loop.h"

namespace pumicedyke::http {
namespace {

constexpr size_t kNever = std::numeric_limits<size_t>::max();
constexpr int kFirstFinalStatus = 200;

/// A response, as a peer sends it.
struct Sample {
  std::string text;
  /// The response is whole as soon as so many bytes have arrived.
  size_t whole_at = kNever;
  /// It is whole if the connection then ends in an orderly way after at least so many bytes.
  size_t whole_at_end = kNever;
  std::string method = "GET";
};

/// A response that says how long it is.
Sample Framed(const std::string& text) { return {text, text.size(), text.size()}; }

/// A response whose body ends with the connection.
Sample Unframed(const std::string& head, const std::string& body) {
  return {head + body, kNever, head.size()};
}

/// A response that has no body, whatever its head says. @param after bytes that the peer sends on.
Sample OnlyHead(const std::string& head, const std::string& method, const std::string& after = "") {
  return {head + after, head.size(), head.size(), method};
}

Sample Malformed(const std::string& text) { return {text}; }

std::vector<Sample> Samples() {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 7\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n";
  const std::string folded = "X-Folded: one\r\n two\r\n";
  return {
      Framed(status + "X-Stamp: a.b\r\n" + length + "\r\nseven.."),
      Framed(status + length + "Connection: close\r\nX-Stamp: a.b\r\n\r\nseven.."),
      Framed(status + "Content-Length: 0\r\n\r\n"),
      Framed(status + chunked + "\r\n4\r\nseve\r\n3\r\nn..\r\n0\r\n\r\n"),
      Framed(status + chunked + "\r\n4;x=\"y\"\r\nsev\n\r\n0\r\nX-Sum: 1\r\nX-End: 2\r\n\r\n"),
      Framed(status + chunked + "Connection: close\r\n\r\n0\r\n\r\n"),
      Framed("HTTP/1.0 200 OK\r\n" + length + "\r\nseven.."),
      Framed("HTTP/1.1 500 Failed\r\n" + length + "\r\nseven.."),
      Framed(interim + status + length + "\r\nseven.."),
      Framed(interim + status + chunked + "\r\n7\r\nseven..\r\n0\r\n\r\n"),
      Unframed(status + "X-Stamp: a.b\r\n\r\n", "seven.."),
      Unframed(status + "Connection: close\r\nX-Stamp: a.b\r\n\r\n", "seven.."),
      Unframed("HTTP/1.0 200 OK\r\nX-Stamp: a.b\r\n\r\n", "seven\r\n\r\n.."),
      Unframed(interim + status + "X-Stamp: a.b\r\n\r\n", "seven.."),
      OnlyHead(status + length + "X-Stamp: a.b\r\n\r\n", "HEAD"),
      OnlyHead(status + chunked + "\r\n", "HEAD"),
      OnlyHead(status + "Connection: close\r\n\r\n", "HEAD"),
      OnlyHead(status + length + "\r\n", "HEAD", "seven.."),
      OnlyHead(interim + status + length + "\r\n", "HEAD"),
      OnlyHead("HTTP/1.1 204 None\r\nX-Stamp: a.b\r\n\r\n", "GET"),
      OnlyHead("HTTP/1.1 304 Same\r\n" + length + "\r\n", "GET"),
      Malformed(interim),
      Malformed(status + "X-Stamp: a\rb\r\n" + length + "\r\nseven.."),
      Malformed(status + folded + length + "\r\nseven.."),
      Malformed(status + folded + "\r\nseven.."),
      Malformed(status + "no colon\r\n\r\nseven.."),
      Malformed(status + length + "Content-Length: 6\r\n\r\nseven.."),
      Malformed(status + chunked + "\r\nseven..\r\n0\r\n\r\n"),
  };
}

enum class End { kNone, kOrderly };

/// Parses the first `cut` bytes of a response in pieces of a size. Interim responses are passed
/// over. @return the state of the final one.
ParseState Parse(const Sample& sample, size_t cut, size_t piece, End end) {
  ResponseParser parser({}, sample.method == "HEAD");
  ParseState state = parser.state();
  std::string input;
  for (size_t at = 0; at < cut; at += piece) {
    input += sample.text.substr(at, std::min(piece, cut - at));
    while (!input.empty() && state != ParseState::kFailed) {
      state = parser.Consume(&input);
      if (state != ParseState::kComplete) {
        break;
      }
      if (parser.Take().status >= kFirstFinalStatus) {
        return ParseState::kComplete;
      }
      state = parser.state();
    }
  }
  return end == End::kOrderly ? parser.ConsumeEnd() : state;
}

std::string Describe(const Sample& sample, size_t cut) {
  return "cut after " + std::to_string(cut) + ": " + sample.method + " " + sample.text;
}

/// Serves one request for "/CUT/END": sends CUT bytes of the response.
void ServeCut(const Sample& sample, int connection) {
  std::string head;
  std::array<char, 512> buffer{};
  while (!head.ends_with("\r\n\r\n")) {
    const ssize_t count = ::read(connection, buffer.data(), buffer.size());
    if (count <= 0) {
      return;
    }
    head.append(buffer.data(), static_cast<size_t>(count));
  }
  const size_t cut = std::stoul(head.substr(head.find('/') + 1));
  (void)!::write(connection, sample.text.data(), cut);
  if (head.find("/reset ") != std::string::npos) {
    const linger reset{1, 0};
    ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
}

/// @return what the client gets when the response is cut at each byte.
std::vector<ClientResponse> FetchAllCuts(const Sample& sample, const std::string& end) {
  const e2e::RawListener peer([&sample](int connection) { ServeCut(sample, connection); });
  net::EventLoop loop;
  HttpClient client(&loop, {});
  std::vector<ClientResponse> responses;
  std::function<void()> next = [&] {
    if (responses.size() > sample.text.size()) {
      loop.Stop();
      return;
    }
    ClientRequest request;
    request.address = peer.address();
    request.method = sample.method;
    request.path = "/" + std::to_string(responses.size()) + "/" + end;
    // The peer serves one request on each connection.
    request.unrepeatable = true;
    client.Start(request, [&](ClientResponse response) {
      responses.push_back(std::move(response));
      loop.Post(next);
    });
  };
  loop.Post(next);
  loop.Run([](Timestamp now) { return now + Seconds(1); });
  return responses;
}

}  // namespace

class CutResponsesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutResponsesTest);
  CPPUNIT_TEST(ParserCompletesNoCutResponse);
  CPPUNIT_TEST(ClosedConnectionCompletesNoCutResponse);
  CPPUNIT_TEST(ResetConnectionCompletesNoCutResponse);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a response being complete in the middle of its head, or before its length is
  /// reached, with or without an orderly end of the connection.
  void ParserCompletesNoCutResponse() {
    for (const Sample& sample : Samples()) {
      for (size_t cut = 0; cut <= sample.text.size(); ++cut) {
        for (const size_t piece : {size_t{1}, size_t{5}, sample.text.size()}) {
          const std::string what = Describe(sample, cut);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(
              what, cut >= sample.whole_at,
              Parse(sample, cut, piece, End::kNone) == ParseState::kComplete);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(
              what, cut >= sample.whole_at_end,
              Parse(sample, cut, piece, End::kOrderly) == ParseState::kComplete);
        }
      }
    }
  }

  /// Guards against a success made from a response that its peer broke off by a close.
  void ClosedConnectionCompletesNoCutResponse() {
    for (const Sample& sample : Samples()) {
      const std::vector<ClientResponse> responses = FetchAllCuts(sample, "close");
      for (size_t cut = 0; cut < responses.size(); ++cut) {
        const ClientResponse& response = responses[cut];
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(sample, cut), cut >= sample.whole_at_end,
                                     response.ok());
        if (response.ok() && sample.whole_at == kNever) {
          CPPUNIT_ASSERT_EQUAL(sample.text.substr(sample.whole_at_end, cut - sample.whole_at_end),
                               response.body);
        }
      }
    }
  }

  /// Guards against a success made from a response that its peer broke off by a reset.
  void ResetConnectionCompletesNoCutResponse() {
    for (const Sample& sample : Samples()) {
      const std::vector<ClientResponse> responses = FetchAllCuts(sample, "reset");
      for (size_t cut = 0; cut < responses.size(); ++cut) {
        // The reset may overtake a whole response.
        CPPUNIT_ASSERT_MESSAGE(Describe(sample, cut),
                               cut >= sample.whole_at || !responses[cut].ok());
      }
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CutResponsesTest);

}  // namespace pumicedyke::http
