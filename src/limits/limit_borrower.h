// How one gateway gets the right to send requests of tenants: it asks those that keep their
// accounts, keeps a few tokens ahead where a tenant sends much, and remembers where nothing was
// left. No socket, clock or thread.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/types.h"
#include "limits/account_terms.h"
#include "limits/keeper_placement.h"
#include "limits/limit_keeper.h"
#include "limits/limit_messages.h"
#include "wire/messages.h"

namespace pumicedyke::limits {

struct BorrowerOptions {
  /// One that does not answer for so long is passed over.
  Duration patience = Milliseconds(25);
  /// One that did not answer is asked after the others for so long.
  Duration suspicion = Seconds(1);
  /// Keepers that one request tries, itself not counted.
  size_t max_questions = 5;
  /// Questions at a time about one tenant; other requests wait for the next one.
  size_t max_open = 2;
  /// Requests of one tenant that wait; those beyond are refused.
  size_t max_queued = 512;
  uint32_t max_ahead = 64;
  /// Demand is counted over about so long.
  Duration demand_window = Seconds(1);
  /// When to come back if nobody can say when.
  Duration unknown_retry = Milliseconds(250);
  /// What the reserve says holds for so long: the first keeper may be back.
  Duration longest_without_keeper = Milliseconds(500);
};

/// Lives on the event loop's thread.
class LimitBorrower {
 public:
  /// @param placement, keeper outlive this object; the keeper is that of the same gateway.
  LimitBorrower(BorrowerOptions options, std::string node, const KeeperPlacement* placement,
                LimitKeeper* keeper, uint64_t* next_id);

  /// The tenants there are, with the number of their accounts.
  void SetTenants(const std::map<std::string, uint32_t>& parts);
  LimitAnswer Admit(Timestamp now, RequestId id, const std::string& tenant);
  void Withdraw(RequestId id);
  void OnGrant(Timestamp now, const wire::LimitGrant& grant);
  void OnGatewayLost(Timestamp now, const std::string& address);
  void Tick(Timestamp now);
  Timestamp NextWake(Timestamp now) const;
  /// Moves decisions and questions to `output`.
  void CollectInto(LimitOutput* output);

 private:
  /// A keeper of a tenant's account: its first or its second.
  struct Candidate {
    uint32_t part = 0;
    bool second = false;
  };
  /// By its node: whoever is second now may be first at the next look.
  struct Tried {
    uint32_t part = 0;
    std::string node;
    bool operator==(const Tried&) const = default;
  };
  /// Requests that look for tokens together.
  struct Pursuit {
    std::string tenant;
    std::vector<RequestId> requests;
    std::vector<Tried> tried;
    size_t questions = 0;
    Duration retry_after{};
  };
  struct Question {
    Pursuit pursuit;
    Candidate candidate;
    std::string address;
    Timestamp sent{};
    /// No answer is waited for, but one that comes late may still bring tokens.
    bool given_up = false;
  };
  struct Batch {
    uint64_t question = 0;
    uint32_t part = 0;
    std::string address;
    uint32_t count = 0;
    Timestamp until{};
  };
  struct Borrowing {
    uint32_t parts = 1;
    /// Where it looks first, so that all gateways together use the parts evenly.
    uint32_t preferred = 0;
    /// By part: nothing is left until then.
    std::vector<Timestamp> spent_until;
    std::deque<Batch> batches;
    std::deque<RequestId> queued;
    size_t open = 0;
    double demand = 0;
    Timestamp demand_at{};
    uint64_t refusals = 0;
  };

  /// Takes over how many accounts the tenant has.
  void Cut(uint32_t parts, Borrowing* borrowing) const;
  /// @return null: it has no limit.
  Borrowing* BorrowingOf(const std::string& tenant);
  void NoteDemand(Timestamp now, Borrowing* borrowing) const;
  static bool UseBatch(Timestamp now, Borrowing* borrowing);
  uint32_t Ahead(const Borrowing& borrowing, const AccountId& account) const;
  const LimitGateway* GatewayOf(const std::string& tenant, Candidate candidate) const;
  bool Suspected(Timestamp now, const LimitGateway& gateway) const;
  /// Whom to try next; none is left: null.
  std::optional<Candidate> Next(Timestamp now, const Pursuit& pursuit,
                                const Borrowing& borrowing) const;
  /// Looks on until a question has to be waited for or all requests are decided.
  void Pursue(Timestamp now, Pursuit pursuit);
  void Send(Timestamp now, Pursuit pursuit, Candidate candidate, const LimitGateway& gateway);
  /// Takes what was lent for the requests that look for it. @return what is left over.
  uint32_t Spend(uint32_t count, Pursuit* pursuit);
  void NoteSpent(Timestamp now, Candidate candidate, Duration retry_after, Pursuit* pursuit);
  void RefuseAll(Timestamp now, Pursuit* pursuit);
  Duration RetryAfter(Timestamp now, Borrowing* borrowing, Duration hint) const;
  /// Nobody waits for this answer any more: its requests look on.
  void GiveUp(Timestamp now, uint64_t id);
  void PursueQueued(Timestamp now, const std::string& tenant);
  void GiveBack(const Batch& batch, const std::string& tenant);
  void ReturnExpired(Timestamp now);

  BorrowerOptions options_;
  std::string node_;
  const KeeperPlacement* placement_;
  LimitKeeper* keeper_;
  uint64_t* next_id_;
  std::map<std::string, uint32_t> parts_;
  /// Of tenants that have sent requests here.
  std::map<std::string, Borrowing> borrowings_;
  std::map<uint64_t, Question> questions_;
  std::map<std::string, Timestamp> suspected_until_;
  /// Questions by when to look at them again.
  std::multimap<Timestamp, uint64_t> due_;
  /// Tenants by when a batch of theirs has to go back.
  std::multimap<Timestamp, std::string> expiring_;
  LimitOutput output_;
};

}  // namespace pumicedyke::limits
