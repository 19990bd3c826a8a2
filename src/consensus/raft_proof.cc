// Proofs of being current: the part of Raft that says up to which moment a replica misses nothing.
//
// A replica puts a mark of its clock into each answer to the leader. The leader sends the newest
// mark back, with how long before its arrival a majority was last known to follow it: that moment
// lies after whatever was acknowledged before, by this leader or an earlier one, and a later one
// can only have been elected since. So the time of the mark, less that lag, is a proof, once all
// that the leader had committed is committed here.
#include <algorithm>

#include "consensus/raft.h"

namespace pumicedyke::consensus {

using wire::RaftMessage;

uint64_t Raft::StampOf(Timestamp now) const {
  return stamp_base_ + static_cast<uint64_t>(now.time_since_epoch().count());
}

std::optional<Timestamp> Raft::Confirmed(Timestamp now) const {
  // What leaders before it committed is known to be committed only with an entry of its own.
  if (role_ != Role::kLeader || TermAt(commit_index_) != hard_state_.term) {
    return std::nullopt;
  }
  const Timestamp confirmed = LeaseStart(now);
  return confirmed == Timestamp{} ? std::nullopt : std::optional(confirmed);
}

std::optional<Timestamp> Raft::ProvenAt(Timestamp now) const {
  if (role_ != Role::kLeader) {
    return options_.proof_check && options_.lease_check ? proven_at_ : leader_heard_;
  }
  if (!options_.lease_check) {
    return now;
  }
  // What this replica proved before it was elected goes on to hold.
  return std::max(Confirmed(now), proven_at_);
}

void Raft::NoteStamp(Timestamp now, const RaftMessage& reply, Progress* progress) {
  if (reply.stamp != 0) {
    progress->stamp = reply.stamp;
    progress->stamped = now;
  }
}

void Raft::FillProof(Timestamp now, const Progress& progress, RaftMessage* message) const {
  const std::optional<Timestamp> confirmed = Confirmed(now);
  if (progress.stamp == 0 || !confirmed.has_value()) {
    return;
  }
  message->stamp = progress.stamp;
  message->proof_lag = std::max(Duration(0), progress.stamped - *confirmed);
}

void Raft::TakeProof(Timestamp now, const RaftMessage& message) {
  if (message.stamp == 0) {
    return;
  }
  const Timestamp marked{Duration(static_cast<int64_t>(message.stamp - stamp_base_))};
  const bool of_this_life = marked >= started_ && marked <= now;
  if (!of_this_life || message.proof_lag.count() < 0) {
    return;
  }
  // The oldest that waits is settled first; a leader that commits all the time must not push it on.
  if (!pending_proof_.has_value()) {
    pending_proof_ = {marked - message.proof_lag, message.commit};
  }
}

void Raft::SettleProof() {
  if (!pending_proof_.has_value() || commit_index_ < pending_proof_->commit) {
    return;
  }
  proven_at_ = std::max(proven_at_, std::optional(pending_proof_->moment));
  pending_proof_.reset();
}

}  // namespace pumicedyke::consensus
