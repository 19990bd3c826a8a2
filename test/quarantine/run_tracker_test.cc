// Tests what a gateway reports to the control machines about runs lost in leaf crashes.
#include "quarantine/run_tracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::quarantine {
namespace {

constexpr Timestamp kStart{Seconds(100)};
const RequestIdentity kRequest = IdentityOf({"request"});

struct TrackedRuns {
  RunTracker run_tracker{RunTrackerOptions{}};
  Timestamp now = kStart;
  uint64_t sent = 0;

  SubRequestId Send(const std::string& leaf, const RequestIdentity& request = kRequest) {
    const SubRequestId id{++sent};
    run_tracker.OnSent(id, {request, /*attempt=*/7, leaf, "s", now});
    now += Milliseconds(1);
    return id;
  }
  void Lose(SubRequestId id) {
    query::LeafReply reply;
    reply.id = id;
    reply.status = query::LeafStatus::kFailed;
    reply.connection_lost = true;
    run_tracker.OnEnded(now, reply);
  }
  void Answer(SubRequestId id, query::LeafStatus status) {
    query::LeafReply reply;
    reply.id = id;
    reply.status = status;
    run_tracker.OnEnded(now, reply);
  }
};

}  // namespace

class RunTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunTrackerTest);
  CPPUNIT_TEST(LostRunsAreReportedOnce);
  CPPUNIT_TEST(RequestIsSuspectAtThreeLeafsUntilItSucceeds);
  CPPUNIT_TEST(LeafThatAnswersLaterIsReported);
  CPPUNIT_TEST(QuarantinedRequestThatSucceededIsReportedAgain);
  CPPUNIT_TEST(RunsOfUnknownRequestsAreNotTracked);
  CPPUNIT_TEST(WarningHoldsUntilSuccessOrExpiry);
  CPPUNIT_TEST(EachSuspectCountsOnce);
  CPPUNIT_TEST(SuspectsAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LostRunsAreReportedOnce() {
    TrackedRuns tracked;
    tracked.Lose(tracked.Send("a"));
    tracked.Answer(tracked.Send("b"), query::LeafStatus::kFailed);
    tracked.Answer(tracked.Send("c"), query::LeafStatus::kNotSent);
    const auto report = tracked.run_tracker.TakeReport();
    CPPUNIT_ASSERT(report.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, report->lost.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), report->lost.front().leaf);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), report->lost.front().service);
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, report->lost.front().attempt);
    CPPUNIT_ASSERT(report->lost.front().identity == kRequest);
    CPPUNIT_ASSERT(!tracked.run_tracker.TakeReport().has_value());
  }

  void RequestIsSuspectAtThreeLeafsUntilItSucceeds() {
    TrackedRuns tracked;
    for (const char* leaf : {"a", "b", "b"}) {
      tracked.Lose(tracked.Send(leaf));
    }
    CPPUNIT_ASSERT(!tracked.run_tracker.IsSuspect(tracked.now, kRequest));
    tracked.Lose(tracked.Send("c"));
    CPPUNIT_ASSERT(tracked.run_tracker.IsSuspect(tracked.now, kRequest));
    CPPUNIT_ASSERT(!tracked.run_tracker.IsSuspect(tracked.now, IdentityOf({"another"})));
    tracked.Answer(tracked.Send("d"), query::LeafStatus::kOk);
    CPPUNIT_ASSERT(!tracked.run_tracker.IsSuspect(tracked.now, kRequest));
    CPPUNIT_ASSERT(tracked.run_tracker.TakeReport()->succeeded == std::vector{kRequest});
  }

  void LeafThatAnswersLaterIsReported() {
    TrackedRuns tracked;
    const SubRequestId before = tracked.Send("a");
    tracked.Lose(tracked.Send("a"));
    tracked.run_tracker.TakeReport();
    // Sent before the loss, so the answer does not show that the leaf survived it.
    tracked.Answer(before, query::LeafStatus::kShed);
    CPPUNIT_ASSERT(!tracked.run_tracker.TakeReport().has_value());
    // kDraining may come from another leaf that now has the address.
    tracked.Answer(tracked.Send("a"), query::LeafStatus::kDraining);
    CPPUNIT_ASSERT(!tracked.run_tracker.TakeReport().has_value());
    tracked.Answer(tracked.Send("a", IdentityOf({"another"})), query::LeafStatus::kShed);
    CPPUNIT_ASSERT(tracked.run_tracker.TakeReport()->alive_leafs == std::vector<std::string>{"a"});
  }

  void QuarantinedRequestThatSucceededIsReportedAgain() {
    TrackedRuns tracked;
    tracked.Lose(tracked.Send("a"));
    tracked.Answer(tracked.Send("b"), query::LeafStatus::kOk);
    tracked.run_tracker.TakeReport();
    tracked.run_tracker.OnQuarantined({IdentityOf({"another"})});
    CPPUNIT_ASSERT(!tracked.run_tracker.TakeReport().has_value());
    tracked.run_tracker.OnQuarantined({kRequest});
    CPPUNIT_ASSERT(tracked.run_tracker.TakeReport()->succeeded == std::vector{kRequest});
  }

  void RunsOfUnknownRequestsAreNotTracked() {
    TrackedRuns tracked;
    tracked.Lose(tracked.Send("a", RequestIdentity{}));
    CPPUNIT_ASSERT(!tracked.run_tracker.has_report());
  }

  /// A warning passes the observations of one gateway on to the others.
  void WarningHoldsUntilSuccessOrExpiry() {
    TrackedRuns tracked;
    tracked.run_tracker.OnSuspectNotice(tracked.now, {kRequest});
    CPPUNIT_ASSERT(tracked.run_tracker.IsSuspect(tracked.now, kRequest));
    CPPUNIT_ASSERT(
        !tracked.run_tracker.IsSuspect(tracked.now + RunTrackerOptions{}.warning, kRequest));
    tracked.Answer(tracked.Send("a"), query::LeafStatus::kOk);
    CPPUNIT_ASSERT(!tracked.run_tracker.IsSuspect(tracked.now, kRequest));
    CPPUNIT_ASSERT(tracked.run_tracker.TakeReport()->succeeded == std::vector{kRequest});
  }

  void EachSuspectCountsOnce() {
    TrackedRuns tracked;
    const RequestIdentity warned_only = IdentityOf({"warned"});
    tracked.run_tracker.OnSuspectNotice(tracked.now, {kRequest, warned_only});
    for (const char* leaf : {"a", "b", "c"}) {
      tracked.Lose(tracked.Send(leaf));
    }
    const Timestamp expiry = tracked.now + RunTrackerOptions{}.warning;
    CPPUNIT_ASSERT_EQUAL(size_t{2}, tracked.run_tracker.CountSuspects(tracked.now));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, tracked.run_tracker.CountSuspects(expiry));
    tracked.Answer(tracked.Send("d"), query::LeafStatus::kOk);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, tracked.run_tracker.CountSuspects(tracked.now));
  }

  void SuspectsAreBounded() {
    TrackedRuns tracked;
    for (const char* leaf : {"a", "b", "c"}) {
      tracked.Lose(tracked.Send(leaf));
    }
    for (size_t i = 0; i < RunTrackerOptions{}.max_suspects; ++i) {
      tracked.Lose(tracked.Send("a", IdentityOf({"other", std::to_string(i)})));
    }
    CPPUNIT_ASSERT(!tracked.run_tracker.IsSuspect(tracked.now, kRequest));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RunTrackerTest);

}  // namespace pumicedyke::quarantine
