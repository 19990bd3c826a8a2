// Whether the shards of a request are shared among gateways, how they are cut into groups, and
// which gateways merge which group. Free functions; no state, safe on any thread.
//
// Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// 1998): all gateways that know the same gateways name the same mergers without a word to each
// other, and one that comes or goes moves only its own groups.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "common/types.h"
#include "query/shared_gather.h"

namespace pumicedyke::gateway {

/// What a request costs gateways, as measured on users' deployments (docs/DECISIONS-UNDER-LOAD.md).
struct SharingCosts {
  /// Processor time of one sub-request to a leaf: 6 ms for 90 of them.
  Duration sub_request = Microseconds(65);
  /// Processor time of asking one merger and of taking its word, twice at the median.
  Duration merger = Microseconds(120);
  /// Time on the way to a merger and back.
  Duration hop = Milliseconds(5);
  /// A request is shared only if it then takes no more than this part of the time.
  double worthwhile = 0.6;
};

/// @param processor_share cores that a gateway has, above zero.
/// @return into how many groups `shards` are cut; 1: the gateway gathers alone.
size_t GroupCount(size_t shards, double processor_share, const SharingCosts& costs = {});

/// How long the gateway that the client reached takes to take in the last words of all mergers,
/// which come together shortly before its answer is due.
/// @param processor_share cores that it has, above zero.
Duration TimeForWords(size_t groups, double processor_share, const SharingCosts& costs = {});

/// Cuts `shards` into `groups` ranges of nearly the same length, in order.
/// @param groups 1 up to `shards`.
std::vector<query::ShardRange> CutIntoGroups(size_t shards, size_t groups);

/// The shards of a range.
std::vector<std::string> Slice(const std::vector<std::string>& shards, query::ShardRange range);

/// Who merges one group of shards, in one zone.
struct GroupMergers {
  /// Every root turns to these, best first: few, so that their connections to the leafs stay warm,
  /// they learn from all of the group's traffic, and each has a large part of the allowance of
  /// extra sub-requests. How many there are does not grow with the fleet.
  std::vector<std::string> owners;
  /// Asked where no owner can be.
  std::vector<std::string> stand_ins;
};

/// Owners of a group in each zone with leafs. Two carry 30 requests a second at 0.12 cores, 28% of
/// one gateway's processor for a group of 18 shards, and one may be lost.
inline constexpr size_t kOwnersPerZone = 2;
/// Others of the zone that roots try after the owners of all zones.
inline constexpr size_t kStandInsPerZone = 3;

/// Rendezvous hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing
/// with Bounded Loads", 2016): no gateway owns more groups of a request than their even share
/// rounded up, so that none merges two while another one merges none.
/// @param groups names of the groups of one request, in order.
/// @param gateways of one zone, in order.
/// @return the mergers of each group; nobody if there are no gateways.
std::vector<GroupMergers> AssignMergers(const std::vector<std::string>& groups,
                                        const std::vector<std::string>& gateways);

/// The `count` gateways that come first for `group` by rendezvous hashing, best first.
std::vector<std::string> MergersOf(const std::string& group,
                                   const std::vector<std::string>& gateways, size_t count);

}  // namespace pumicedyke::gateway
