// Raft: proofs of being current, which establish up to what time a replica has all commits.
//
// A replica puts a stamp of its clock into each reply to the leader. The leader echoes the newest
// stamp, together with the proof lag: how long before the stamp's arrival a majority was last known
// to follow the leader. At that time all commits acknowledged earlier, by this leader or a previous
// one, were known to the leader; a newer leader can only have been elected later. So the time of
// the stamp less the lag is a proof, once the replica has committed all that the leader had.
#include <algorithm>

#include "consensus/raft.h"

namespace pumicedyke::consensus {

using wire::RaftMessage;

uint64_t Raft::StampOf(Timestamp now) const {
  return stamp_base_ + static_cast<uint64_t>(now.time_since_epoch().count());
}

std::optional<Timestamp> Raft::QuorumConfirmedAt(Timestamp now) const {
  // A leader knows all commits of earlier leaders only once it has committed an entry of its own.
  if (role_ != Role::kLeader || TermAt(commit_index_) != hard_state_.term) {
    return std::nullopt;
  }
  const Timestamp confirmed = LeaseStart(now);
  return confirmed == Timestamp{} ? std::nullopt : std::optional(confirmed);
}

std::optional<Timestamp> Raft::ProvenCurrentAt(Timestamp now) const {
  if (role_ != Role::kLeader) {
    return options_.proof_check && options_.lease_check ? proven_at_ : last_leader_contact_;
  }
  if (!options_.lease_check) {
    return now;
  }
  // A proof from before this replica was elected stays valid.
  return std::max(QuorumConfirmedAt(now), proven_at_);
}

void Raft::RecordStamp(Timestamp now, const RaftMessage& reply, Progress* progress) {
  if (reply.stamp != 0) {
    progress->stamp = reply.stamp;
    progress->stamp_received = now;
  }
}

void Raft::FillProof(Timestamp now, const Progress& progress, RaftMessage* message) const {
  const std::optional<Timestamp> confirmed = QuorumConfirmedAt(now);
  if (progress.stamp == 0 || !confirmed.has_value()) {
    return;
  }
  message->stamp = progress.stamp;
  message->proof_lag = std::max(Duration(0), progress.stamp_received - *confirmed);
}

void Raft::ReceiveProof(Timestamp now, const RaftMessage& message) {
  if (message.stamp == 0) {
    return;
  }
  const Timestamp stamp_time{Duration(static_cast<int64_t>(message.stamp - stamp_base_))};
  const bool of_this_incarnation = stamp_time >= started_ && stamp_time <= now;
  if (!of_this_incarnation || message.proof_lag.count() < 0) {
    return;
  }
  // The oldest pending proof is kept. If newer ones replaced it, a leader that commits all the time
  // would postpone it forever.
  if (!pending_proof_.has_value()) {
    pending_proof_ = {stamp_time - message.proof_lag, message.commit};
  }
}

void Raft::CompletePendingProof() {
  if (!pending_proof_.has_value() || commit_index_ < pending_proof_->commit) {
    return;
  }
  proven_at_ = std::max(proven_at_, std::optional(pending_proof_->cutoff));
  pending_proof_.reset();
}

}  // namespace pumicedyke::consensus
