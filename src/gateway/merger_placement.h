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

/// Cuts `shards` into `groups` ranges of nearly the same length, in order.
/// @param groups 1 up to `shards`.
std::vector<query::ShardRange> CutIntoGroups(size_t shards, size_t groups);

/// The shards of a range.
std::vector<std::string> Slice(const std::vector<std::string>& shards, query::ShardRange range);

/// How many of a zone's gateways merge one group: few, so that their connections to the leafs stay
/// warm, but two at least.
size_t MergersPerGroup(size_t gateways_in_zone, size_t groups);

/// The `count` gateways that merge `group`, best first.
std::vector<std::string> MergersOf(const std::string& group,
                                   const std::vector<std::string>& gateways, size_t count);

}  // namespace pumicedyke::gateway
