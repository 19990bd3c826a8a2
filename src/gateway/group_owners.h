// Selects the mergers for the groups of a request's shards, from one gateway's point of view: the
// owners of each group in the zones where the group's leafs are, in this gateway's order of
// preference.
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

/// A group of shards of a request, together with the names of all groups of the request.
struct GroupPlace {
  /// Names of all groups: the first shard of each.
  std::vector<std::string> groups;
  size_t index = 0;
  /// Shards of this group.
  std::vector<std::string> shards;
};

/// @param index of the group among `ranges`.
GroupPlace PlaceOf(const std::vector<std::string>& shards,
                   const std::vector<query::ShardRange>& ranges, size_t index);

struct GroupOwnersOptions {
  /// Name and zone of this gateway.
  std::string node;
  std::string zone;
  /// A gateway that becomes an owner has no share of the limits on extra sub-requests for this
  /// long, so that roots prefer those that were owners before.
  Duration holding_time{};
  /// An owner that is absent for no longer than this is as before when it returns: it may only have
  /// been out of contact with control.
  Duration absence_limit{};
};

/// Confined to the event loop's thread.
class GroupOwners {
 public:
  /// @param now the start of this process: which owners it finds then are new is not known.
  /// @param view, peers, regions must outlive this object.
  GroupOwners(GroupOwnersOptions options, Timestamp now, const LeafView* view,
              const PeerView* peers, const RegionMap* regions)
      : options_(std::move(options)),
        started_(now),
        view_(view),
        peers_(peers),
        regions_(regions) {}

  /// Returns the address of the gateway that is to merge a group; unset if none is available.
  /// @param allowed_regions regions whose leafs may be queried; empty: all.
  /// @param tried addresses that must not be selected.
  /// @param assigned_groups number of groups of this request already assigned to each merger, by
  /// address.
  std::optional<std::string> Choose(Timestamp now, const GroupPlace& place,
                                    const std::set<std::string>& allowed_regions,
                                    const std::set<std::string>& tried,
                                    const std::map<std::string, size_t>& assigned_groups);

  /// Returns the gateways that own the group.
  std::set<std::string> OwnersOf(Timestamp now, const GroupPlace& place,
                                 const std::set<std::string>& allowed_regions);
  /// Returns the number of gateways that own the group, if this gateway is one of them; otherwise
  /// zero.
  size_t CoOwnerCount(Timestamp now, const GroupPlace& place,
                      const std::set<std::string>& allowed_regions);

  /// Ranks the gateway at `address` last until `until`, because it did not respond.
  void Suspect(const std::string& address, Timestamp until) { suspects_[address] = until; }
  /// Removes the suspicion after the gateway has responded.
  void Clear(const std::string& address) { suspects_.erase(address); }

 private:
  /// Best merger found so far, by address.
  struct Choice {
    std::optional<std::string> best;
    /// Whether `best` has become an owner only recently.
    bool newcomer = false;
    /// Groups of the request already assigned to `best`.
    size_t groups = 0;
    /// Fallback: a gateway that recently did not respond.
    std::optional<std::string> suspect;
  };

  /// Time in which a gateway is an owner of a group.
  struct Tenure {
    Timestamp since;
    /// Unset: it is an owner now.
    std::optional<Timestamp> absent_since;
  };
  /// By name of the gateway.
  using Tenures = std::map<std::string, Tenure>;
  /// Mergers and tenures of the groups of a request in one zone.
  struct Assignment {
    /// Version of the peers for which it is valid.
    uint64_t changes = 0;
    std::vector<GroupMergers> mergers;
    std::vector<Tenures> tenures;
  };

  /// Updates `choice` if `mergers` contains a better gateway. Those that are no newcomers rank
  /// first, then fewer groups of this request, then the order of zones: at 0.12 cores a group of 18
  /// shards costs a merger 10 ms, while a round trip to another zone takes 2 to 3 ms.
  /// @param tenures of the mergers; null: there are no newcomers.
  void Consider(Timestamp now, std::vector<std::string> mergers, const Tenures* tenures,
                const std::set<std::string>& tried,
                const std::map<std::string, size_t>& assigned_groups, Choice* choice) const;
  const Assignment& AssignmentIn(Timestamp now, const std::string& zone, const GroupPlace& place);
  /// Records which gateways own each group from now on.
  void UpdateTenures(Timestamp now, Assignment* assignment) const;
  bool IsNewcomer(Timestamp now, const Tenures* tenures, const std::string& merger) const;
  /// Returns the zones of the allowed regions that have leafs of these shards, this gateway's own
  /// zone first.
  std::vector<std::string> ZonesOf(const std::vector<std::string>& shards,
                                   const std::set<std::string>& allowed_regions) const;

  GroupOwnersOptions options_;
  Timestamp started_;
  const LeafView* view_;
  const PeerView* peers_;
  const RegionMap* regions_;
  /// By zone and the names of all groups; those that were used since the last change of the peers
  /// but one.
  std::map<std::pair<std::string, std::vector<std::string>>, Assignment> assignments_;
  uint64_t changes_ = 0;
  /// Time until which a gateway that did not respond is ranked last, by address.
  std::map<std::string, Timestamp> suspects_;
};

}  // namespace pumicedyke::gateway
