// The leafs that a gateway may use: the reports of several control machines taken together with
// what the configuration says for good. No clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/types.h"
#include "config/model.h"
#include "wire/messages.h"

namespace pumicedyke::gateway {

struct LeafViewOptions {
  /// What a control machine said last counts this long after it was lost, provided that another one
  /// still reports: its leafs report there meanwhile.
  Duration lost_source_patience = Seconds(15);
  /// A control machine that comes back without the leafs it had before: they have this long to
  /// report again, there or elsewhere.
  Duration unconfirmed_patience = Seconds(8);
  /// Reports that come within this time of each other take effect together: while hundreds of leafs
  /// come, taking each over by itself costs a gateway all its processor time. Word that a leaf
  /// leaves takes effect at once.
  Duration merge_interval{};
  /// The same, for each leaf that is known: taking over all of them costs a gateway 2.5 us a leaf.
  Duration merge_interval_per_leaf{};
};

class LeafView {
 public:
  explicit LeafView(LeafViewOptions options) : options_(options) {}

  /// @return false if changes in between were missed: greet with version 0 to get everything.
  bool OnFeed(Timestamp now, const std::string& source, const wire::LeafFeed& feed);
  /// The control machine cannot be reached.
  void OnSourceLost(Timestamp now, const std::string& source);
  /// Takes over what is committed: the leafs that report, and those that said for good that they
  /// leave.
  void SetCommitted(Timestamp now, const std::map<std::string, config::ReportedLeaf>& reported,
                    const std::set<std::string>& retired);
  /// One more leaf said for good that it leaves; takes effect at once.
  void Retire(const std::string& leaf);
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
    return stale_ ? std::optional(rebuilt_ + MergeInterval()) : std::nullopt;
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
  /// Lets reports take effect that wait.
  void Merge(Timestamp now);
  /// Leafs that were found closed to new work, by word that takes effect at once, since the last
  /// call.
  std::vector<std::string> TakeNewlyLeaving() { return std::exchange(newly_leaving_, {}); }
  /// Time between two merges.
  Duration MergeInterval() const {
    const Duration by_size = options_.merge_interval_per_leaf * static_cast<int64_t>(leafs_.size());
    return std::max(options_.merge_interval, std::min(by_size, kLongestMergeInterval));
  }
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
  /// Something changed: rebuilds now or, soon after the last time, later.
  void Changed(Timestamp now);
  void Rebuild();
  /// All words on all leafs, the most pessimistic on each.
  std::map<std::string, wire::LeafRecord> TakenTogether() const;
  /// Whether a control machine tells of the leaf by its heartbeats.
  bool IsReported(const std::string& leaf) const;
  /// Drops leafs that are only committed, if another one reports from their address.
  void DropReplaced(std::map<std::string, wire::LeafRecord>* leafs) const;
  void MarkLeaving(const std::string& leaf);
  void NoteCold(Timestamp now, const wire::LeafRecord& record);
  void SortByService();
  /// A fifth of the shortest time that leafs serve on after their leaving was acknowledged.
  static constexpr Duration kLongestMergeInterval = Milliseconds(600);

  std::vector<std::string> newly_leaving_;
  LeafViewOptions options_;
  /// Something has changed that is not in `leafs_` yet.
  bool stale_ = false;
  Timestamp rebuilt_{};
  std::map<std::string, Source> sources_;
  std::map<std::string, config::ReportedLeaf> reported_;
  std::set<std::string> retired_;
  std::set<std::string> evacuated_;
  std::map<std::string, Timestamp> restored_at_;
  std::map<std::string, Timestamp> cold_until_;
  uint64_t cold_words_ = 0;
  std::map<std::string, wire::LeafRecord> leafs_;
  std::map<std::string, std::vector<std::string>> by_service_;
  uint64_t version_ = 0;
  uint64_t merges_ = 0;
};

}  // namespace pumicedyke::gateway
