#include "server/gateway_metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "absl/strings/str_cat.h"
#include "gateway/gateway_harness.h"
#include "net/event_loop.h"

namespace pumicedyke::server {

class GatewayMetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayMetricsTest);
  CPPUNIT_TEST(StepsAreReportedByRouteAndQuantile);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StepsAreReportedByRouteAndQuantile() {
    net::EventLoop loop;
    const http::HttpClient client(&loop, {});
    const gateway::GatewayHarness h;
    GatewayMetrics metrics;
    gateway::GatewayAnswer answer;
    answer.code = ResultCode::kPartial;
    answer.gathered = true;
    answer.trace.route = "all";
    answer.trace.elapsed = Milliseconds(30);
    answer.trace.spent = Milliseconds(15);
    answer.trace.round_trip = Milliseconds(6);
    answer.trace.decided = gateway::kStart;
    answer.trace.due = gateway::kStart - Milliseconds(2);
    metrics.OnAnswer(answer);
    metrics.OnAnswerWritten(gateway::kStart + Milliseconds(1), answer);
    gateway::PartialTrace partial;
    partial.route = "all";
    partial.waited = Milliseconds(1);
    partial.elapsed = Milliseconds(12);
    metrics.OnPartial(partial);
    const std::string text = metrics.Text(h.now, h.server, client, *loop.request_room());
    for (const std::string step :
         {"client_spent", "way", "decide", "overdue", "write", "question_wait", "merge", "leaf"}) {
      for (const std::string quantile : {"0.5", "0.9", "0.99"}) {
        const std::string sample = absl::StrCat("pumicedyke_gateway_step_seconds{quantile=\"",
                                                quantile, "\",route=\"all\",step=\"", step, "\"} ");
        CPPUNIT_ASSERT_MESSAGE(sample, text.find(sample) != std::string::npos);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayMetricsTest);

}  // namespace pumicedyke::server
