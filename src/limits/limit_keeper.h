// The accounts of tenants that one gateway keeps, or whose reserve it keeps. No socket, clock or
// thread.
//
// Why two that believe to keep the same account do no harm: the sum of what all accounts of a kind
// hold never exceeds what one may hold, and at most one of them is filled at any time.
// - An account begins empty, and is filled once nobody else fills it: the former keeper has said
//   that it stopped and handed over what it held (a claim), or a settling time has passed, within
//   which a former keeper has learned of the new one or has lost its proof.
// - A keeper that cannot prove that its configuration is current lends nothing, and begins anew
//   when it can again.
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

struct KeeperOptions {
  /// Counted from the proof, a keeper lends for so long. A gateway that control has dropped was
  /// silent for 0.8 s longer than it may go between two greetings: with `settling` on top, it has
  /// stopped before another one begins.
  Duration lease = Milliseconds(3300);
  /// An account is filled this long after it fell to this gateway, unless its former keeper hands
  /// it over before. What two gateways know of the others differs for less.
  Duration settling = Milliseconds(2500);
  /// What a keeper holds of an account that fell to another one is there for it to claim for so
  /// long: it has to be gone when the new one begins by itself.
  Duration kept_for_claim = Milliseconds(500);
  Duration claim_interval = Milliseconds(200);
  /// Two that each believe to keep an account do not take it from each other more often.
  Duration claim_back_after = Seconds(1);
  /// The answer to a claim counts for so long.
  Duration claim_patience = Milliseconds(500);
  /// Nobody is told to come back later than this.
  Duration longest_retry = Seconds(5);
};

enum class KeeperRole {
  kNone,
  /// Lends by the limit itself.
  kFirst,
  /// Lends of the reserve.
  kSecond,
};

/// What an account lends to one question.
struct Lent {
  wire::LimitStage stage = wire::LimitStage::kNotKeeper;
  uint32_t count = 0;
  /// If it is less than was wanted.
  Duration retry_after{};
};

/// Who asks, and by which question: what comes back is checked against it.
struct Borrower {
  uint64_t session = 0;
  uint64_t question = 0;
  bool operator==(const Borrower&) const = default;
};

/// A claim to be sent.
struct AccountClaim {
  std::string address;
  wire::LimitAsk ask;
};

/// Figures of one account, for operators.
struct AccountFigures {
  AccountId account;
  KeeperRole role = KeeperRole::kNone;
  bool settled = false;
  double level = 0;
  uint64_t lent = 0;
  uint64_t exhausted = 0;
};

/// Lives on the event loop's thread.
class LimitKeeper {
 public:
  explicit LimitKeeper(KeeperOptions options) : options_(options) {}

  /// The accounts there are. One that is not among them is gone.
  void SetTerms(Timestamp now, const std::map<AccountId, AccountTerms>& terms);
  /// Who keeps an account, as this gateway sees it now.
  /// @param rivals addresses of gateways that may have kept it.
  void SetRole(Timestamp now, const AccountId& account, KeeperRole role,
               std::vector<std::string> rivals);
  /// @param proven_at when the configuration was last proved current. To be called at least once a
  /// second, so that a lapse is seen.
  void OnProof(Timestamp now, Timestamp proven_at);

  Lent Lend(Timestamp now, const AccountId& account, uint32_t wanted);
  /// The same for another gateway, which may give back what it does not use.
  Lent LendTo(Timestamp now, const AccountId& account, uint32_t wanted, Borrower borrower);
  void TakeBack(Timestamp now, const AccountId& account, uint32_t count, Borrower borrower);
  /// Another gateway keeps the account from now on.
  /// @return what it gets; kNotKeeper: this one did not fill it, which says nothing of others.
  Lent OnClaim(Timestamp now, const AccountId& account);
  /// Word on a claim of this gateway. @return whether it was one.
  bool OnClaimAnswer(Timestamp now, const wire::LimitGrant& grant);

  /// @param next_id numbers questions. @return claims to send.
  std::vector<AccountClaim> Tick(Timestamp now, uint64_t* next_id);
  Timestamp NextWake(Timestamp now) const;

  /// How long what is lent may be used.
  Duration LifetimeOf(const AccountId& account) const;
  /// Whether requests of this gateway need ask nobody else.
  bool Keeps(const AccountId& account) const;
  std::vector<AccountFigures> Figures() const;
  /// Counts changes of what is kept and of whether it has settled.
  uint64_t changes() const { return changes_; }

 private:
  struct Loan {
    Borrower borrower;
    uint32_t count = 0;
    Timestamp at{};
  };
  struct Account {
    AccountTerms terms;
    TokenBucket bucket;
    KeeperRole role = KeeperRole::kNone;
    bool settled = false;
    Timestamp settles_at{};
    /// Filled it as its keeper until it fell to another one, which may claim it.
    bool was_first = false;
    /// What it holds since then is gone after this.
    Timestamp kept_until{};
    std::vector<std::string> rivals;
    Timestamp next_claim{};
    std::deque<Loan> loans;
    /// When the last one that was turned away is to come back.
    Timestamp last_slot{};
    uint64_t lent = 0;
    uint64_t exhausted = 0;
  };
  struct Claim {
    AccountId account;
    Timestamp sent{};
  };

  bool Proven(Timestamp now) const { return now - proven_at_ <= options_.lease; }
  /// Fills it from now on by its role.
  void Settle(Timestamp now, Account* account);
  /// Nobody else has begun to fill it since it fell from this gateway.
  static bool MayResume(Timestamp now, const Account& account) {
    return account.was_first && account.role == KeeperRole::kFirst && now < account.kept_until;
  }
  /// Stops filling it.
  void Unsettle(Timestamp now, Account* account);
  /// When the next one that is turned away is to come back.
  Duration NextSlot(Timestamp now, Account* account) const;
  void SettleDue(Timestamp now);

  KeeperOptions options_;
  Timestamp proven_at_{};
  std::map<AccountId, AccountTerms> terms_;
  std::map<AccountId, Account> accounts_;
  std::map<uint64_t, Claim> claims_;
  uint64_t changes_ = 0;
};

}  // namespace pumicedyke::limits
