// The node side of the at-most-once ledger: claims keys before dispatch, reports outcomes until
// they are recorded, and releases claims that were granted too late to be used.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/types.h"
#include "node/id_source.h"
#include "wire/messages.h"

namespace pumicedyke::node {

class LedgerClient {
 public:
  /// @param origin identifies this incarnation of the node (see id_source.h).
  LedgerClient(std::string cluster, std::string origin, IdSource* ids)
      : cluster_(std::move(cluster)), origin_(std::move(origin)), ids_(ids) {}

  /// Starts a claim. @return the owner ID of the attempt, which the verdict refers to.
  std::string Claim(Timestamp now, const std::string& key, uint64_t fingerprint);
  /// Abandons a claim whose request was answered without its verdict. If the claim is granted later
  /// it is released, as nothing was dispatched under it.
  void AbandonClaim(const std::string& owner);
  void Complete(Timestamp now, const std::string& owner, const std::string& key,
                std::string outcome);
  void Release(Timestamp now, const std::string& owner, const std::string& key);

  /// Resends pending requests at the next tick, after the loss of the connection.
  void RepeatAll(Timestamp now);

  struct Verdict {
    wire::LedgerOperation operation;
    std::string owner;
    wire::LedgerVerdict verdict;
    std::string outcome;
  };
  /// @return the verdict on a claim that is still needed, or on a report to the ledger.
  std::optional<Verdict> OnReply(Timestamp now, const wire::LedgerReply& reply);

  /// @return the messages that are due, including repeats.
  std::vector<wire::Envelope> Tick(Timestamp now);
  bool idle() const { return pending_.empty(); }
  size_t size() const { return pending_.size(); }

 private:
  struct Pending {
    wire::LedgerRequest request;
    Timestamp next_send;
    bool abandoned = false;
  };

  void Start(Timestamp now, wire::LedgerRequest request);

  std::string cluster_;
  std::string origin_;
  IdSource* ids_;
  /// By request number, which replies echo.
  std::map<uint64_t, Pending> pending_;
};

}  // namespace pumicedyke::node
