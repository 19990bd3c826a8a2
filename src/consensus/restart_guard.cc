#include "consensus/restart_guard.h"

#include <algorithm>

namespace pumicedyke::consensus {

bool LeaseIsVoid(const RestartedVotes& votes, const std::set<MemberId>& electorate) {
  std::map<MemberId, size_t> counts;
  for (const auto& [voter, vote] : votes) {
    counts[vote] += electorate.contains(voter) ? 1 : 0;
  }
  return std::any_of(counts.begin(), counts.end(), [&](const auto& item) {
    const auto& [leader, count] = item;
    return leader != 0 && count > electorate.size() / 2 && votes.contains(leader);
  });
}

}  // namespace pumicedyke::consensus
