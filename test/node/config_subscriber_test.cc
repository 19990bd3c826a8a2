// What a feed proves to the node that follows it.
#include "node/config_subscriber.h"

#include <cppunit/extensions/HelperMacros.h>

#include "wire/packing.h"

namespace pumicedyke::node {
namespace {

constexpr Timestamp kStart{Seconds(100)};

SubscriberOptions Options() {
  SubscriberOptions options;
  options.cluster = "c";
  options.node = "n";
  options.control_machines = 3;
  return options;
}

wire::ConfigFeed FullFeed(Timestamp echo, Duration proof_age) {
  wire::ConfigFeed feed;
  feed.full = true;
  feed.state = wire::Pack(config::ConfigState{}.Serialize());
  feed.echo = static_cast<uint64_t>(echo.time_since_epoch().count());
  feed.proof_age = proof_age;
  return feed;
}

}  // namespace

class ConfigSubscriberTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigSubscriberTest);
  CPPUNIT_TEST(NothingIsProvedBeforeTheFirstAnswer);
  CPPUNIT_TEST(ProofCountsFromTheQuestionLessTheSendersOwnAge);
  CPPUNIT_TEST(WhatAnswersNoGreetingProvesNothing);
  CPPUNIT_TEST(OlderProofTakesNothingBack);
  CPPUNIT_TEST(FeedThatCannotBeAppliedProvesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingIsProvedBeforeTheFirstAnswer() {
    // Right after the machine's start its clock is near zero.
    ConfigSubscriber subscriber(Options(), Timestamp{});
    CPPUNIT_ASSERT(subscriber.proven_at() == kNeverProven);
    CPPUNIT_ASSERT(subscriber.Age(Timestamp{Seconds(2)}) == Seconds(2));
  }

  void ProofCountsFromTheQuestionLessTheSendersOwnAge() {
    ConfigSubscriber subscriber(Options(), kStart);
    const Timestamp answered = kStart + Seconds(3);
    subscriber.OnFeed(answered, FullFeed(kStart + Seconds(1), Milliseconds(400)));
    CPPUNIT_ASSERT(subscriber.proven_at() == kStart + Milliseconds(600));
  }

  void WhatAnswersNoGreetingProvesNothing() {
    ConfigSubscriber subscriber(Options(), kStart);
    wire::ConfigFeed feed = FullFeed(kStart, {});
    feed.echo = 0;
    subscriber.OnFeed(kStart + Seconds(1), feed);
    CPPUNIT_ASSERT(subscriber.ready());
    CPPUNIT_ASSERT(subscriber.proven_at() == kNeverProven);
  }

  void OlderProofTakesNothingBack() {
    ConfigSubscriber subscriber(Options(), kStart);
    subscriber.OnFeed(kStart + Seconds(1), FullFeed(kStart + Seconds(1), {}));
    subscriber.OnFeed(kStart + Seconds(2), FullFeed(kStart + Seconds(2), Seconds(9)));
    CPPUNIT_ASSERT(subscriber.proven_at() == kStart + Seconds(1));
  }

  /// A change is missing between what the node has and what the feed tells.
  void FeedThatCannotBeAppliedProvesNothing() {
    ConfigSubscriber subscriber(Options(), kStart);
    subscriber.OnFeed(kStart, FullFeed(kStart, {}));
    wire::ConfigFeed feed;
    feed.version = 2;
    feed.echo = static_cast<uint64_t>((kStart + Seconds(1)).time_since_epoch().count());
    feed.changes.push_back({2, wire::Pack("{}")});
    subscriber.OnFeed(kStart + Seconds(1), feed);
    CPPUNIT_ASSERT(subscriber.proven_at() == kStart);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigSubscriberTest);

}  // namespace pumicedyke::node
