// Tests of the at-most-once ledger.
#include "ledger/ledger.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pumicedyke::ledger {

using wire::LedgerOperation;
using wire::LedgerVerdict;

namespace {

LedgerVerdict Do(Ledger* ledger, LedgerOperation kind, const std::string& owner,
                 uint64_t fingerprint = 1, int64_t time_ms = 0) {
  return ledger->Apply({kind, "key", owner, fingerprint, "outcome", time_ms}).verdict;
}

}  // namespace

class LedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LedgerTest);
  CPPUNIT_TEST(OneOwnerAtATime);
  CPPUNIT_TEST(CompletedKeyReturnsItsOutcome);
  CPPUNIT_TEST(LateClaimByAReleasedOwnerIsRefused);
  CPPUNIT_TEST(KeyReusedForAnotherRequestIsRefused);
  CPPUNIT_TEST(EntriesAreKeptForTheRetentionPeriod);
  CPPUNIT_TEST(GrantsNeverOverlap);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OneOwnerAtATime() {
    Ledger ledger;
    CPPUNIT_ASSERT(Do(&ledger, LedgerOperation::kClaim, "a") == LedgerVerdict::kGranted);
    CPPUNIT_ASSERT(Do(&ledger, LedgerOperation::kClaim, "b") == LedgerVerdict::kHeldByOther);
    // The first reply was lost.
    CPPUNIT_ASSERT(Do(&ledger, LedgerOperation::kClaim, "a") == LedgerVerdict::kGranted);
    CPPUNIT_ASSERT(Do(&ledger, LedgerOperation::kRelease, "b") == LedgerVerdict::kHeldByOther);
    CPPUNIT_ASSERT(Do(&ledger, LedgerOperation::kRelease, "a") == LedgerVerdict::kRecorded);
    CPPUNIT_ASSERT(Do(&ledger, LedgerOperation::kClaim, "b") == LedgerVerdict::kGranted);
  }

  void CompletedKeyReturnsItsOutcome() {
    Ledger ledger;
    Do(&ledger, LedgerOperation::kClaim, "a");
    CPPUNIT_ASSERT(Do(&ledger, LedgerOperation::kComplete, "a") == LedgerVerdict::kRecorded);
    CPPUNIT_ASSERT(Do(&ledger, LedgerOperation::kRelease, "a") == LedgerVerdict::kRecorded);
    const Result again = ledger.Apply({LedgerOperation::kClaim, "key", "b", 1, "", 0});
    CPPUNIT_ASSERT(again.verdict == LedgerVerdict::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string("outcome"), again.outcome);
  }

  void LateClaimByAReleasedOwnerIsRefused() {
    Ledger ledger;
    Do(&ledger, LedgerOperation::kClaim, "a");
    Do(&ledger, LedgerOperation::kRelease, "a");
    CPPUNIT_ASSERT(Do(&ledger, LedgerOperation::kClaim, "a") == LedgerVerdict::kHeldByOther);
    CPPUNIT_ASSERT(Do(&ledger, LedgerOperation::kClaim, "b") == LedgerVerdict::kGranted);
  }

  void KeyReusedForAnotherRequestIsRefused() {
    Ledger ledger;
    Do(&ledger, LedgerOperation::kClaim, "a", 1);
    CPPUNIT_ASSERT(Do(&ledger, LedgerOperation::kClaim, "b", 2) ==
                   LedgerVerdict::kFingerprintMismatch);
  }

  void EntriesAreKeptForTheRetentionPeriod() {
    Ledger ledger;
    Do(&ledger, LedgerOperation::kClaim, "a", 1, 0);
    Do(&ledger, LedgerOperation::kComplete, "a", 1, 10);
    const int64_t just_before = kRetentionMilliseconds - 1;
    CPPUNIT_ASSERT(Do(&ledger, LedgerOperation::kClaim, "b", 1, just_before) ==
                   LedgerVerdict::kCompleted);
    CPPUNIT_ASSERT(Do(&ledger, LedgerOperation::kClaim, "b", 1, kRetentionMilliseconds) ==
                   LedgerVerdict::kGranted);
  }

  /// In any order of messages, including duplicates, no attempt is granted a key that another one
  /// still holds or that was completed. A copy of the state decides the same.
  void GrantsNeverOverlap() {
    const bool held = rc::check("grants never overlap", [](const std::vector<uint8_t>& steps) {
      Ledger ledger;
      std::string holder;
      bool completed = false;
      for (const uint8_t step : steps) {
        const std::string owner(1, static_cast<char>('a' + step % 4));
        const auto kind = static_cast<LedgerOperation>(1 + (step / 4) % 3);
        Ledger copy;
        copy.FromJson(ledger.ToJson());
        const LedgerVerdict verdict = Do(&ledger, kind, owner);
        RC_ASSERT(Do(&copy, kind, owner) == verdict);
        if (kind == LedgerOperation::kClaim && verdict == LedgerVerdict::kGranted) {
          RC_ASSERT(!completed);
          RC_ASSERT(holder.empty() || holder == owner);
          holder = owner;
        }
        const bool recorded = verdict == LedgerVerdict::kRecorded && holder == owner;
        completed |= recorded && kind == LedgerOperation::kComplete;
        if (recorded && kind == LedgerOperation::kRelease && !completed) {
          holder.clear();
        }
      }
    });
    CPPUNIT_ASSERT(held);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

}  // namespace pumicedyke::ledger
