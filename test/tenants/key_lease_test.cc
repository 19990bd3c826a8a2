// How long keys are served by a proof, in the arithmetic that the bound rests on.
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
  CPPUNIT_TEST(ProofHoldsForItsLengthAndNoLonger);
  CPPUNIT_TEST(WithoutABoundKeysNeedNoProof);
  CPPUNIT_TEST(NothingIsServedBeforeTheFirstProof);
  CPPUNIT_TEST(ClocksATenthApartKeepTheBound);
  CPPUNIT_TEST(TwoSilentControlMachinesCostNobodyTheLease);
  CPPUNIT_TEST(TimeToComeBackGrowsWithTheOutage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ProofHoldsForItsLengthAndNoLonger() {
    const Timestamp last = kStart + LeaseLength(kOptions) - Duration(1);
    CPPUNIT_ASSERT(KeysProven(kOptions, last, kStart));
    CPPUNIT_ASSERT(!KeysProven(kOptions, last + Duration(1), kStart));
  }

  void WithoutABoundKeysNeedNoProof() {
    CPPUNIT_ASSERT(KeysProven({}, kStart, node::kNeverProven));
    CPPUNIT_ASSERT(SilenceLimit({}, Seconds(1)) == Seconds(1));
  }

  /// Also where the machine has just started and its clock is near zero.
  void NothingIsServedBeforeTheFirstProof() {
    CPPUNIT_ASSERT(!KeysProven(kOptions, Timestamp{}, node::kNeverProven));
    CPPUNIT_ASSERT(!KeysProven(kOptions, kStart, node::kNeverProven));
  }

  void ClocksATenthApartKeepTheBound() {
    constexpr double kSlowest = 1.1;
    CPPUNIT_ASSERT(LeaseLength(kOptions) * kSlowest < kBound);
  }

  /// The proof in hand may be as old as two greetings and two control machines' heartbeats.
  void TwoSilentControlMachinesCostNobodyTheLease() {
    const node::SubscriberOptions usual;
    const Duration oldest_in_service = 2 * usual.hello_interval + Milliseconds(150);
    const Duration silent = SilenceLimit(kOptions, usual.silence_limit);
    constexpr double kOwed = 0.6;
    CPPUNIT_ASSERT(silent >= 2 * usual.hello_interval);
    CPPUNIT_ASSERT(oldest_in_service + 2 * silent < kOwed * kBound);
    // A gateway that has just lost its way serves for as long as it is owed.
    CPPUNIT_ASSERT(LeaseLength(kOptions) - oldest_in_service >= kOwed * kBound);
  }

  void TimeToComeBackGrowsWithTheOutage() {
    const Timestamp over = kStart + LeaseLength(kOptions);
    CPPUNIT_ASSERT(RetryWhenUnproven(kOptions, over, kStart) == kOptions.shortest_retry);
    CPPUNIT_ASSERT(RetryWhenUnproven(kOptions, over + Seconds(1), kStart) == Seconds(1));
    CPPUNIT_ASSERT(RetryWhenUnproven(kOptions, over + Seconds(60), kStart) ==
                   kOptions.longest_retry);
    CPPUNIT_ASSERT(RetryWhenUnproven(kOptions, kStart, node::kNeverProven) ==
                   kOptions.longest_retry);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KeyLeaseTest);

}  // namespace pumicedyke::tenants
