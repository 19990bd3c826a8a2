// Decides whether the shards of a request are shared among gateways, how they are divided into
// groups, and which gateways merge which group. Free functions without state; thread-safe.
//
// Uses rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit
// rates", 1998): gateways with the same view of the fleet select the same mergers without
// communication, and a gateway that is added or removed moves only its own groups.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "common/types.h"
#include "query/shared_gather.h"

namespace pumicedyke::gateway {

/// Cost of a request for gateways, as measured on users' deployments
/// (docs/DECISIONS-UNDER-LOAD.md).
struct SharingCosts {
  /// Processor time of one sub-request to a leaf: 6 ms for 90 of them.
  Duration sub_request = Microseconds(65);
  /// Processor time for sending one partial query and processing its answer, twice at the median.
  Duration merger = Microseconds(120);
  /// Round-trip time to a merger.
  Duration hop = Milliseconds(5);
  /// A request is shared only if this reduces its time to this fraction or less.
  double worthwhile = 0.6;
};

/// Returns the number of groups that `shards` are divided into; 1: the gateway gathers alone.
/// @param processor_share number of cores of a gateway, above zero.
size_t GroupCount(size_t shards, double processor_share, const SharingCosts& costs = {});

/// Returns the processor time that the root (the gateway that the client reached) needs for the
/// final answers of all mergers, which arrive together shortly before its own answer is due.
/// @param processor_share number of cores of the root, above zero.
Duration TimeForPartialAnswers(size_t groups, double processor_share,
                               const SharingCosts& costs = {});

/// Divides `shards` into `groups` contiguous ranges of nearly equal length.
/// @param groups from 1 to `shards`.
std::vector<query::ShardRange> CutIntoGroups(size_t shards, size_t groups);

/// Returns the shards of a range.
std::vector<std::string> Slice(const std::vector<std::string>& shards, query::ShardRange range);

/// Mergers of one group of shards in one zone.
struct GroupMergers {
  /// Gateways that every root tries first, best first. There are only few owners, independent of
  /// the size of the fleet: this keeps their connections to the leafs warm, lets them learn from
  /// all of the group's traffic, and gives each a large part of the budget for extra sub-requests.
  std::vector<std::string> owners;
  /// Gateways tried if no owner is available.
  std::vector<std::string> backups;
};

/// Number of owners of a group in each zone with leafs. Two owners can carry 30 requests per second
/// at 0.12 cores, which is 28% of one gateway's processor for a group of 18 shards, and one of them
/// may fail.
inline constexpr size_t kOwnersPerZone = 2;
/// Number of other gateways of the zone that roots try after the owners of all zones.
inline constexpr size_t kBackupsPerZone = 3;

/// Assigns mergers by rendezvous hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
/// "Consistent Hashing with Bounded Loads", 2016): no gateway owns more groups of a request than
/// their even share rounded up, so that no gateway merges two groups while another one merges none.
/// @param groups names of the groups of one request, in order.
/// @param gateways names of the gateways of one zone, in order.
/// @return the mergers of each group; empty lists if there are no gateways.
std::vector<GroupMergers> AssignMergers(const std::vector<std::string>& groups,
                                        const std::vector<std::string>& gateways);

/// Returns the `count` gateways that rank first for `group` by rendezvous hashing, best first.
std::vector<std::string> MergersOf(const std::string& group,
                                   const std::vector<std::string>& gateways, size_t count);

}  // namespace pumicedyke::gateway
