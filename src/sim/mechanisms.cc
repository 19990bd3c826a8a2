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
       "replies computed on another snapshot are refused"},
      {"coverage-dedupe", kTruthfulCoverage, "stragglers", "a shard's second reply is dropped"},
      {"reply-id-check", kOwnCompleteAnswer, "stragglers",
       "a reply belongs to the sub-request whose id it carries"},
      {"sent-tracking", kNotRunIsProof, "lost-replica",
       "what was handed to a connection may have run"},
      {"ledger-before-dispatch", kAtMostOnce, "node-restart",
       "unrepeatable work is claimed in the replicated ledger first"},
      {"record-before-answer", kToldOutcomeStays, "told-outcomes",
       "the outcome of unrepeatable work is in the ledger before it is told"},
      {"leaving-mark", kLeavingGetsNoWork, "drain", "leaving back ends are not chosen"},
      {"drain-before-exit", kPlannedStop, "planned-stop",
       "a stopping process answers what it admitted"},
      {"lease-check", kConfigInForce, "cut-leader",
       "a leader speaks only while no other can have been elected"},
      {"quorum-proof", kConfigInForce, "cut-leader",
       "a machine that follows vouches by word of a majority, not of its leader"},
      {"sync-before-ack", kConfigInForce, "control-crash",
       "log entries are synced before they are acknowledged"},
      {"new-incarnation", kConfigInForce, "lost-disk",
       "a lost disk comes back under another identity, without a vote"},
      {"catch-up-before-vote", kConfigInForce, "lost-disk",
       "a newcomer holds everything before it votes and before redundancy is reported"},
      {"join-relay", kConfigInForce, "rejoin",
       "a machine that does not lead passes requests to join on to the leader"},
      {"submission-id", kConfigInForce, "racing-operators",
       "a resend gets the first submission's result"},
      {"compare-and-set", kConfigInForce, "racing-operators",
       "of two changes on one revision one wins"},
      {"monotone-version", kConfigInForce, "cut-leader",
       "a node never goes back to an older configuration"},
      {"quarantine", kFatalRequestsStopped, "fatal-query",
       "what ended leafs in several attempts is stopped by the whole fleet"},
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
