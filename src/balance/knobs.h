// Every tunable of load balancing, in one place. docs/PERFORMANCE.md says which round set which.
#pragma once

#include "balance/refusal_history.h"
#include "common/types.h"

namespace pumicedyke::balance {

struct BalanceKnobs {
  /// Weight of the newest latency sample in a leaf's moving average.
  double latency_weight = 0.2;
  /// What is expected of a sub-request of which nothing better is known.
  Duration initial_latency = Milliseconds(5);
  /// A leaf's slowness, its latencies over the expected ones, drifts back to 1 with this half life
  /// while nothing refreshes it.
  Duration slowness_half_life = Seconds(2);
  /// A sub-request that lost against a later one, or that nobody waits for any more, shows that its
  /// leaf takes at least as long as it was out. Each such loss in a row makes the leaf look so many
  /// times slower than that, up to `most_slowness`; one that was out no longer than the leaf is
  /// believed to take says nothing. Zero: losses say nothing.
  double loss_growth = 0;
  double most_slowness = 32;
  /// Reported load loses half of its weight in this time: reports lag.
  Duration load_half_life = Milliseconds(10);
  /// Off for baselines: replicas are chosen at random.
  bool choose_by_load = true;
  /// A replica of half the score is drawn this power of two times as often.
  double choice_sharpness = 2.0;
  /// The score of a replica in another zone is this many times worse: bytes between zones cost.
  double remote_penalty = 1.0;
  /// The same for a leaf that the node holds no connection to as a rule (connection_subset.h).
  double outside_subset_penalty = 2.0;
  /// A request out this many times longer than usual marks the leaf as stalled.
  double stall_factor = 4.0;
  Duration stall_minimum = Milliseconds(15);
  /// How long a leaf counts as stalled that left a given-up request unanswered; any reply ends it.
  /// Doubles while it stays silent.
  Duration suspicion = Milliseconds(500);
  /// Reports older than this say nothing about a leaf's room.
  Duration fresh_report = Milliseconds(1000);

  /// Adaptive concurrency (additive increase, multiplicative decrease) per leaf and node.
  double initial_limit_per_slot = 1.0;
  double max_limit_per_slot = 2.0;
  double min_limit = 0.1;
  double shed_decrease = 0.7;
  double queue_decrease = 0.95;
  double increase = 1.0;
  /// Reported load per slot beyond which the limit goes down.
  double queue_tolerance = 1.5;
  Duration decrease_interval = Milliseconds(10);

  RefusalWeights refusals{};
  /// What one refusal costs, in times that a sub-request takes: part of an allowance and a pause.
  /// Zero: refusals do not count in the choice between leafs.
  double refusal_cost = 20;

  /// Consecutive failures that eject a leaf, and for how long at first and at most.
  int ejection_failures = 3;
  Duration ejection_time = Milliseconds(500);
  Duration max_ejection_time = Seconds(8);

  /// A leaf gets no work before its first health report, for this long at most; zero: at once.
  Duration first_report_patience{};
  /// Word that a leaf does not drain counts only this long after word that it does: reports are up
  /// to two seconds late and overtake each other.
  Duration draining_hold = Seconds(3);

  /// Tokens that the extra-load budget can save up.
  double budget_burst = 10.0;

  /// Latencies kept for the hedge delay.
  size_t latency_window = 512;
  Duration initial_hedge_delay = Milliseconds(20);
  Duration min_hedge_delay = Milliseconds(1);

  /// Admission follows how full leafs say they are (running and queued per slot, averaged over
  /// `fullness_time`): towards `throttle_target`, by `throttle_gain` a second and unit of error.
  Duration fullness_time = Milliseconds(300);
  Duration throttle_interval = Milliseconds(20);
  double throttle_target = 1.2;
  double throttle_gain = 1.0;
  double throttle_minimum = 0.05;

  /// A request is refused when the expected wait for a free leaf exceeds this part of its deadline
  /// (priority 0 and 9; in between by line).
  double admission_low = 0.10;
  double admission_high = 0.30;
};

}  // namespace pumicedyke::balance
