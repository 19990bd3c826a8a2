// Tests the repetition of reports until a control machine acknowledges them.
#include "quarantine/report_sender.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <vector>

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

std::vector<uint64_t> Numbers(const std::vector<wire::RunReport>& reports) {
  std::vector<uint64_t> numbers;
  numbers.reserve(reports.size());
  for (const wire::RunReport& report : reports) {
    numbers.push_back(report.number);
  }
  return numbers;
}

}  // namespace

class ReportSenderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportSenderTest);
  CPPUNIT_TEST(ReportIsSentUntilAcknowledged);
  CPPUNIT_TEST(ReportsAreSentInOrderWithoutWaitingForEachOther);
  CPPUNIT_TEST(ClearedLossesAreNotRepeated);
  CPPUNIT_TEST(RepetitionsAreBoundedAndReachEachReport);
  CPPUNIT_TEST(AcknowledgementMakesTheOthersDue);
  CPPUNIT_TEST(BrokenConnectionRepeatsAtOnce);
  CPPUNIT_TEST(PendingReportsAreBounded);
  CPPUNIT_TEST(OldReportsAreDropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportIsSentUntilAcknowledged() {
    const ReportSenderOptions options;
    ReportSender sender(kReporter, options);
    CPPUNIT_ASSERT(!sender.next().has_value());
    sender.Add(kStart, Lost("a"));
    const auto first = sender.TakeDue(kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, first.size());
    CPPUNIT_ASSERT_EQUAL(kReporter, first.front().reporter);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, first.front().number);
    CPPUNIT_ASSERT(first.front().age == Duration(0));
    CPPUNIT_ASSERT(sender.TakeDue(kStart).empty());
    CPPUNIT_ASSERT(sender.next() == kStart + options.initial_repeat);
    const auto again = sender.TakeDue(kStart + options.initial_repeat);
    CPPUNIT_ASSERT(Numbers(again) == std::vector<uint64_t>{1});
    CPPUNIT_ASSERT(again.front().age == options.initial_repeat);
    // The delay grows with each repetition, up to a limit.
    Timestamp now = kStart;
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(*sender.next() - now <= options.max_repeat);
      now = *sender.next();
      CPPUNIT_ASSERT_EQUAL(size_t{1}, sender.TakeDue(now).size());
    }
    sender.OnAcknowledged(2);
    CPPUNIT_ASSERT(sender.next().has_value());
    sender.OnAcknowledged(1);
    CPPUNIT_ASSERT(!sender.next().has_value());
    CPPUNIT_ASSERT(sender.TakeDue(now + Seconds(60)).empty());
  }

  /// Guards against one acknowledgement that holds back all later reports.
  void ReportsAreSentInOrderWithoutWaitingForEachOther() {
    const ReportSenderOptions options;
    ReportSender sender(kReporter, options);
    sender.Add(kStart, Lost("a"));
    CPPUNIT_ASSERT(Numbers(sender.TakeDue(kStart)) == std::vector<uint64_t>{1});
    sender.Add(kStart + Milliseconds(20), Lost("b"));
    sender.Add(kStart + Milliseconds(20), Lost("c"));
    CPPUNIT_ASSERT(sender.next() <= kStart + Milliseconds(20));
    const auto later = sender.TakeDue(kStart + Milliseconds(30));
    CPPUNIT_ASSERT(Numbers(later) == (std::vector<uint64_t>{2, 3}));
    CPPUNIT_ASSERT(later.front().age == Milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), later.front().lost.front().leaf);
    sender.OnAcknowledged(2);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, sender.pending());
    CPPUNIT_ASSERT(sender.OldestAge(kStart + Seconds(1)) == Seconds(1));
    CPPUNIT_ASSERT(Numbers(sender.TakeDue(kStart + Seconds(1))) == (std::vector<uint64_t>{1, 3}));
  }

  /// A loss that is repeated after what cleared it would count again.
  void ClearedLossesAreNotRepeated() {
    ReportSender sender(kReporter);
    wire::RunReport losses = Lost("a");
    losses.lost.push_back({IdentityOf({"other"}), 1, "b", "s"});
    losses.lost.push_back({IdentityOf({"other"}), 1, "c", "s"});
    sender.Add(kStart, losses);
    sender.Add(kStart, Lost("d"));
    sender.TakeDue(kStart);
    wire::RunReport cleared;
    cleared.succeeded = {IdentityOf({"fatal"})};
    cleared.alive_leafs = {"b"};
    sender.Add(kStart + Milliseconds(1), cleared);
    const auto repeated = sender.TakeDue(kStart + Seconds(1));
    CPPUNIT_ASSERT(Numbers(repeated) == (std::vector<uint64_t>{1, 3}));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, repeated.front().lost.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), repeated.front().lost.front().leaf);
  }

  /// A control machine of an older version acknowledges none.
  void RepetitionsAreBoundedAndReachEachReport() {
    const ReportSenderOptions options;
    ReportSender sender(kReporter, options);
    constexpr uint64_t kReports = 40;
    for (uint64_t i = 0; i < kReports; ++i) {
      sender.Add(kStart, Lost(std::to_string(i)));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{kReports}, sender.TakeDue(kStart).size());
    std::set<uint64_t> repeated;
    size_t sent = 0;
    const Timestamp end = kStart + Seconds(60);
    for (Timestamp now = kStart; now < end; now = std::max(now + Milliseconds(1), *sender.next())) {
      const auto due = sender.TakeDue(now);
      CPPUNIT_ASSERT(due.size() <= options.max_repeats);
      sent += due.size();
      for (const wire::RunReport& report : due) {
        repeated.insert(report.number);
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{kReports}, repeated.size());
    const size_t repetitions_at_full_delay = Seconds(60) / options.max_repeat;
    CPPUNIT_ASSERT(sent <= options.max_repeats * (repetitions_at_full_delay + 6));
  }

  void AcknowledgementMakesTheOthersDue() {
    const ReportSenderOptions options;
    ReportSender sender(kReporter, options);
    for (size_t i = 0; i < 3 * options.max_repeats; ++i) {
      sender.Add(kStart, Lost(std::to_string(i)));
    }
    sender.TakeDue(kStart);
    const Timestamp now = kStart + Seconds(30);
    for (uint64_t first = 1; first <= 3 * options.max_repeats; first += options.max_repeats) {
      const auto due = sender.TakeDue(now);
      CPPUNIT_ASSERT_EQUAL(options.max_repeats, due.size());
      CPPUNIT_ASSERT_EQUAL(first, due.front().number);
      CPPUNIT_ASSERT(sender.TakeDue(now).empty());
      for (const wire::RunReport& report : due) {
        sender.OnAcknowledged(report.number);
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, sender.pending());
  }

  void BrokenConnectionRepeatsAtOnce() {
    ReportSender sender(kReporter);
    sender.Add(kStart, Lost("a"));
    sender.TakeDue(kStart);
    sender.RepeatNow();
    CPPUNIT_ASSERT(Numbers(sender.TakeDue(kStart + Milliseconds(1))) == std::vector<uint64_t>{1});
    CPPUNIT_ASSERT(sender.TakeDue(kStart + Milliseconds(2)).empty());
  }

  void PendingReportsAreBounded() {
    const ReportSenderOptions options;
    ReportSender sender(kReporter, options);
    for (size_t i = 0; i < options.max_pending + 3; ++i) {
      sender.Add(kStart, Lost(std::to_string(i)));
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, sender.dropped());
    CPPUNIT_ASSERT_EQUAL(options.max_pending, sender.pending());
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, sender.TakeDue(kStart).front().number);
  }

  void OldReportsAreDropped() {
    const ReportSenderOptions options;
    ReportSender sender(kReporter, options);
    sender.Add(kStart, Lost("a"));
    sender.TakeDue(kStart);
    sender.Add(kStart + Seconds(1), Lost("b"));
    const Timestamp late = kStart + options.max_age + Milliseconds(1);
    CPPUNIT_ASSERT(Numbers(sender.TakeDue(late)) == std::vector<uint64_t>{2});
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, sender.dropped());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReportSenderTest);

}  // namespace pumicedyke::quarantine
