// Tests admission by the fullness of the leafs of each shard.
#include "balance/admission_throttle.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace pumicedyke::balance {

class AdmissionThrottleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionThrottleTest);
  CPPUNIT_TEST(EmptyLeafsAdmitEverything);
  CPPUNIT_TEST(OneFullShardThrottlesQueriesThatNeedIt);
  CPPUNIT_TEST(HigherPrioritiesAreRefusedLater);
  CPPUNIT_TEST(ShareRecoversWhenTheLeafEmpties);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {  // NOLINT(readability-identifier-naming)
    pool_ = std::make_unique<LeafPool>(BalanceKnobs{}, 1);
    throttle_ = std::make_unique<AdmissionThrottle>(BalanceKnobs{});
    for (const std::string leaf : {"a", "b"}) {
      pool_->Configure(now_, leaf, kSlots);
    }
    shards_ = {{ShardId{1}, {"a"}}, {ShardId{2}, {"b"}}};
  }

  void EmptyLeafsAdmitEverything() {
    Report(Seconds(2), 0, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, throttle_->AdmittedShare({}, 5), 1e-9);
  }

  void OneFullShardThrottlesQueriesThatNeedIt() {
    Report(Seconds(1), 2 * kSlots, 0);
    CPPUNIT_ASSERT(throttle_->AdmittedShare({}, 5) < 0.9);
    CPPUNIT_ASSERT(throttle_->AdmittedShare({ShardId{1}}, 5) < 0.9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, throttle_->AdmittedShare({ShardId{2}}, 5), 1e-9);
  }

  void HigherPrioritiesAreRefusedLater() {
    Report(Seconds(1), 2 * kSlots, 0);
    CPPUNIT_ASSERT(throttle_->AdmittedShare({}, 9) > throttle_->AdmittedShare({}, 5));
    CPPUNIT_ASSERT(throttle_->AdmittedShare({}, 5) > throttle_->AdmittedShare({}, 0));
  }

  void ShareRecoversWhenTheLeafEmpties() {
    Report(Seconds(5), 2 * kSlots, 0);
    const double throttled = throttle_->AdmittedShare({}, 5);
    CPPUNIT_ASSERT(throttled > 0);
    Report(Seconds(5), 0, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, throttle_->AdmittedShare({}, 5), 1e-9);
  }

 private:
  static constexpr uint32_t kSlots = 5;

  /// Reports the leafs' loads every 20 ms for `time`.
  void Report(Duration time, uint32_t load_a, uint32_t load_b) {
    for (const Timestamp end = now_ + time; now_ < end; now_ += Milliseconds(20)) {
      for (const auto& [leaf, load] : {std::pair("a", load_a), std::pair("b", load_b)}) {
        query::LeafReply reply;
        reply.leaf = leaf;
        reply.load = load;
        reply.status = query::LeafStatus::kOk;
        pool_->OnReply(now_, reply);
      }
      throttle_->Update(now_, shards_, *pool_);
    }
  }

  Timestamp now_{Seconds(100)};
  std::unique_ptr<LeafPool> pool_;
  std::unique_ptr<AdmissionThrottle> throttle_;
  std::vector<config::Shard> shards_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionThrottleTest);

}  // namespace pumicedyke::balance
