// What one control machine knows of the leafs that report to it by heartbeats: who is there, who is
// leaving, who has fallen silent. Soft state: after a restart the leafs report again. No clock.
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
  /// Rises with each heartbeat of one life (wire::LeafRecord::born_ms), so that a late one can be
  /// known.
  uint64_t sequence = 0;
};

struct RegistryOptions {
  /// A leaf that was not heard of for this long counts as gone.
  Duration silence_limit = Seconds(6);
  /// A leaf that says so much else of how long it is cold than before has become cold again.
  Duration cold_tolerance = Milliseconds(200);
  /// A leaf that is new here, at an address where another one was heard of so lately, is believed
  /// only once it has been heard of for `confirmation` without a word from the other: heartbeats of
  /// a leaf that has ended may come late, but then all at once. Two heartbeats are 1.2 s apart.
  Duration holder_freshness = Milliseconds(2500);
  Duration confirmation = Milliseconds(700);
  /// Heartbeats up to this one are the first of a leaf's life: it has just started, and whatever
  /// was at its address has ended.
  uint64_t first_sequences = 2;
  /// Removals remembered for receivers that are a little behind; others get everything.
  size_t kept_removals = 1000;
};

enum class ReportVerdict {
  /// Nothing new.
  kKnown,
  kNew,
  kChanged,
  /// A later heartbeat came before this one, or one of a later life.
  kStale,
  /// A known leaf has started again under its id: nothing of its former life holds.
  kReborn,
  /// Another leaf is at the address; whether it has ended shows later. Not told to anybody yet.
  kUnconfirmed,
};

class LeafRegistry {
 public:
  explicit LeafRegistry(RegistryOptions options) : options_(options) {}

  /// @param elsewhere another leaf that the configuration knows at the same address and that
  /// reports to another control machine; null: there is none.
  ReportVerdict OnReport(Timestamp now, const LeafReport& report,
                         const std::string* elsewhere = nullptr);
  /// This life of the leaf is leaving for good: it is draining from now on, whatever late
  /// heartbeats say.
  /// @param born_ms zero: the life that is known.
  /// @return false if it is not known here, or has been followed by another one.
  bool OnDeparture(Timestamp now, const std::string& leaf, uint64_t born_ms = 0);
  /// Drops leafs that have been silent for too long. @return their ids.
  std::vector<std::string> DropSilent(Timestamp now);

  /// Leafs could not report: their time of silence starts anew.
  void ForgiveSilence(Timestamp now);

  /// Leafs that were heard of since the last call.
  std::set<std::string> TakeHeard() { return std::exchange(heard_, {}); }
  /// Leafs that were dropped or replaced since the last call.
  std::set<std::string> TakeRemoved() { return std::exchange(removed_, {}); }

  /// Counts changes.
  uint64_t version() const { return version_; }
  size_t size() const { return leafs_.size(); }
  /// @param visit also gets when the leaf was heard of last.
  void ForEach(const std::function<void(const wire::LeafRecord&, Timestamp heard)>& visit) const;
  const wire::LeafRecord* Find(const std::string& leaf) const;
  /// What changed since `version`; everything if that is zero or too long ago. Fields `control` and
  /// `gateways` are left empty.
  wire::LeafFeed ChangesSince(Timestamp now, uint64_t version) const;

 private:
  struct Entry {
    /// `cold_milliseconds` is unused: `cold_until` tells it.
    wire::LeafRecord record;
    uint64_t sequence = 0;
    uint64_t changed = 0;
    Timestamp heard{};
    Timestamp cold_until{};
  };
  /// A leaf that is not believed yet.
  struct Claim {
    Timestamp first_heard{};
    uint64_t sequence = 0;
  };
  struct Removal {
    std::string leaf;
    uint64_t version = 0;
  };

  static bool IsStale(const LeafReport& report, const Entry& known);
  void Remove(const std::string& leaf);
  /// Counts a change of this leaf.
  void NoteChange(Entry* entry);
  wire::LeafRecord RecordOf(const Entry& entry, Timestamp now) const;
  /// Whether a leaf that is new here may take its address. What the configuration says of a leaf
  /// that reports elsewhere is passed as `elsewhere`; null: it knows none at the address.
  bool MayTakeAddress(Timestamp now, const LeafReport& report, const std::string* elsewhere);
  void ReplaceHolder(const LeafReport& report);
  /// Forgets what was known of the leaf's former life.
  void EndLife(Entry* entry);
  /// The other leaf at this address that was heard of last, if any.
  const Entry* HolderOf(const wire::LeafRecord& record) const;
  void ForgetClaims(Timestamp now);

  RegistryOptions options_;
  std::map<std::string, Entry> leafs_;
  /// The leafs by the version of their last change: with hundreds of gateways that ask several
  /// times a second, only what has changed may be looked at.
  std::map<uint64_t, std::string> by_change_;
  /// The leaf of `leafs_` that was believed last at each address.
  std::map<std::string, std::string> holders_;
  std::map<std::string, Claim> claims_;
  std::set<std::string> heard_;
  std::set<std::string> removed_;
  std::deque<Removal> removals_;
  /// Version of the oldest removal that was forgotten.
  uint64_t forgotten_ = 0;
  uint64_t version_ = 1;
};

}  // namespace pumicedyke::registry
