// Order in which the budget for extra sub-requests is spent when leafs refuse and the budget is not
// enough for every request. Sub-requests for shards without a result come before hedges. Bringing a
// few gathers to their required coverage is preferred over leaving many short of it. Shards up to
// the required coverage come before those beyond it.
//
// Several gateways work on one gather, each with its own budget, and a gather that one of them
// abandons fails as a whole. The choice between gathers therefore depends only on the request ID,
// so that all gateways choose the same without communication (as DAGOR of WeChat between services:
// Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018).
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace pumicedyke::query {

/// Fraction of the budget above which shards beyond the required coverage are paid for.
inline constexpr double kAmpleBudget = 0.8;
/// Fraction of the budget below which only some gathers are paid for, by rank.
inline constexpr double kScarceBudget = 0.25;
/// Fraction of the budget that hedges leave unused where leafs refuse.
inline constexpr double kHedgeReserve = 0.5;

/// Minimum refusal rate of a leaf that refuses often.
inline constexpr double kFrequentRefusalRate = 0.1;

/// Coverage of a gather as seen by one gateway.
struct GatherProgress {
  /// Shards that may stay without a result, of those assigned to this gateway.
  size_t max_missing = 0;
  /// Shards without a result so far.
  size_t uncovered = 0;
};

/// @return the rank of a request among those that compete for a budget, 0 up to 1. It is the same
/// at every gateway; lower ranks are paid for first.
double RankOf(std::string_view request_id);

/// Returns whether a gather may charge the budget for shards whose leafs all refuse often. Decided
/// once for each gather, so that a gather that was started is not abandoned half done.
/// @param remaining remaining fractions of the budget, 0 to 1, one for each of these shards. The
/// `max_missing` lowest ones are ignored.
bool RankQualifies(double rank, std::vector<double> remaining, size_t max_missing);

/// Returns whether to send another sub-request for such a shard, for a gather that qualifies.
/// @param remaining remaining fraction of the budget of this shard, 0 to 1.
bool ShouldReplace(const GatherProgress& progress, double remaining);

/// Returns whether to send a hedge for a shard with a running sub-request.
/// @param refusals whether leafs of the shard refuse often.
bool ShouldHedge(bool refusals, double remaining);

/// Returns how many of its shards one group may miss so that the whole gather still reaches its
/// coverage. The remainder of the division among the groups is assigned by a hash of the request
/// ID.
/// @param shards, min_coverage of the whole gather. @param groups 1 or more.
size_t MaxMissing(size_t shards, double min_coverage, size_t groups, size_t group,
                  std::string_view request_id);

}  // namespace pumicedyke::query
