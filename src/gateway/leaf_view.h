// The leafs that a gateway may use: the reports of several control machines taken together with
// what the configuration says for good. No clock. Work grows with what changes, not with how many
// leafs there are: a fleet's gateways all hear of each leaf that comes and goes.
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
  /// What a control machine said last counts this long after it was lost, provided that another one
  /// still reports: its leafs report there meanwhile.
  Duration lost_source_patience = Seconds(15);
  /// A control machine that comes back without the leafs it had before: they have this long to
  /// report again, there or elsewhere.
  Duration unconfirmed_patience = Seconds(8);
  /// Reports that come within this time of each other take effect together, so that what is worked
  /// out from a service's leafs is worked out once for a crowd that comes. Word that a leaf leaves
  /// takes effect at once.
  Duration merge_interval{};
};

/// A leaf of which something else is known than before: it came, changed, closed or went.
struct LeafChange {
  std::string leaf;
  std::string service;
  /// It has started again under its id: nothing that was learned of it before holds.
  bool new_life = false;
};

/// Lives on the event loop's thread.
class LeafView {
 public:
  /// @param committed outlives this object; null: nothing is committed. Whoever changes it calls
  /// OnCommitted() or OnCommittedAnew().
  explicit LeafView(LeafViewOptions options, const config::ConfigState* committed = nullptr);

  /// @return false if changes in between were missed: greet with version 0 to get everything.
  bool OnFeed(Timestamp now, const std::string& source, const wire::LeafFeed& feed);
  /// The control machine cannot be reached.
  void OnSourceLost(Timestamp now, const std::string& source);
  /// What is committed on these leafs has changed. That one leaves takes effect at once.
  void OnCommitted(Timestamp now, const std::vector<std::string>& leafs);
  /// What is committed on any leaf may have changed; takes effect at once.
  void OnCommittedAnew(Timestamp now);
  /// The zones whose leafs nothing may be sent to; takes effect at once. The leafs of a zone that
  /// is taken back count as cold for as long as their service says, whatever they said before.
  void SetEvacuated(Timestamp now, const std::set<std::string>& zones);
  const std::set<std::string>& evacuated() const { return evacuated_; }
  /// Whether a leaf counts as cold on account of its zone, from when.
  std::optional<Timestamp> RestoredAt(const std::string& zone) const;
  /// Until when leafs said that they are cold, by id.
  const std::map<std::string, Timestamp>& cold_until() const { return cold_until_; }
  /// Counts words that a leaf is cold.
  uint64_t cold_words() const { return cold_words_; }
  /// Forgets control machines that were lost long ago, and lets reports take effect that waited.
  void Tick(Timestamp now);
  /// When reports that wait take effect; unset: none wait.
  std::optional<Timestamp> next_merge() const {
    return stale_.empty() ? std::nullopt : std::optional(merged_ + options_.merge_interval);
  }

  /// Version of the source's leafs held here; zero: none.
  uint64_t VersionOf(const std::string& source) const;
  /// Leafs by id that are there, draining ones included.
  const std::map<std::string, wire::LeafRecord>& leafs() const { return leafs_; }
  bool IsLeaving(const std::string& leaf) const;
  /// Whether nothing may be sent to it: it leaves, or its zone is evacuated.
  bool IsClosed(const wire::LeafRecord& record) const {
    return record.draining || evacuated_.contains(record.zone);
  }
  /// Ids of the usable leafs of a service.
  const std::vector<std::string>& UsableLeafs(const std::string& service) const;
  /// The usable leafs of every service that has any.
  const std::map<std::string, std::vector<std::string>>& usable() const { return by_service_; }
  /// Usable leafs of all services.
  size_t usable_count() const { return usable_count_; }
  /// Lets reports take effect that wait.
  void Merge(Timestamp now);
  /// Leafs that were found closed to new work, by word that takes effect at once, since the last
  /// call.
  std::vector<std::string> TakeNewlyLeaving() { return std::exchange(newly_leaving_, {}); }
  /// Leafs of which something changed since the last call; one may be named more than once.
  std::vector<LeafChange> TakeChanges() { return std::exchange(changes_, {}); }
  bool has_changes() const { return !changes_.empty(); }
  /// Counts changes of what is usable.
  uint64_t version() const { return version_; }
  /// Counts changes of what is there, leaving leafs included.
  uint64_t merges() const { return merges_; }

 private:
  struct Source {
    uint64_t version = 0;
    std::map<std::string, wire::LeafRecord> records;
    /// Known from an earlier life of the source and not reported again yet.
    std::map<std::string, wire::LeafRecord> unconfirmed;
    Timestamp unconfirmed_until{};
    bool lost = false;
    Timestamp lost_at{};
  };
  /// Something changed: merges now or, soon after the last time, later.
  void Changed(Timestamp now);
  /// All words on the last life of a leaf taken together, the most pessimistic on each point;
  /// unset: there is none.
  std::optional<wire::LeafRecord> WordOn(const std::string& leaf) const;
  /// Whether a control machine tells of the leaf by its heartbeats.
  bool IsReported(const std::string& leaf) const;
  /// Works out anew what is believed of one leaf. @return whether that changed.
  bool Judge(const std::string& leaf);
  bool Adopt(const std::string& leaf, const std::optional<wire::LeafRecord>& record);
  /// A leaf that reports holds its address; one that is only committed yields to it.
  void HoldAddress(const std::string& leaf, const std::string& address);
  void ReleaseAddress(const std::string& leaf);
  /// Those that are only committed at an address are judged again.
  void TouchCommittedAt(const std::string& address);
  void List(const wire::LeafRecord& record);
  void Unlist(const wire::LeafRecord& record);
  /// @param born_ms the last life that leaves.
  void MarkLeaving(const std::string& leaf, uint64_t born_ms);
  void MarkRetired(const std::string& leaf);
  /// The last life of the leaf that anybody tells of.
  uint64_t LastLife(const std::string& leaf) const;
  void NoteCold(Timestamp now, const wire::LeafRecord& record);

  std::vector<std::string> newly_leaving_;
  std::vector<LeafChange> changes_;
  LeafViewOptions options_;
  const config::ConfigState* committed_;
  /// Leafs on which there is word that is not in `leafs_` yet.
  std::set<std::string> stale_;
  Timestamp merged_{};
  std::map<std::string, Source> sources_;
  /// Leafs that report, by address: more than one only while one of them is believed wrongly.
  std::unordered_map<std::string, std::set<std::string>> holders_;
  /// Leafs that are committed and reported by nobody, by address, as far as they were judged so.
  std::unordered_map<std::string, std::set<std::string>> only_committed_at_;
  std::set<std::string> evacuated_;
  std::map<std::string, Timestamp> restored_at_;
  std::map<std::string, Timestamp> cold_until_;
  uint64_t cold_words_ = 0;
  std::map<std::string, wire::LeafRecord> leafs_;
  std::map<std::string, std::vector<std::string>> by_service_;
  size_t usable_count_ = 0;
  uint64_t version_ = 0;
  uint64_t merges_ = 0;
};

}  // namespace pumicedyke::gateway
