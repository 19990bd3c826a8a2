// Tests the repetition of reports until a control machine acknowledges them.
#include "quarantine/report_sender.h"

#include <cppunit/extensions/HelperMacros.h>

#include "common/request_identity.h"

namespace pumicedyke::quarantine {
namespace {

constexpr Timestamp kStart{Seconds(100)};
constexpr uint64_t kReporter = 7;

wire::RunReport Lost(const std::string& leaf) {
  wire::RunReport report;
  report.lost = {{IdentityOf({"fatal"}), 1, leaf, "s"}};
  return report;
}

}  // namespace

class ReportSenderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportSenderTest);
  CPPUNIT_TEST(ReportIsSentUntilAcknowledged);
  CPPUNIT_TEST(ReportsAreSentInOrder);
  CPPUNIT_TEST(BrokenConnectionRepeatsAtOnce);
  CPPUNIT_TEST(PendingReportsAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportIsSentUntilAcknowledged() {
    const ReportSenderOptions options;
    ReportSender sender(kReporter, options);
    CPPUNIT_ASSERT(!sender.next().has_value());
    sender.Add(kStart, Lost("a"));
    const auto first = sender.TakeDue(kStart);
    CPPUNIT_ASSERT(first.has_value());
    CPPUNIT_ASSERT_EQUAL(kReporter, first->reporter);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, first->number);
    CPPUNIT_ASSERT(first->age == Duration(0));
    CPPUNIT_ASSERT(!sender.TakeDue(kStart).has_value());
    CPPUNIT_ASSERT(sender.next() == kStart + options.initial_repeat);
    const auto again = sender.TakeDue(kStart + options.initial_repeat);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, again->number);
    CPPUNIT_ASSERT(again->age == options.initial_repeat);
    // The delay grows with each repetition, up to a limit.
    Timestamp now = kStart;
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(*sender.next() - now <= options.max_repeat);
      now = *sender.next();
      CPPUNIT_ASSERT(sender.TakeDue(now).has_value());
    }
    sender.OnAcknowledged(2);
    CPPUNIT_ASSERT(sender.next().has_value());
    sender.OnAcknowledged(1);
    CPPUNIT_ASSERT(!sender.next().has_value());
    CPPUNIT_ASSERT(!sender.TakeDue(now + Seconds(60)).has_value());
  }

  /// A reported success that overtook the losses before it would be revoked by them.
  void ReportsAreSentInOrder() {
    ReportSender sender(kReporter);
    sender.Add(kStart, Lost("a"));
    sender.Add(kStart + Milliseconds(20), Lost("b"));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sender.TakeDue(kStart)->lost.front().leaf);
    CPPUNIT_ASSERT(!sender.TakeDue(kStart + Milliseconds(30)).has_value());
    sender.OnAcknowledged(1);
    const auto second = sender.TakeDue(kStart + Milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, second->number);
    CPPUNIT_ASSERT(second->age == Milliseconds(10));
  }

  void BrokenConnectionRepeatsAtOnce() {
    ReportSender sender(kReporter);
    sender.Add(kStart, Lost("a"));
    sender.TakeDue(kStart);
    sender.RepeatNow();
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, sender.TakeDue(kStart + Milliseconds(1))->number);
    CPPUNIT_ASSERT(!sender.TakeDue(kStart + Milliseconds(2)).has_value());
  }

  void PendingReportsAreBounded() {
    const ReportSenderOptions options;
    ReportSender sender(kReporter, options);
    for (size_t i = 0; i < options.max_pending + 3; ++i) {
      sender.Add(kStart, Lost(std::to_string(i)));
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, sender.dropped());
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, sender.TakeDue(kStart)->number);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReportSenderTest);

}  // namespace pumicedyke::quarantine
