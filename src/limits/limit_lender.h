// The accounts of tenants of which one gateway is the primary or the reserve lender. Uses no
// socket, clock or thread.
//
// Two gateways may both consider themselves the lender of the same account. This is safe because
// together they never hold more tokens than the account's cap, and at most one of them refills it:
// - An account starts empty. A lender starts to refill it only when the previous lender has
//   confirmed that it stopped and handed over its tokens (a claim), or after a settling time within
//   which the previous lender has learned of the new one or has lost its proof.
// - A lender that cannot prove that its configuration is current lends nothing, and starts over
//   once it can again.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "common/types.h"
#include "limits/account_terms.h"
#include "limits/token_bucket.h"
#include "wire/messages.h"

namespace pumicedyke::limits {

struct LenderOptions {
  /// A lender may lend for this long after the proof. The control machines drop a gateway only when
  /// its silence exceeds the maximum time between two hellos by 0.8 s. With `settling` added, a
  /// dropped gateway has stopped lending before another one starts.
  Duration lease = Milliseconds(3300);
  /// Delay before a new lender refills an account, unless the previous lender hands it over
  /// earlier. The views of two gateways differ for less than this.
  Duration settling = Milliseconds(2500);
  /// Time for which a previous lender retains its tokens for a claim by the new one. They must have
  /// expired before the new lender starts without a claim.
  Duration claimable_time = Milliseconds(500);
  Duration claim_interval = Milliseconds(200);
  /// Minimum time before a lender claims an account back, if two gateways both consider themselves
  /// its lender.
  Duration claim_back_after = Seconds(1);
  /// A reply to a claim is accepted within this time.
  Duration claim_timeout = Milliseconds(500);
  /// Upper limit of the retry delay that is sent to borrowers.
  Duration max_retry_after = Seconds(5);
};

enum class LenderRole {
  kNone,
  /// The primary lender: lends from the limit itself.
  kPrimary,
  /// The reserve lender: lends from the account's reserve.
  kReserve,
};

/// Result of one limit request at an account.
struct LendResult {
  wire::LimitStage stage = wire::LimitStage::kNotLender;
  uint32_t count = 0;
  /// Set if `count` is less than requested.
  Duration retry_after{};
};

/// Identifies a borrower's limit request; returned tokens are checked against it.
struct BorrowerId {
  uint64_t session = 0;
  uint64_t request = 0;
  bool operator==(const BorrowerId&) const = default;
};

/// A claim to be sent.
struct AccountClaim {
  std::string address;
  wire::LimitRequest ask;
};

/// Statistics of one account, for operators.
struct AccountStats {
  AccountId account;
  LenderRole role = LenderRole::kNone;
  bool settled = false;
  double level = 0;
  uint64_t lent = 0;
  uint64_t exhausted = 0;
};

/// Used on the event loop's thread only.
class LimitLender {
 public:
  explicit LimitLender(LenderOptions options) : options_(options) {}

  /// Sets all accounts. An account that is not listed is removed.
  void SetTerms(Timestamp now, const std::map<AccountId, AccountTerms>& terms);
  /// Sets the role of this gateway for an account, according to its own view.
  /// @param claim_targets addresses of gateways that may have been its lender.
  void SetRole(Timestamp now, const AccountId& account, LenderRole role,
               std::vector<std::string> claim_targets);
  /// Records a proof. Must be called at least once a second so that a lapse is noticed.
  /// @param proven_at time at which the configuration was last proven current.
  void OnProof(Timestamp now, Timestamp proven_at);

  LendResult Lend(Timestamp now, const AccountId& account, uint32_t wanted);
  /// Lends to another gateway, which may return unused tokens.
  LendResult LendTo(Timestamp now, const AccountId& account, uint32_t wanted, BorrowerId borrower);
  void TakeBack(Timestamp now, const AccountId& account, uint32_t count, BorrowerId borrower);
  /// Hands the account over to another gateway.
  /// @return the tokens handed over; kNotLender if this gateway did not refill the account, which
  /// does not exclude that another one does.
  LendResult OnClaim(Timestamp now, const AccountId& account);
  /// Handles a grant if it is the reply to a claim of this gateway. @return whether it was.
  bool OnClaimAnswer(Timestamp now, const wire::LimitGrant& grant);

  /// Returns the claims to send. @param next_id counter of message ids.
  std::vector<AccountClaim> Tick(Timestamp now, uint64_t* next_id);
  Timestamp NextWake(Timestamp now) const;

  /// Returns the time for which lent tokens may be used.
  Duration LifetimeOf(const AccountId& account) const;
  /// Whether this gateway is a lender of the account, so that its own requests need no remote one.
  bool IsLender(const AccountId& account) const;
  std::vector<AccountStats> Stats() const;
  /// Rises with each change of a role or of `settled`.
  uint64_t changes() const { return changes_; }

 private:
  struct Loan {
    BorrowerId borrower;
    uint32_t count = 0;
    Timestamp at{};
  };
  struct Account {
    AccountTerms terms;
    TokenBucket bucket;
    LenderRole role = LenderRole::kNone;
    bool settled = false;
    Timestamp settles_at{};
    /// This gateway refilled the account as its primary lender until the role moved to another one,
    /// which may claim it.
    bool was_primary = false;
    /// The tokens held since then expire at this time.
    Timestamp claimable_until{};
    std::vector<std::string> claim_targets;
    Timestamp next_claim{};
    std::deque<Loan> loans;
    /// The latest retry time that was assigned.
    Timestamp last_retry{};
    uint64_t lent = 0;
    uint64_t exhausted = 0;
  };
  struct Claim {
    AccountId account;
    Timestamp sent{};
  };

  bool Proven(Timestamp now) const { return now - proven_at_ <= options_.lease; }
  /// Starts to refill the account according to its role.
  void StartRefilling(Timestamp now, Account* account);
  /// Whether no other gateway can have started to refill the account since this one lost it.
  static bool MayResume(Timestamp now, const Account& account) {
    return account.was_primary && account.role == LenderRole::kPrimary &&
           now < account.claimable_until;
  }
  /// Stops refilling the account.
  void StopRefilling(Timestamp now, Account* account);
  /// Assigns the retry time of the next refused request. @return the delay until then.
  Duration NextRetry(Timestamp now, Account* account) const;
  void StartDueAccounts(Timestamp now);

  LenderOptions options_;
  Timestamp proven_at_{};
  std::map<AccountId, AccountTerms> terms_;
  std::map<AccountId, Account> accounts_;
  std::map<uint64_t, Claim> claims_;
  uint64_t changes_ = 0;
};

}  // namespace pumicedyke::limits
