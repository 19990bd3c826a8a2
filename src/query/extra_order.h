// In which order the allowance of extra sub-requests is spent when leafs refuse and there is not
// enough for all. What brings a shard that has none yet comes before hedges; few gathers are
// brought to the coverage they need before many are left short of it; up to the need comes before
// beyond it.
//
// Several gateways work on one gather, each with an allowance of its own, and a gather that one of
// them gives up is lost for all. So the choice between gathers hangs on the name of the request
// alone, by which all of them choose alike without a word (as WeChat's DAGOR does between services:
// Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018).
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace pumicedyke::query {

/// Part of the allowance above which shards beyond the need of a gather are paid for.
inline constexpr double kPlentyLeft = 0.8;
/// Part of it below which not every gather is paid for.
inline constexpr double kScarceLeft = 0.25;
/// Part of the allowance that hedges leave alone where leafs refuse.
inline constexpr double kHedgesLeave = 0.5;

/// Part of what is sent that a leaf refuses often, at least.
inline constexpr double kFrequentRefusals = 0.1;

/// Where a gather stands as one gateway sees it.
struct GatherNeed {
  /// Shards that it can do without, of those asked here.
  size_t may_miss = 0;
  /// Shards without a part.
  size_t uncovered = 0;
};

/// @return the rank of a request among those that compete for an allowance, 0 up to 1, alike at
/// every gateway; the lower, the sooner it is paid for.
double RankOf(std::string_view request_id);

/// Whether a gather is paid for at shards all of whose leafs refuse often. Decided once for each
/// gather: one that was begun is not left half done.
/// @param left parts of the allowance, 0 to 1, that are left at each of these shards. Those that
/// the gather can do without may be the scarcest ones.
bool PaidFor(double rank, std::vector<double> left, size_t may_miss);

/// Whether to send once more for such a shard, for a gather that is paid for.
/// @param left part of the allowance that is left at this shard, 0 to 1.
bool WorthReplacing(const GatherNeed& need, double left);

/// Whether to ask a second leaf for a shard that is being worked on.
/// @param refusals leafs of the shard refuse part of what is sent.
bool WorthHedging(bool refusals, double left);

/// How many of its shards one group may miss so that the whole gather still reaches its coverage.
/// What cannot be divided among the groups goes round with the request.
/// @param shards, min_coverage of the whole gather. @param groups 1 or more.
size_t MayMiss(size_t shards, double min_coverage, size_t groups, size_t group,
               std::string_view request_id);

}  // namespace pumicedyke::query
