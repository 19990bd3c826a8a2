// Tests how long keys are served after a proof, including the arithmetic behind the bound.
#include "tenants/key_lease.h"

#include <cppunit/extensions/HelperMacros.h>

#include "node/config_subscriber.h"

namespace pumicedyke::tenants {
namespace {

constexpr Timestamp kStart{Seconds(100)};
constexpr Duration kBound = Milliseconds(5000);
const KeyLeaseOptions kOptions{.revocation_bound = kBound};

}  // namespace

class KeyLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyLeaseTest);
  CPPUNIT_TEST(ProofIsValidForTheLeaseLengthOnly);
  CPPUNIT_TEST(WithoutABoundKeysNeedNoProof);
  CPPUNIT_TEST(NothingIsServedBeforeTheFirstProof);
  CPPUNIT_TEST(ClockDriftOfTenPercentKeepsTheBound);
  CPPUNIT_TEST(TwoSilentControlMachinesDoNotExhaustTheLease);
  CPPUNIT_TEST(RetryDelayGrowsWithTheOutage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ProofIsValidForTheLeaseLengthOnly() {
    const Timestamp last = kStart + LeaseLength(kOptions) - Duration(1);
    CPPUNIT_ASSERT(KeysProven(kOptions, last, kStart));
    CPPUNIT_ASSERT(!KeysProven(kOptions, last + Duration(1), kStart));
  }

  void WithoutABoundKeysNeedNoProof() {
    CPPUNIT_ASSERT(KeysProven({}, kStart, node::kNeverProven));
    CPPUNIT_ASSERT(SilenceLimit({}, Seconds(1)) == Seconds(1));
  }

  /// This also holds on a machine that has just started, where the clock is near zero.
  void NothingIsServedBeforeTheFirstProof() {
    CPPUNIT_ASSERT(!KeysProven(kOptions, Timestamp{}, node::kNeverProven));
    CPPUNIT_ASSERT(!KeysProven(kOptions, kStart, node::kNeverProven));
  }

  void ClockDriftOfTenPercentKeepsTheBound() {
    constexpr double kMaxClockRatio = 1.1;
    CPPUNIT_ASSERT(LeaseLength(kOptions) * kMaxClockRatio < kBound);
  }

  /// The current proof may be as old as two hellos and two heartbeats of control machines.
  void TwoSilentControlMachinesDoNotExhaustTheLease() {
    const node::SubscriberOptions usual;
    const Duration oldest_in_service = 2 * usual.hello_interval + Milliseconds(150);
    const Duration silent = SilenceLimit(kOptions, usual.silence_limit);
    constexpr double kRequiredShare = 0.6;
    CPPUNIT_ASSERT(silent >= 2 * usual.hello_interval);
    CPPUNIT_ASSERT(oldest_in_service + 2 * silent < kRequiredShare * kBound);
    // A gateway that has just lost contact must still serve for the required time.
    CPPUNIT_ASSERT(LeaseLength(kOptions) - oldest_in_service >= kRequiredShare * kBound);
  }

  void RetryDelayGrowsWithTheOutage() {
    const Timestamp over = kStart + LeaseLength(kOptions);
    CPPUNIT_ASSERT(RetryWhenUnproven(kOptions, over, kStart) == kOptions.min_retry_after);
    CPPUNIT_ASSERT(RetryWhenUnproven(kOptions, over + Seconds(1), kStart) == Seconds(1));
    CPPUNIT_ASSERT(RetryWhenUnproven(kOptions, over + Seconds(60), kStart) ==
                   kOptions.max_retry_after);
    CPPUNIT_ASSERT(RetryWhenUnproven(kOptions, kStart, node::kNeverProven) ==
                   kOptions.max_retry_after);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KeyLeaseTest);

}  // namespace pumicedyke::tenants
