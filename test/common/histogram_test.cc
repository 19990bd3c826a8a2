#include "common/histogram.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "http/metrics.h"

namespace pumicedyke {

class HistogramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HistogramTest);
  CPPUNIT_TEST(ValuesFallIntoTheirBuckets);
  CPPUNIT_TEST(PageShowsCumulativeBuckets);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ValuesFallIntoTheirBuckets() {
    Histogram histogram;
    Record(&histogram, Milliseconds(1));
    Record(&histogram, Milliseconds(1) + Microseconds(1));
    Record(&histogram, Seconds(60));
    Record(&histogram, Milliseconds(-5));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, histogram.counts.front());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, histogram.counts.at(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, histogram.counts.back());
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, histogram.count);
    CPPUNIT_ASSERT(histogram.sum == Seconds(60) + Milliseconds(2) + Microseconds(1));
  }

  void PageShowsCumulativeBuckets() {
    Histogram histogram;
    Record(&histogram, Milliseconds(1));
    Record(&histogram, Milliseconds(2));
    Record(&histogram, Seconds(60));
    http::MetricsPage page;
    page.AddHistogram("x_seconds", "help", histogram, {{"route", "a"}});
    const std::string text = page.Text();
    const auto holds = [&text](const std::string& line) {
      return text.find(line + "\n") != std::string::npos;
    };
    CPPUNIT_ASSERT(holds("# TYPE x_seconds histogram"));
    CPPUNIT_ASSERT(holds("x_seconds_bucket{route=\"a\",le=\"0.001\"} 1"));
    CPPUNIT_ASSERT(holds("x_seconds_bucket{route=\"a\",le=\"0.002\"} 2"));
    CPPUNIT_ASSERT(holds("x_seconds_bucket{route=\"a\",le=\"+Inf\"} 3"));
    CPPUNIT_ASSERT(holds("x_seconds_count{route=\"a\"} 3"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistogramTest);

}  // namespace pumicedyke
