// Which gateways merge which groups of a request's shards, as one gateway sees it: the owners of
// each group in the zones where its leafs are, in the order in which this gateway asks them.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/region_map.h"
#include "common/types.h"
#include "gateway/leaf_view.h"
#include "gateway/merger_placement.h"
#include "gateway/peer_view.h"

namespace pumicedyke::gateway {

/// A group of shards of a request, and the groups beside it.
struct GroupPlace {
  /// Names of all groups: the first shard of each.
  std::vector<std::string> groups;
  size_t index = 0;
  /// The shards of this one.
  std::vector<std::string> shards;
};

/// @param index of the group among `ranges`.
GroupPlace PlaceOf(const std::vector<std::string>& shards,
                   const std::vector<query::ShardRange>& ranges, size_t index);

/// Lives on the event loop's thread.
class GroupOwners {
 public:
  /// @param node and zone of this gateway. @param view, peers and regions outlive this object.
  GroupOwners(std::string node, std::string zone, const LeafView* view, const PeerView* peers,
              const RegionMap* regions)
      : node_(std::move(node)),
        zone_(std::move(zone)),
        view_(view),
        peers_(peers),
        regions_(regions) {}

  /// @param homes regions whose leafs alone may be asked; empty: any.
  /// @param tried addresses that must not be asked (again).
  /// @param given how many groups of the request each merger, by address, has been asked for.
  /// @return the address of the gateway to merge a group; unset: nobody can.
  std::optional<std::string> Choose(Timestamp now, const GroupPlace& place,
                                    const std::set<std::string>& homes,
                                    const std::set<std::string>& tried,
                                    const std::map<std::string, size_t>& given);

  /// Gateways that own a group, this one among them; zero: it is none of them.
  size_t Fellows(const GroupPlace& place, const std::set<std::string>& homes);

  /// The gateway at `address` was silent: it is asked last until then.
  void Suspect(const std::string& address, Timestamp until) { suspects_[address] = until; }
  /// It has spoken.
  void Clear(const std::string& address) { suspects_.erase(address); }

 private:
  /// The merger to ask that was found so far, by address.
  struct Choice {
    std::optional<std::string> best;
    /// Groups of the request that it was asked for.
    size_t groups = 0;
    /// One that was silent lately.
    std::optional<std::string> suspect;
  };

  /// Takes a better one of `mergers`, if there is one. One that has fewer groups of this request is
  /// better, then one of a zone that is considered first: at 0.12 cores a group of 18 shards takes
  /// a merger 10 ms, the way to another zone and back 2 to 3 ms.
  void Consider(Timestamp now, std::vector<std::string> mergers, const std::set<std::string>& tried,
                const std::map<std::string, size_t>& given, Choice* choice) const;
  const GroupMergers& MergersIn(const std::string& zone, const GroupPlace& place);
  /// Zones of these regions in which leafs of these shards are, this gateway's own first.
  std::vector<std::string> ZonesOf(const std::vector<std::string>& shards,
                                   const std::set<std::string>& homes) const;

  std::string node_;
  std::string zone_;
  const LeafView* view_;
  const PeerView* peers_;
  const RegionMap* regions_;
  /// By zone and names of the groups, for `changes_` of the peers.
  std::map<std::pair<std::string, std::vector<std::string>>, std::vector<GroupMergers>> mergers_;
  uint64_t changes_ = 0;
  /// Gateways that were silent, by address.
  std::map<std::string, Timestamp> suspects_;
};

}  // namespace pumicedyke::gateway
