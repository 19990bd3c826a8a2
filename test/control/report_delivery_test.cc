// Tests how long fatal requests go on after the evidence against them is complete: a gateway's
// reports reach a group of control machines, some of which are lost or of an older version.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "control/control_group.h"
#include "quarantine/report_sender.h"

namespace pumicedyke::control {
namespace {

/// Interval between the crashes of one request.
constexpr Duration kCrashInterval = Milliseconds(300);
/// A report is sent within a tick, evidence settles for 0.1 s at a leader and 0.4 s elsewhere and
/// is looked at ten times a second; an election may come between.
constexpr Duration kMaxTimeToStop = Milliseconds(600);
constexpr Duration kMaxTimeWithElection = Milliseconds(1800);

/// A gateway that reports lost runs to all machines of a group.
class ReportingGateway {
 public:
  explicit ReportingGateway(Group* group) : group_(group) {}

  /// Machines neither acknowledge reports nor know how: an older version.
  void IgnoreAcknowledgements() { acknowledged_by_none_ = true; }
  /// Reports that the request crashed one more leaf.
  void ReportCrash(const RequestIdentity& request) {
    ++crashes_;
    wire::RunReport report;
    report.lost = {{request, crashes_, "leaf" + std::to_string(crashes_), "s"}};
    sender_.Add(group_->now(), std::move(report));
  }
  size_t crashes() const { return crashes_; }
  /// Lets time pass until the condition holds. @return the time; unset if it never held.
  std::optional<Duration> RunUntil(const std::function<bool()>& condition) {
    const Timestamp start = group_->now();
    while (!condition()) {
      if (group_->now() - start > Seconds(20)) {
        return std::nullopt;
      }
      Step();
    }
    return group_->now() - start;
  }
  void RunFor(Duration time) {
    const Timestamp end = group_->now() + time;
    RunUntil([&] { return group_->now() >= end; });
  }

 private:
  void Step() {
    for (wire::RunReport& report : sender_.TakeDue(group_->now())) {
      report.relayed = true;
      for (MemberId id = 1; id <= kMachines; ++id) {
        if (group_->InReach(id)) {
          group_->Deliver(id, report);
        }
      }
    }
    group_->RunFor(kStep);
    for (const uint64_t number : group_->TakeAcknowledged()) {
      if (!acknowledged_by_none_) {
        sender_.OnAcknowledged(number);
      }
    }
  }

  Group* group_;
  quarantine::ReportSender sender_{/*reporter=*/7};
  bool acknowledged_by_none_ = false;
  uint64_t crashes_ = 0;
};

RequestIdentity FatalRequest(int number) { return IdentityOf({"fatal", std::to_string(number)}); }

/// Whether every machine of the majority side stops the request.
bool IsStopped(const Group& group, const RequestIdentity& request, const std::set<MemberId>& lost) {
  for (MemberId id = 1; id <= kMachines; ++id) {
    if (!lost.contains(id) && !group.at(id).state().config().IsQuarantined(request)) {
      return false;
    }
  }
  return true;
}

}  // namespace

class ReportDeliveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportDeliveryTest);
  CPPUNIT_TEST(ControlIsWell);
  CPPUNIT_TEST(LeaderIsKilled);
  CPPUNIT_TEST(TwoMachinesAreCutOff);
  CPPUNIT_TEST(ControlOfAnOlderVersion);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ControlIsWell() {
    CheckAllStopped("well", kMaxTimeToStop, [](Group*, MemberId) {});
  }

  void LeaderIsKilled() {
    CheckAllStopped("leader killed", kMaxTimeWithElection, [this](Group* group, MemberId leader) {
      group->Pause(leader);
      lost_ = {leader};
    });
  }

  void TwoMachinesAreCutOff() {
    CheckAllStopped("two cut off", kMaxTimeWithElection, [this](Group* group, MemberId leader) {
      lost_ = {leader, group->Other(leader)};
      group->Split(lost_);
    });
  }

  /// Guards a rolling upgrade: no report waits for an acknowledgement.
  void ControlOfAnOlderVersion() {
    acknowledges_ = false;
    CheckAllStopped("older version", kMaxTimeToStop, [](Group*, MemberId) {});
  }

 private:
  using FaultCb = std::function<void(Group* group, MemberId leader)>;

  /// Several fatal requests crash three leafs each, one after the other. The fault occurs just
  /// before the last crash of the second one.
  void CheckAllStopped(const std::string& name, Duration bound, const FaultCb& fault) {
    Group group;
    const MemberId leader = group.WaitForLeader();
    ReportingGateway gateway(&group);
    if (!acknowledges_) {
      gateway.IgnoreAcknowledgements();
    }
    constexpr int kFatalRequests = 4;
    for (int i = 0; i < kFatalRequests; ++i) {
      const RequestIdentity request = FatalRequest(i);
      gateway.ReportCrash(request);
      gateway.RunFor(kCrashInterval);
      gateway.ReportCrash(request);
      gateway.RunFor(kCrashInterval);
      if (i == 1) {
        fault(&group, leader);
      }
      gateway.ReportCrash(request);
      const auto took = gateway.RunUntil([&] { return IsStopped(group, request, lost_); });
      CPPUNIT_ASSERT_MESSAGE(name, took.has_value());
      std::cout << "    " << name << ": stopped after " << ToMilliseconds(*took) << " ms\n";
      CPPUNIT_ASSERT_MESSAGE(name, *took <= bound);
      // A repeated report counts once, also if it is never acknowledged.
      const MemberId reached = group.Other(leader, 2);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, gateway.crashes(), group.at(reached).evidence().leafs());
    }
  }

  std::set<MemberId> lost_;
  bool acknowledges_ = true;
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReportDeliveryTest);

}  // namespace pumicedyke::control
