// Whether replicas that restarted may vote at once. A replica that restarts may just have helped a
// leader's lease, and as a rule keeps from voting for as long as that lease can last. It need not
// where the leader itself has restarted too. Free functions; no state, safe on any thread.
#pragma once

#include <map>
#include <set>

#include "common/types.h"

namespace pumicedyke::consensus {

/// Replicas that restarted in one term and have heard no leader since, with the vote that each gave
/// in that term (0: none).
using RestartedVotes = std::map<MemberId, MemberId>;

/// @param electorate the voters of the group when the leader of the term was elected.
/// @return true if one of the restarted replicas got the votes of a majority of the electorate: it
/// alone can have led that term, and does not any more, so that nobody holds its lease.
bool LeaseIsVoid(const RestartedVotes& votes, const std::set<MemberId>& electorate);

}  // namespace pumicedyke::consensus
