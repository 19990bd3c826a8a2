// The leafs that a gateway may use: the reports of several control machines taken together with
// what the configuration says for good. No clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
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
  void SetCommitted(const std::map<std::string, config::ReportedLeaf>& reported,
                    const std::set<std::string>& retired);
  /// Forgets control machines that were lost long ago.
  void Tick(Timestamp now);

  /// Version of the source's leafs held here; zero: none.
  uint64_t VersionOf(const std::string& source) const;
  /// Leafs by id that are there, draining ones included.
  const std::map<std::string, wire::LeafRecord>& leafs() const { return leafs_; }
  bool IsLeaving(const std::string& leaf) const;
  /// Ids of the usable leafs of a service.
  const std::vector<std::string>& UsableLeafs(const std::string& service) const;
  /// Counts changes of what is usable.
  uint64_t version() const { return version_; }

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
  void Rebuild();

  LeafViewOptions options_;
  std::map<std::string, Source> sources_;
  std::map<std::string, config::ReportedLeaf> reported_;
  std::set<std::string> retired_;
  std::map<std::string, wire::LeafRecord> leafs_;
  std::map<std::string, std::vector<std::string>> by_service_;
  uint64_t version_ = 0;
};

}  // namespace pumicedyke::gateway
