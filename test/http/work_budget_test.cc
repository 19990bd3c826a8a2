// Tests that a request states the time left when it is written, not when the call was started: the
// call may have waited for a connection in between.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "net/event_loop.h"

namespace pumicedyke::http {
namespace {

constexpr Duration kBudget = Seconds(10);
constexpr Duration kHold = Milliseconds(80);

int64_t TimeLeftOf(const HttpRequest& request) {
  int64_t left = -1;
  const std::string* value = FindHeader(request.headers, "X-Left");
  CPPUNIT_ASSERT(value != nullptr && absl::SimpleAtoi(*value, &left));
  return left;
}

}  // namespace

class WorkBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkBudgetTest);
  CPPUNIT_TEST(WaitingForAConnectionReducesTheBudget);
  CPPUNIT_TEST(NothingIsWrittenOnceTheBudgetIsSpent);
  CPPUNIT_TEST(SharedHeadComesBeforeOwnHeaders);
  CPPUNIT_TEST(UnneededConnectionIsClosed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WaitingForAConnectionReducesTheBudget() {
    net::EventLoop loop;
    std::vector<int64_t> left;
    HttpServer server(&loop, {}, [&](const HttpRequest& request, Responder responder) {
      left.push_back(TimeLeftOf(request));
      loop.RunAt(net::EventLoop::Now() + kHold, [responder]() mutable {
        responder.Send({200, "{}"});
      });
    });
    CPPUNIT_ASSERT(server.Listen("127.0.0.1:0").ok());
    HttpClient client(&loop, {.max_connections_per_host = 1});
    int done = 0;
    for (int i = 0; i < 2; ++i) {
      ClientRequest request;
      request.address = "127.0.0.1:" + std::to_string(server.port());
      request.path = "/";
      request.timeout = kBudget;
      request.budget = kBudget;
      request.budget_header = "X-Left";
      client.Start(request, [&](const ClientResponse& response) {
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        if (++done == 2) {
          loop.Stop();
        }
      });
    }
    loop.Run([](Timestamp now) { return now + Seconds(1); });
    CPPUNIT_ASSERT_EQUAL(size_t{2}, left.size());
    const auto hold = std::chrono::duration_cast<std::chrono::milliseconds>(kHold).count();
    CPPUNIT_ASSERT(left[1] <= left[0] - hold);
    CPPUNIT_ASSERT(left[1] > 0);
  }

  void UnneededConnectionIsClosed() {
    net::EventLoop loop;
    HttpServer server(&loop, {}, [](const HttpRequest&, Responder responder) {
      responder.Send({200, "{}"});
    });
    CPPUNIT_ASSERT(server.Listen("127.0.0.1:0").ok());
    HttpClient client(&loop, {.surplus_idle_limit = Milliseconds(10)});
    ClientRequest request;
    request.address = "127.0.0.1:" + std::to_string(server.port());
    request.path = "/";
    request.close_when_idle = true;
    bool answered = false;
    client.Start(request, [&](const ClientResponse&) { answered = true; });
    loop.Run([&](Timestamp now) {
      if (answered && server.connections() == 0) {
        loop.Stop();
      }
      return now + Milliseconds(5);
    });
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, client.connections_opened());
  }

  void NothingIsWrittenOnceTheBudgetIsSpent() {
    net::EventLoop loop;
    int seen = 0;
    HttpServer server(&loop, {}, [&](const HttpRequest&, Responder responder) {
      ++seen;
      loop.RunAt(net::EventLoop::Now() + kHold, [responder]() mutable {
        responder.Send({200, "{}"});
      });
    });
    CPPUNIT_ASSERT(server.Listen("127.0.0.1:0").ok());
    HttpClient client(&loop, {.max_connections_per_host = 1});
    std::vector<ClientResponse> responses;
    for (const Duration budget : {kBudget, kHold / 4}) {
      ClientRequest request;
      request.address = "127.0.0.1:" + std::to_string(server.port());
      request.path = "/";
      request.timeout = kBudget;
      request.budget = budget;
      request.budget_header = "X-Left";
      client.Start(request, [&](ClientResponse response) {
        responses.push_back(std::move(response));
        if (responses.size() == 2) {
          loop.Stop();
        }
      });
    }
    loop.Run([](Timestamp now) { return now + Seconds(1); });
    CPPUNIT_ASSERT_EQUAL(1, seen);
    CPPUNIT_ASSERT_EQUAL(200, responses[0].status);
    CPPUNIT_ASSERT(!responses[1].ok());
    CPPUNIT_ASSERT(responses[1].not_sent);
  }

  void SharedHeadComesBeforeOwnHeaders() {
    net::EventLoop loop;
    HttpRequest seen;
    HttpServer server(&loop, {}, [&](HttpRequest request, Responder responder) {
      seen = std::move(request);
      responder.Send({200, "{}"});
    });
    CPPUNIT_ASSERT(server.Listen("127.0.0.1:0").ok());
    HttpClient client(&loop, {});
    ClientRequest request;
    request.address = "127.0.0.1:" + std::to_string(server.port());
    request.shared_head = std::make_shared<const std::string>(
        EncodeHead("PUT", "/x?y=1", {{"Host", "desk.example"}, {"X-Id", "7"}}));
    request.method = "PUT";
    request.headers = {{"X-Own", "1"}};
    request.body = "abc";
    client.Start(request, [&](const ClientResponse&) { loop.Stop(); });
    loop.Run([](Timestamp now) { return now + Seconds(1); });
    CPPUNIT_ASSERT_EQUAL(std::string("PUT"), seen.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/x?y=1"), seen.target);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), seen.body);
    CPPUNIT_ASSERT_EQUAL(std::string("desk.example"), *FindHeader(seen.headers, "Host"));
    CPPUNIT_ASSERT_EQUAL(std::string("7"), *FindHeader(seen.headers, "X-Id"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), *FindHeader(seen.headers, "X-Own"));
    CPPUNIT_ASSERT_EQUAL(std::string("3"), *FindHeader(seen.headers, "Content-Length"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkBudgetTest);

}  // namespace pumicedyke::http
