#include "sim/mechanisms.h"

#include <algorithm>
#include <array>

namespace pumicedyke::sim {

std::string_view InvariantName(Invariant invariant) {
  constexpr std::array<std::string_view, 10> kNames = {
      "one-snapshot",           "truthful-coverage",    "own-complete-answer", "not-run-is-proof",
      "at-most-once",           "leaving-gets-no-work", "planned-stop",        "config-in-force",
      "fatal-requests-stopped", "told-outcome-stays"};
  return kNames.at(static_cast<size_t>(invariant));
}

const std::vector<Mechanism>& AllMechanisms() {
  using enum Invariant;
  static const auto* const mechanisms = new std::vector<Mechanism>{
      {"snapshot-pin", kOneSnapshot, "repartition",
       "a reply computed on another snapshot is rejected"},
      {"coverage-dedupe", kTruthfulCoverage, "stragglers", "a shard's second reply is dropped"},
      {"reply-id-check", kOwnCompleteAnswer, "stragglers",
       "a reply is matched to its sub-request by id"},
      {"sent-tracking", kNotRunIsProof, "lost-replica",
       "a sub-request that was handed to a connection counts as possibly run"},
      {"ledger-before-dispatch", kAtMostOnce, "node-restart",
       "non-repeatable work is claimed in the replicated ledger before it is sent"},
      {"record-before-answer", kToldOutcomeStays, "told-outcomes",
       "the outcome of non-repeatable work is recorded in the ledger before it is reported"},
      {"leaving-mark", kLeavingGetsNoWork, "drain", "leaving back ends are not selected"},
      {"drain-before-exit", kPlannedStop, "planned-stop",
       "a stopping process answers every request that it admitted"},
      {"lease-check", kConfigInForce, "cut-leader",
       "a leader serves only while no other leader can have been elected"},
      {"quorum-proof", kConfigInForce, "cut-leader",
       "a follower confirms its configuration by a majority, not by its leader alone"},
      {"sync-before-ack", kConfigInForce, "control-crash",
       "log entries are synced before they are acknowledged"},
      {"new-incarnation", kConfigInForce, "lost-disk",
       "a machine with a lost disk rejoins under a new identity, without a vote"},
      {"catch-up-before-vote", kConfigInForce, "lost-disk",
       "a new member holds the whole log before it votes and before redundancy is reported"},
      {"join-relay", kConfigInForce, "rejoin", "a follower relays join requests to the leader"},
      {"submission-id", kConfigInForce, "racing-operators",
       "a resent change gets the result of the first submission"},
      {"compare-and-set", kConfigInForce, "racing-operators",
       "of two changes on the same revision only one is accepted"},
      {"monotone-version", kConfigInForce, "cut-leader",
       "a node never reverts to an older configuration"},
      {"quarantine", kFatalRequestsStopped, "fatal-query",
       "a request that crashed leafs in several attempts is blocked by the whole fleet"},
  };
  return *mechanisms;
}

const Mechanism* FindMechanism(std::string_view name) {
  const auto& all = AllMechanisms();
  const auto found = std::find_if(all.begin(), all.end(), [name](const Mechanism& mechanism) {
    return mechanism.name == name;
  });
  return found == all.end() ? nullptr : &*found;
}

}  // namespace pumicedyke::sim
