// All tunables of load balancing. docs/PERFORMANCE.md records the tuning rounds.
#pragma once

#include "balance/refusal_history.h"
#include "common/types.h"

namespace pumicedyke::balance {

struct BalanceKnobs {
  /// Weight of the newest latency sample in a leaf's moving average.
  double latency_weight = 0.2;
  /// Expected latency of a sub-request without better data.
  Duration initial_latency = Milliseconds(5);
  /// Half-life with which a leaf's slowness, the ratio of its latencies to the expected ones,
  /// returns to 1 without new samples.
  Duration slowness_half_life = Seconds(2);
  /// Growth of a leaf's slowness per consecutive loss. A sub-request that lost against a hedge or
  /// was abandoned shows that the leaf takes at least as long as the sub-request was outstanding.
  /// Each consecutive loss multiplies that by this factor, up to `max_slowness`. A sub-request
  /// outstanding for no longer than the leaf's current estimate is ignored. Zero ignores losses.
  double loss_growth = 0;
  double max_slowness = 32;
  /// Half-life of the weight of reported load, because reports lag behind.
  Duration load_half_life = Milliseconds(10);
  /// False chooses replicas at random, as a baseline.
  bool choose_by_load = true;
  /// A replica with half the score of another is chosen 2^choice_sharpness times as often.
  double choice_sharpness = 2.0;
  /// Factor on the score of a replica in another zone, because traffic between zones has a cost.
  double remote_penalty = 1.0;
  /// Factor on the score of a leaf outside the node's preferred subset (connection_subset.h).
  double outside_subset_penalty = 2.0;
  /// A request outstanding for this many times the usual latency marks the leaf as stalled.
  double stall_factor = 4.0;
  Duration stall_minimum = Milliseconds(15);
  /// Time for which a leaf counts as stalled after a request to it was abandoned unanswered. Any
  /// reply ends it; it doubles while the leaf stays silent.
  Duration suspicion = Milliseconds(500);
  /// Reports older than this are not used for a leaf's fullness.
  Duration fresh_report = Milliseconds(1000);

  /// Adaptive concurrency (additive increase, multiplicative decrease) per leaf and node.
  double initial_limit_per_slot = 1.0;
  double max_limit_per_slot = 2.0;
  double min_limit = 0.1;
  double shed_decrease = 0.7;
  double queue_decrease = 0.95;
  double increase = 1.0;
  /// Reported load per slot above which the limit decreases.
  double queue_tolerance = 1.5;
  Duration decrease_interval = Milliseconds(10);

  RefusalWeights refusals{};
  /// Cost of one refusal, in multiples of a sub-request's duration: a share of a budget and a
  /// pause. Zero ignores refusals in the choice between leafs.
  double refusal_cost = 20;

  /// Number of consecutive failures that eject a leaf, and the initial and maximum ejection time.
  int ejection_failures = 3;
  Duration ejection_time = Milliseconds(500);
  Duration max_ejection_time = Seconds(8);

  /// Maximum time for which a leaf gets no work before its first health report; zero disables this.
  Duration first_report_timeout{};
  /// A report that a leaf is not draining is ignored for this long after a report that it is.
  /// Reports are up to two seconds late and may arrive out of order.
  Duration draining_hold = Seconds(3);

  /// Capacity of the extra-load budget, in tokens.
  double budget_burst = 10.0;

  /// Number of latency samples for the hedge delay.
  size_t latency_window = 512;
  Duration initial_hedge_delay = Milliseconds(20);
  Duration min_hedge_delay = Milliseconds(1);

  /// Admission control by the leafs' reported fullness (running and queued requests per slot,
  /// averaged over `fullness_time`): regulates it to `throttle_target`, with `throttle_gain` per
  /// second and unit of error.
  Duration fullness_time = Milliseconds(300);
  Duration throttle_interval = Milliseconds(20);
  double throttle_target = 1.2;
  double throttle_gain = 1.0;
  double throttle_minimum = 0.05;

  /// A request is refused when the expected wait for a free leaf exceeds this share of its
  /// deadline, for priorities 0 and 9; interpolated linearly in between.
  double admission_low = 0.10;
  double admission_high = 0.30;
};

}  // namespace pumicedyke::balance
