// The leafs that a gateway may use: combines the reports of several control machines with the
// committed configuration. Has no clock. The work is proportional to what changes, not to the
// number of leafs, because every gateway of a fleet receives every leaf's start and stop.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/types.h"
#include "config/config_state.h"
#include "wire/messages.h"

namespace pumicedyke::gateway {

struct LeafViewOptions {
  /// The last report of a disconnected control machine stays valid for this long, provided that
  /// another control machine still reports: its leafs send heartbeats there meanwhile.
  Duration lost_source_timeout = Seconds(15);
  /// Time that leafs have to report again, to any control machine, after a control machine has
  /// restarted and lost its list of leafs.
  Duration unconfirmed_timeout = Seconds(8);
  /// Reports that arrive within this time of each other take effect together, so that state derived
  /// from a service's leafs is recomputed once when many leafs start. A leaf that starts leaving is
  /// closed at once.
  Duration merge_interval{};
};

/// A leaf whose record was added, changed, closed or removed.
struct LeafChange {
  std::string leaf;
  std::string service;
  /// The leaf has restarted under the same id: everything learned about the previous incarnation is
  /// void.
  bool restarted = false;
};

/// Confined to the event loop's thread.
class LeafView {
 public:
  /// @param committed must outlive this object; null: nothing is committed. Every change to it must
  /// be followed by OnCommitted() or OnCommittedReset().
  explicit LeafView(LeafViewOptions options, const config::ConfigState* committed = nullptr);

  /// Applies an update from a control machine.
  /// @return false if updates were missed; the caller must then request the full list with version
  /// 0.
  bool OnFeed(Timestamp now, const std::string& source, const wire::LeafFeed& feed);
  /// Marks a control machine as unreachable.
  void OnSourceLost(Timestamp now, const std::string& source);
  /// Handles a change of the committed state of these leafs. A leaf that starts leaving is closed
  /// at once.
  void OnCommitted(Timestamp now, const std::vector<std::string>& leafs);
  /// Handles a replacement of the whole committed state; takes effect at once.
  void OnCommittedReset(Timestamp now);
  /// Sets the zones whose leafs must not receive requests; takes effect at once. Leafs of a
  /// restored zone count as cold for the warm-up time of their service, whatever they reported
  /// before.
  void SetEvacuated(Timestamp now, const std::set<std::string>& zones);
  const std::set<std::string>& evacuated() const { return evacuated_; }
  /// Returns the time at which an evacuated zone was restored; unset if it never was.
  std::optional<Timestamp> RestoredAt(const std::string& zone) const;
  /// Time until which each leaf has reported to be cold, by id.
  const std::map<std::string, Timestamp>& cold_until() const { return cold_until_; }
  /// Number of reports received of cold leafs.
  uint64_t cold_reports() const { return cold_reports_; }
  /// Drops control machines that have been unreachable for too long, and applies pending reports.
  void Tick(Timestamp now);
  /// Returns the time at which pending reports take effect; unset: none are pending.
  std::optional<Timestamp> next_merge() const {
    return stale_.empty() ? std::nullopt : std::optional(merged_ + options_.merge_interval);
  }

  /// Returns the version held of the source's list of leafs; zero: none.
  uint64_t VersionOf(const std::string& source) const;
  /// Known leafs by id, including draining ones.
  const std::map<std::string, wire::LeafRecord>& leafs() const { return leafs_; }
  bool IsLeaving(const std::string& leaf) const;
  /// Returns whether the leaf must not receive requests because it is leaving or its zone is
  /// evacuated.
  bool IsClosed(const wire::LeafRecord& record) const {
    return record.draining || evacuated_.contains(record.zone);
  }
  /// Returns the ids of the usable leafs of a service.
  const std::vector<std::string>& UsableLeafs(const std::string& service) const;
  /// Usable leafs by service, for all services that have any.
  const std::map<std::string, std::vector<std::string>>& usable() const { return by_service_; }
  /// Number of usable leafs of all services.
  size_t usable_count() const { return usable_count_; }
  /// Applies pending reports.
  void Merge(Timestamp now);
  /// Returns the leafs closed to new work by updates that take effect at once, since the last call.
  std::vector<std::string> TakeNewlyLeaving() { return std::exchange(newly_leaving_, {}); }
  /// Returns the leafs that changed since the last call; may contain duplicates.
  std::vector<LeafChange> TakeChanges() { return std::exchange(changes_, {}); }
  bool has_changes() const { return !changes_.empty(); }
  /// Number of changes to the set of usable leafs.
  uint64_t version() const { return version_; }
  /// Number of changes to the set of known leafs, including leaving ones.
  uint64_t merges() const { return merges_; }

 private:
  struct Source {
    uint64_t version = 0;
    std::map<std::string, wire::LeafRecord> records;
    /// Records reported before the source restarted and not reported again yet.
    std::map<std::string, wire::LeafRecord> unconfirmed;
    Timestamp unconfirmed_until{};
    bool lost = false;
    Timestamp lost_at{};
  };
  /// Merges pending reports now, or later if the last merge was less than the merge interval ago.
  void Changed(Timestamp now);
  /// Combines all reports on the latest incarnation of a leaf, taking the most pessimistic value of
  /// each field.
  /// @return unset if there is no report.
  std::optional<wire::LeafRecord> CombinedRecord(const std::string& leaf) const;
  /// Returns whether any control machine reports the leaf by its heartbeats.
  bool IsReported(const std::string& leaf) const;
  /// Recomputes the record of one leaf. @return whether it changed.
  bool Reevaluate(const std::string& leaf);
  bool Adopt(const std::string& leaf, const std::optional<wire::LeafRecord>& record);
  /// Assigns the address to a reporting leaf. A leaf that is only committed yields its address to
  /// it.
  void ClaimAddress(const std::string& leaf, const std::string& address);
  void ReleaseAddress(const std::string& leaf);
  /// Schedules the re-evaluation of leafs that are only committed at an address.
  void ReevaluateCommittedAt(const std::string& address);
  void AddUsable(const wire::LeafRecord& record);
  void RemoveUsable(const wire::LeafRecord& record);
  /// @param born_ms the latest incarnation that is leaving.
  void MarkLeaving(const std::string& leaf, uint64_t born_ms);
  void MarkRetired(const std::string& leaf);
  /// Returns the latest incarnation (start time) of the leaf known from any report.
  uint64_t LatestIncarnation(const std::string& leaf) const;
  void RecordCold(Timestamp now, const wire::LeafRecord& record);

  std::vector<std::string> newly_leaving_;
  std::vector<LeafChange> changes_;
  LeafViewOptions options_;
  const config::ConfigState* committed_;
  /// Leafs with pending changes that are not in `leafs_` yet.
  std::set<std::string> stale_;
  Timestamp merged_{};
  std::map<std::string, Source> sources_;
  /// Reporting leafs by address. More than one only temporarily, while one of the records is
  /// outdated.
  std::unordered_map<std::string, std::set<std::string>> address_owners_;
  /// Leafs that are committed but not reported by any control machine, by address, as of their last
  /// evaluation.
  std::unordered_map<std::string, std::set<std::string>> only_committed_at_;
  std::set<std::string> evacuated_;
  std::map<std::string, Timestamp> restored_at_;
  std::map<std::string, Timestamp> cold_until_;
  uint64_t cold_reports_ = 0;
  std::map<std::string, wire::LeafRecord> leafs_;
  std::map<std::string, std::vector<std::string>> by_service_;
  size_t usable_count_ = 0;
  uint64_t version_ = 0;
  uint64_t merges_ = 0;
};

}  // namespace pumicedyke::gateway
