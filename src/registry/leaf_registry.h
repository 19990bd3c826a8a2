// What one control machine knows of the leafs that report to it by heartbeats: who is there, who is
// leaving, who has fallen silent. Soft state: after a restart the leafs report again. No clock.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/types.h"
#include "wire/messages.h"

namespace pumicedyke::registry {

/// One heartbeat of a leaf.
struct LeafReport {
  wire::LeafRecord record;
  /// Rises with each heartbeat of one incarnation, so that a late one can be known.
  uint64_t sequence = 0;
};

struct RegistryOptions {
  /// A leaf that was not heard of for this long counts as gone.
  Duration silence_limit = Seconds(6);
  /// Removals remembered for receivers that are a little behind; others get everything.
  size_t kept_removals = 1000;
};

enum class ReportVerdict {
  /// Nothing new.
  kKnown,
  kNew,
  kChanged,
  /// A later heartbeat came before this one.
  kStale,
};

class LeafRegistry {
 public:
  explicit LeafRegistry(RegistryOptions options) : options_(options) {}

  ReportVerdict OnReport(Timestamp now, const LeafReport& report);
  /// The leaf is leaving for good: it is draining from now on, whatever late heartbeats say.
  /// @return false if it is not known here.
  bool OnDeparture(Timestamp now, const std::string& leaf);
  /// Drops leafs that have been silent for too long. @return their ids.
  std::vector<std::string> DropSilent(Timestamp now);

  /// Leafs could not report: their time of silence starts anew.
  void ForgiveSilence(Timestamp now);

  /// Counts changes.
  uint64_t version() const { return version_; }
  size_t size() const { return leafs_.size(); }
  /// @param visit also gets when the leaf was heard of last.
  void ForEach(const std::function<void(const wire::LeafRecord&, Timestamp heard)>& visit) const;
  const wire::LeafRecord* Find(const std::string& leaf) const;
  /// What changed since `version`; everything if that is zero or too long ago. Fields `control` and
  /// `gateways` are left empty.
  wire::LeafFeed ChangesSince(uint64_t version) const;

 private:
  struct Entry {
    wire::LeafRecord record;
    uint64_t sequence = 0;
    uint64_t changed = 0;
    Timestamp heard{};
  };
  struct Removal {
    std::string leaf;
    uint64_t version = 0;
  };

  void Remove(const std::string& leaf);

  RegistryOptions options_;
  std::map<std::string, Entry> leafs_;
  std::deque<Removal> removals_;
  /// Version of the oldest removal that was forgotten.
  uint64_t forgotten_ = 0;
  uint64_t version_ = 1;
};

}  // namespace pumicedyke::registry
