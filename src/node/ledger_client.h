// A node's side of the at-most-once ledger: claims before dispatch, reports outcomes until they
// are recorded, and gives back claims that came too late to be used.
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
  /// @param origin names this life of this node (see id_source.h).
  LedgerClient(std::string cluster, std::string origin, IdSource* ids)
      : cluster_(std::move(cluster)), origin_(std::move(origin)), ids_(ids) {}

  /// Starts a claim. @return the attempt's owner id, under which the verdict comes.
  std::string Claim(Timestamp now, const std::string& key, uint64_t fingerprint);
  /// The request of this claim was answered without waiting for the verdict: should the claim be
  /// granted after all it is released, as nothing was dispatched under it.
  void AbandonClaim(const std::string& owner);
  void Complete(Timestamp now, const std::string& owner, const std::string& key,
                std::string outcome);
  void Release(Timestamp now, const std::string& owner, const std::string& key);

  /// What is pending goes out again at the next tick: the connection it was sent on is gone.
  void RepeatAll(Timestamp now);

  struct Verdict {
    wire::LedgerOperation operation;
    std::string owner;
    wire::LedgerVerdict verdict;
    std::string outcome;
  };
  /// @return the verdict of a claim that is still wanted, or of what the ledger was told.
  std::optional<Verdict> OnReply(Timestamp now, const wire::LedgerReply& reply);

  /// @return messages that are due, first sends and repeats.
  std::vector<wire::Envelope> Tick(Timestamp now);
  bool idle() const { return pending_.empty(); }

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
