// One control machine's view of the leafs that send heartbeats to it: which are present, draining
// or silent. This is soft state: after a restart the leafs report again. Does not read a clock.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/types.h"
#include "wire/messages.h"

namespace pumicedyke::registry {

/// One heartbeat of a leaf.
struct LeafReport {
  wire::LeafRecord record;
  /// Rises with each heartbeat of one incarnation (wire::LeafRecord::born_ms), so that late
  /// heartbeats are recognized.
  uint64_t sequence = 0;
};

struct RegistryOptions {
  /// A leaf without a heartbeat for this long is removed.
  Duration silence_limit = Seconds(6);
  /// Minimum change of a leaf's reported cold time that counts as a change of the leaf.
  Duration cold_tolerance = Milliseconds(200);
  /// If a new leaf reports an address whose current holder sent a heartbeat within
  /// `holder_freshness`, the new leaf is accepted only after it has reported for
  /// `confirmation_time` without a heartbeat of the holder. Heartbeats of a stopped leaf may arrive
  /// late, but then all at once. Heartbeats are sent 1.2 s apart.
  Duration holder_freshness = Milliseconds(2500);
  Duration confirmation_time = Milliseconds(700);
  /// Up to this sequence number a leaf has just started, so the previous holder of its address has
  /// stopped.
  uint64_t initial_sequences = 2;
  /// Number of removals retained for incremental updates; receivers further behind get all records.
  size_t retained_removals = 1000;
};

enum class ReportResult {
  /// The heartbeat changed nothing.
  kUnchanged,
  kNew,
  kChanged,
  /// A later heartbeat, or one of a later incarnation, has already arrived.
  kStale,
  /// A known leaf has restarted under its id; the state of the previous incarnation is dropped.
  kRestarted,
  /// Another leaf holds the address and may still be alive. The report is not published yet.
  kUnconfirmed,
};

class LeafRegistry {
 public:
  explicit LeafRegistry(RegistryOptions options) : options_(options) {}

  /// Handles a heartbeat.
  /// @param other_holder another leaf that the configuration has at the same address and that
  /// reports to another control machine; null if there is none.
  ReportResult OnReport(Timestamp now, const LeafReport& report,
                        const std::string* other_holder = nullptr);
  /// Marks this incarnation of the leaf as draining for good; late heartbeats do not revoke it.
  /// @param born_ms zero for the current incarnation.
  /// @return false if the leaf is unknown here or a later incarnation has replaced this one.
  bool OnDeparture(Timestamp now, const std::string& leaf, uint64_t born_ms = 0);
  /// Drops leafs that have been silent for `silence_limit` and returns their ids.
  std::vector<std::string> DropSilent(Timestamp now);

  /// Restarts the silence of all leafs, for example after a time in which they could not report.
  void ResetSilence(Timestamp now);

  /// Returns the leafs that have reported since the last call.
  std::set<std::string> TakeReported() { return std::exchange(reported_, {}); }
  /// Returns the leafs that were dropped or replaced since the last call.
  std::set<std::string> TakeRemoved() { return std::exchange(removed_, {}); }

  /// Rises with each change.
  uint64_t version() const { return version_; }
  size_t size() const { return leafs_.size(); }
  /// Visits all leafs. @param visit also receives the time of the leaf's last heartbeat.
  void ForEach(
      const std::function<void(const wire::LeafRecord&, Timestamp last_heartbeat)>& visit) const;
  const wire::LeafRecord* Find(const std::string& leaf) const;
  /// Returns the changes since `version`, or all records if that is zero or too old. The fields
  /// `control` and `gateways` are left empty.
  wire::LeafFeed ChangesSince(Timestamp now, uint64_t version) const;

 private:
  struct Entry {
    /// `cold_milliseconds` is unused here; see `cold_until`.
    wire::LeafRecord record;
    uint64_t sequence = 0;
    uint64_t changed = 0;
    Timestamp last_heartbeat{};
    Timestamp cold_until{};
  };
  /// A claim of an address by a leaf that is not confirmed yet.
  struct Claim {
    Timestamp first_report{};
    uint64_t sequence = 0;
  };
  struct Removal {
    std::string leaf;
    uint64_t version = 0;
  };

  static bool IsStale(const LeafReport& report, const Entry& known);
  void Remove(const std::string& leaf);
  /// Gives the leaf a new version.
  void RecordChange(Entry* entry);
  wire::LeafRecord RecordOf(const Entry& entry, Timestamp now) const;
  /// Whether a leaf that is new here may take its address. For `other_holder` see OnReport().
  bool MayTakeAddress(Timestamp now, const LeafReport& report, const std::string* other_holder);
  void ReplaceHolder(const LeafReport& report);
  /// Drops the state of the leaf's previous incarnation.
  void DropPreviousIncarnation(Entry* entry);
  /// Returns the other leaf that holds the record's address, if any.
  const Entry* OtherHolder(const wire::LeafRecord& record) const;
  void DiscardOldClaims(Timestamp now);

  RegistryOptions options_;
  std::map<std::string, Entry> leafs_;
  /// Leafs by the version of their last change. Hundreds of gateways poll several times a second,
  /// so each poll must visit only the changed leafs.
  std::map<uint64_t, std::string> by_change_;
  /// The accepted leaf of `leafs_` at each address.
  std::map<std::string, std::string> holders_;
  std::map<std::string, Claim> claims_;
  std::set<std::string> reported_;
  std::set<std::string> removed_;
  std::deque<Removal> removals_;
  /// Version of the newest removal that is no longer retained.
  uint64_t discarded_version_ = 0;
  uint64_t version_ = 1;
};

}  // namespace pumicedyke::registry
