// Tests of what a feed proves to the node that receives it.
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
  CPPUNIT_TEST(NothingIsProvedBeforeFirstAnswer);
  CPPUNIT_TEST(ProofTimeIsHelloTimeLessProofAge);
  CPPUNIT_TEST(FeedWithoutHelloProvesNothing);
  CPPUNIT_TEST(OlderProofIsIgnored);
  CPPUNIT_TEST(InapplicableFeedProvesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingIsProvedBeforeFirstAnswer() {
    // Right after boot the clock is near zero.
    ConfigSubscriber subscriber(Options(), Timestamp{});
    CPPUNIT_ASSERT(subscriber.proven_at() == kNeverProven);
    CPPUNIT_ASSERT(subscriber.Age(Timestamp{Seconds(2)}) == Seconds(2));
  }

  void ProofTimeIsHelloTimeLessProofAge() {
    ConfigSubscriber subscriber(Options(), kStart);
    const Timestamp answered = kStart + Seconds(3);
    subscriber.OnFeed(answered, FullFeed(kStart + Seconds(1), Milliseconds(400)));
    CPPUNIT_ASSERT(subscriber.proven_at() == kStart + Milliseconds(600));
  }

  void FeedWithoutHelloProvesNothing() {
    ConfigSubscriber subscriber(Options(), kStart);
    wire::ConfigFeed feed = FullFeed(kStart, {});
    feed.echo = 0;
    subscriber.OnFeed(kStart + Seconds(1), feed);
    CPPUNIT_ASSERT(subscriber.ready());
    CPPUNIT_ASSERT(subscriber.proven_at() == kNeverProven);
  }

  void OlderProofIsIgnored() {
    ConfigSubscriber subscriber(Options(), kStart);
    subscriber.OnFeed(kStart + Seconds(1), FullFeed(kStart + Seconds(1), {}));
    subscriber.OnFeed(kStart + Seconds(2), FullFeed(kStart + Seconds(2), Seconds(9)));
    CPPUNIT_ASSERT(subscriber.proven_at() == kStart + Seconds(1));
  }

  /// A change is missing between the version of the node and the feed.
  void InapplicableFeedProvesNothing() {
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
