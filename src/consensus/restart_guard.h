// Decides whether replicas that restarted may vote at once. A replica may have acknowledged a
// leader's lease just before it restarted, so it normally does not vote until that lease must have
// expired. It need not wait if the leader has restarted, too. Free functions without state, safe on
// any thread.
#pragma once

#include <map>
#include <set>

#include "common/types.h"

namespace pumicedyke::consensus {

/// Replicas that restarted in one term and have had no contact with a leader since, with the vote
/// that each cast in that term (0: none).
using RestartedVotes = std::map<MemberId, MemberId>;

/// @param electorate the voters of the group when the leader of the term was elected.
/// @return true if one of the restarted replicas got the votes of a majority of the electorate. It
/// alone can have led that term, and it has lost its lease by restarting.
bool LeaseIsVoid(const RestartedVotes& votes, const std::set<MemberId>& electorate);

}  // namespace pumicedyke::consensus
