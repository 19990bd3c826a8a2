// One node's view of the leafs that it sends to: which are leaving, their load and latency, and how
// many requests this node may have outstanding at each. Chooses replicas.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "balance/knobs.h"
#include "balance/refusal_history.h"
#include "common/types.h"
#include "query/messages.h"

namespace pumicedyke::balance {

enum class Availability {
  kReady,
  /// Takes work later: its limit is reached or it is temporarily ejected.
  kBusy,
  /// Takes no new work: it is leaving, or it is cold and its limit is used up.
  kLeaving,
};

/// Limit on what this node may send to a cold leaf.
struct ColdLimit {
  Timestamp until{};
  /// Sub-requests per second; zero means none.
  double per_second = 0;
};

/// Location of a leaf relative to this node.
struct LeafPlacement {
  /// In another zone.
  bool remote = false;
  /// In this node's preferred subset (connection_subset.h).
  bool preferred = true;
};

class LeafPool {
 public:
  LeafPool(BalanceKnobs knobs, uint64_t seed) : knobs_(knobs), random_(seed) {}

  /// Adds a leaf, or updates its slots and placement.
  void Configure(Timestamp now, const std::string& leaf, uint32_t slots,
                 LeafPlacement placement = {});

  /// Removes a leaf that has stopped; its late replies are ignored.
  void Remove(const std::string& leaf) { leafs_.erase(leaf); }

  /// Sets the leafs that are leaving according to one source. Any one source is sufficient, because
  /// a leaving back end must get no new work. A source revokes only its own mark.
  void SetLeavingInConfig(const std::set<std::string>& leafs);
  void SetLeavingOnPlatform(const std::set<std::string>& leafs);
  /// The same as SetLeavingOnPlatform() for one leaf.
  void SetLeafLeavingOnPlatform(const std::string& leaf, bool leaving);
  /// Sets the limits of cold leafs by id; all other leafs are not limited. A leaf that already has
  /// a limit keeps its accumulated credit.
  void SetCold(Timestamp now, const std::map<std::string, ColdLimit>& limits);
  /// Handles a health report of the leaf.
  void OnHealth(Timestamp now, const std::string& leaf, bool draining);

  Availability AvailabilityOf(const std::string& leaf, Timestamp now) const;
  /// Returns the time before which the leaf takes no work, as far as is known: `now` if it may take
  /// some at any moment, Timestamp::max() if it is leaving or unknown. A leaf that registers anew
  /// may be available earlier.
  Timestamp AvailableFrom(const std::string& leaf, Timestamp now) const;

  /// Chooses at random among the replicas that are ready and not in `excluded`, preferring those
  /// with a good score. @return unset if there are none.
  std::optional<std::string> Choose(Timestamp now, const std::vector<std::string>& replicas,
                                    const std::set<std::string>& excluded);

  /// Records a sent sub-request.
  /// @param expected usual latency of such a sub-request over all leafs. Leafs are compared by the
  /// ratio of their latencies to it. Zero selects the knob `initial_latency`.
  void OnSent(Timestamp now, const std::string& leaf, SubRequestId id, Duration expected = {});
  /// Records a reply. @return the latency; unset if the sub-request was not outstanding.
  std::optional<Duration> OnReply(Timestamp now, const query::LeafReply& reply);
  /// Records that a sub-request was abandoned and its reply is no longer awaited.
  void OnAbandoned(Timestamp now, const std::string& leaf, SubRequestId id, bool timed_out);

  /// Registers sub-requests that wait for one of `replicas`; `count` may be negative.
  void AddWaiting(const std::vector<std::string>& replicas, int count);
  /// Returns the expected wait until one of `replicas` is free for another sub-request.
  Duration ExpectedWait(Timestamp now, const std::vector<std::string>& replicas) const;

  /// Returns the requests per slot of the least full usable replica; 0 if none is usable.
  double Fullness(Timestamp now, const std::vector<std::string>& replicas) const;

  /// Returns the share of sub-requests that the leaf is expected to refuse.
  double RefusalRateOf(Timestamp now, const std::string& leaf) const;
  /// Whether the leaf's last refusal was for lack of capacity, so that an early retry is useless.
  bool IsFull(const std::string& leaf) const;

  uint32_t Outstanding(const std::string& leaf) const;
  double Limit(const std::string& leaf) const;
  std::vector<std::string> Names() const;

 private:
  struct ColdState {
    ColdLimit limit;
    /// Sub-requests that may be sent, as of `updated_at`; at most one, which prevents bursts.
    double credit = 0;
    Timestamp updated_at{};
  };
  struct InFlight {
    Timestamp sent;
    /// Usual latency of such a sub-request.
    Duration expected;
  };
  struct LeafState {
    uint32_t slots = 1;
    LeafPlacement placement;
    Timestamp configured_at{};
    /// Whether the leaf itself has reported whether it is draining.
    bool reported = false;
    double limit = 1;
    /// Outstanding sub-requests by id. Ids grow with time, so the first one is the oldest.
    std::map<SubRequestId, InFlight> in_flight;
    double waiting = 0;
    /// Moving average of the ratios of latencies to the expected ones.
    double slowness = 1;
    Timestamp slowness_at{};
    /// Expected latency of the newest sub-request.
    Duration expected{};
    double load = 0;
    Timestamp load_at{};
    RefusalHistory refusals;
    double fullness = 0;
    Timestamp last_decrease{};
    Timestamp last_sent{};
    /// The leaf counts as stalled until then: a sub-request was abandoned after too long, and no
    /// reply has arrived since.
    Timestamp suspect_until{};
    Duration suspicion{};
    int failures = 0;
    /// Consecutive sub-requests abandoned unanswered after longer than expected.
    int losses = 0;
    Timestamp ejected_until{};
    Duration ejection{};
    bool draining = false;
    Timestamp last_draining_report{};
    bool leaving_in_config = false;
    bool leaving_on_platform = false;
  };

  double SlownessOf(const LeafState& state, Timestamp now) const;
  Duration LatencyOf(const LeafState& state, Timestamp now) const;
  double LoadOf(const LeafState& state, Timestamp now) const;
  Duration StallTimeout(const LeafState& state, const InFlight& in_flight, Timestamp now) const;
  bool Stalled(const LeafState& state, Timestamp now) const;
  bool HasRoom(const LeafState& state, Timestamp now) const;
  static bool IsLeaving(const LeafState& state) {
    return state.draining || state.leaving_in_config || state.leaving_on_platform;
  }
  bool IsCold(const std::string& leaf, Timestamp now) const;
  /// Returns the number of sub-requests that a cold leaf may get now.
  static double AvailableCredit(const ColdState& cold, Timestamp now);
  double Score(const LeafState& state, Timestamp now) const;
  void RecordDrainingReport(LeafState* state, Timestamp now, bool draining) const;
  void Decrease(LeafState* state, Timestamp now, double factor);
  void RecordFailure(LeafState* state, Timestamp now);
  /// Records that a sub-request was abandoned after `ratio` times the expected latency.
  void RecordLoss(LeafState* state, Timestamp now, double ratio);
  void RecordShed(LeafState* state, Timestamp now, uint32_t load);
  void RecordSuccess(LeafState* state, Timestamp now, double slowness, uint32_t load);

  BalanceKnobs knobs_;
  std::mt19937_64 random_;
  std::unordered_map<std::string, LeafState> leafs_;
  std::unordered_map<std::string, ColdState> cold_;
  std::set<std::string> config_leaving_;
  std::set<std::string> platform_leaving_;
};

}  // namespace pumicedyke::balance
