// What a gateway tells control of runs that were lost with their leaf.
#include "quarantine/run_witness.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::quarantine {
namespace {

constexpr Timestamp kStart{Seconds(100)};
const RequestIdentity kRequest = IdentityOf({"request"});

struct Watched {
  RunWitness witness{WitnessOptions{}};
  Timestamp now = kStart;
  uint64_t sent = 0;

  SubRequestId Send(const std::string& leaf, const RequestIdentity& request = kRequest) {
    const SubRequestId id{++sent};
    witness.OnSent(id, {request, /*attempt=*/7, leaf, "s", now});
    now += Milliseconds(1);
    return id;
  }
  void Lose(SubRequestId id) {
    query::LeafReply reply;
    reply.id = id;
    reply.status = query::LeafStatus::kFailed;
    reply.connection_lost = true;
    witness.OnEnded(now, reply);
  }
  void Answer(SubRequestId id, query::LeafStatus status) {
    query::LeafReply reply;
    reply.id = id;
    reply.status = status;
    witness.OnEnded(now, reply);
  }
};

}  // namespace

class RunWitnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunWitnessTest);
  CPPUNIT_TEST(LostRunsAreToldOnce);
  CPPUNIT_TEST(RequestIsSuspectAtThreeLeafsUntilItSucceeds);
  CPPUNIT_TEST(LeafThatAnswersLaterIsToldOf);
  CPPUNIT_TEST(StoppedRequestThatSucceededHereIsToldOfAgain);
  CPPUNIT_TEST(RunsOfUnknownRequestsAreNotWatched);
  CPPUNIT_TEST(WarningCountsUntilTheRequestSucceedsOrForAWhile);
  CPPUNIT_TEST(SuspectsAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LostRunsAreToldOnce() {
    Watched watched;
    watched.Lose(watched.Send("a"));
    watched.Answer(watched.Send("b"), query::LeafStatus::kFailed);
    watched.Answer(watched.Send("c"), query::LeafStatus::kNotSent);
    const auto report = watched.witness.TakeReport();
    CPPUNIT_ASSERT(report.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, report->lost.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), report->lost.front().leaf);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), report->lost.front().service);
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, report->lost.front().attempt);
    CPPUNIT_ASSERT(report->lost.front().identity == kRequest);
    CPPUNIT_ASSERT(!watched.witness.TakeReport().has_value());
  }

  void RequestIsSuspectAtThreeLeafsUntilItSucceeds() {
    Watched watched;
    for (const char* leaf : {"a", "b", "b"}) {
      watched.Lose(watched.Send(leaf));
    }
    CPPUNIT_ASSERT(!watched.witness.IsSuspect(watched.now, kRequest));
    watched.Lose(watched.Send("c"));
    CPPUNIT_ASSERT(watched.witness.IsSuspect(watched.now, kRequest));
    CPPUNIT_ASSERT(!watched.witness.IsSuspect(watched.now, IdentityOf({"another"})));
    watched.Answer(watched.Send("d"), query::LeafStatus::kOk);
    CPPUNIT_ASSERT(!watched.witness.IsSuspect(watched.now, kRequest));
    CPPUNIT_ASSERT(watched.witness.TakeReport()->succeeded == std::vector{kRequest});
  }

  void LeafThatAnswersLaterIsToldOf() {
    Watched watched;
    const SubRequestId before = watched.Send("a");
    watched.Lose(watched.Send("a"));
    watched.witness.TakeReport();
    // Sent before the loss: says nothing of the leaf after it.
    watched.Answer(before, query::LeafStatus::kShed);
    CPPUNIT_ASSERT(!watched.witness.TakeReport().has_value());
    // Another leaf has the address.
    watched.Answer(watched.Send("a"), query::LeafStatus::kDraining);
    CPPUNIT_ASSERT(!watched.witness.TakeReport().has_value());
    watched.Answer(watched.Send("a", IdentityOf({"another"})), query::LeafStatus::kShed);
    CPPUNIT_ASSERT(watched.witness.TakeReport()->answering == std::vector<std::string>{"a"});
  }

  void StoppedRequestThatSucceededHereIsToldOfAgain() {
    Watched watched;
    watched.Lose(watched.Send("a"));
    watched.Answer(watched.Send("b"), query::LeafStatus::kOk);
    watched.witness.TakeReport();
    watched.witness.OnQuarantined({IdentityOf({"another"})});
    CPPUNIT_ASSERT(!watched.witness.TakeReport().has_value());
    watched.witness.OnQuarantined({kRequest});
    CPPUNIT_ASSERT(watched.witness.TakeReport()->succeeded == std::vector{kRequest});
  }

  void RunsOfUnknownRequestsAreNotWatched() {
    Watched watched;
    watched.Lose(watched.Send("a", RequestIdentity{}));
    CPPUNIT_ASSERT(!watched.witness.has_report());
  }

  /// What one gateway has seen the next one knows.
  void WarningCountsUntilTheRequestSucceedsOrForAWhile() {
    Watched watched;
    watched.witness.OnWarned(watched.now, {kRequest});
    CPPUNIT_ASSERT(watched.witness.IsSuspect(watched.now, kRequest));
    CPPUNIT_ASSERT(!watched.witness.IsSuspect(watched.now + WitnessOptions{}.warning, kRequest));
    watched.Answer(watched.Send("a"), query::LeafStatus::kOk);
    CPPUNIT_ASSERT(!watched.witness.IsSuspect(watched.now, kRequest));
    CPPUNIT_ASSERT(watched.witness.TakeReport()->succeeded == std::vector{kRequest});
  }

  void SuspectsAreBounded() {
    Watched watched;
    for (const char* leaf : {"a", "b", "c"}) {
      watched.Lose(watched.Send(leaf));
    }
    for (size_t i = 0; i < WitnessOptions{}.most_suspects; ++i) {
      watched.Lose(watched.Send("a", IdentityOf({"other", std::to_string(i)})));
    }
    CPPUNIT_ASSERT(!watched.witness.IsSuspect(watched.now, kRequest));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RunWitnessTest);

}  // namespace pumicedyke::quarantine
