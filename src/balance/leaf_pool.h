// What one node knows of the leafs it sends to: who is leaving, how loaded and how fast each is,
// and how much this node may have out at each. Chooses replicas.
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
  /// Would take work later: its limit is reached or it is ejected for a while.
  kBusy,
  /// Takes no new work: it leaves, or is cold and has had its share.
  kLeaving,
};

/// What this node may send to a leaf that is cold.
struct ColdLimit {
  Timestamp until{};
  /// Sub-requests a second; zero: none.
  double per_second = 0;
};

/// Where a leaf stands from this node's point of view.
struct LeafPlacement {
  /// In another zone.
  bool remote = false;
  /// Among the leafs that this node works with as a rule.
  bool preferred = true;
};

class LeafPool {
 public:
  LeafPool(BalanceKnobs knobs, uint64_t seed) : knobs_(knobs), random_(seed) {}

  /// Adds a leaf or sets its slots and placement anew.
  void Configure(Timestamp now, const std::string& leaf, uint32_t slots,
                 LeafPlacement placement = {});

  /// The leaf has ended; replies that are still to come from it say nothing.
  void Remove(const std::string& leaf) { leafs_.erase(leaf); }

  /// The sources of "leaving"; any one of them is enough (brief: a leaving back end gets no new
  /// work). A source takes back only its own mark.
  void SetLeavingInConfig(const std::set<std::string>& leafs);
  void SetLeavingOnPlatform(const std::set<std::string>& leafs);
  /// The same for one leaf.
  void SetLeafLeavingOnPlatform(const std::string& leaf, bool leaving);
  /// What may be sent to leafs that are cold, by id; others bear what they always do. A leaf that
  /// is limited already keeps what it has saved up.
  void SetCold(Timestamp now, const std::map<std::string, ColdLimit>& limits);
  /// A health report of the leaf was read.
  void OnHealth(Timestamp now, const std::string& leaf, bool draining);

  Availability AvailabilityOf(const std::string& leaf, Timestamp now) const;

  /// @return the best replica that is ready and not in `excluded`.
  std::optional<std::string> Choose(Timestamp now, const std::vector<std::string>& replicas,
                                    const std::set<std::string>& excluded);

  /// @param expected how long such a sub-request usually takes, at whatever leaf; leafs are
  /// compared by how their latencies relate to this. Zero: the knob `initial_latency`.
  void OnSent(Timestamp now, const std::string& leaf, SubRequestId id, Duration expected = {});
  /// @return the latency, unless the id was not out at the leaf.
  std::optional<Duration> OnReply(Timestamp now, const query::LeafReply& reply);
  /// The sub-request was given up; its reply is not waited for.
  void OnAbandoned(Timestamp now, const std::string& leaf, SubRequestId id, bool timed_out);

  /// Registers sub-requests that wait for one of `replicas`; `count` may be negative.
  void AddWaiting(const std::vector<std::string>& replicas, int count);
  /// Expected wait until one of `replicas` is free for one more sub-request.
  Duration ExpectedWait(Timestamp now, const std::vector<std::string>& replicas) const;

  /// Requests per slot at the least full of `replicas` that can be used; 0 if none can.
  double Fullness(Timestamp now, const std::vector<std::string>& replicas) const;

  /// The part of what is sent that the leaf is expected to refuse.
  double RefusalRateOf(Timestamp now, const std::string& leaf) const;
  /// The leaf's last refusal was for lack of room: asking it again soon is in vain.
  bool Crowded(const std::string& leaf) const;

  uint32_t Outstanding(const std::string& leaf) const;
  double Limit(const std::string& leaf) const;
  std::vector<std::string> Names() const;

 private:
  struct ColdState {
    ColdLimit limit;
    /// Sub-requests that may go out, as of `counted`: one at most, so that leafs are not flooded.
    double saved = 0;
    Timestamp counted{};
  };
  struct InFlight {
    Timestamp sent;
    /// How long such a sub-request usually takes.
    Duration expected;
  };
  struct LeafState {
    uint32_t slots = 1;
    LeafPlacement placement;
    Timestamp configured_at{};
    /// Whether the leaf's own word on leaving has come.
    bool reported = false;
    double limit = 1;
    /// What is out, by id; ids grow with time, so the first is the oldest.
    std::map<SubRequestId, InFlight> out;
    double waiting = 0;
    /// Moving average of latencies, as multiples of what was expected.
    double slowness = 1;
    Timestamp slowness_at{};
    /// What was expected of the newest sub-request.
    Duration expected{};
    double load = 0;
    Timestamp load_at{};
    RefusalHistory refusals;
    double fullness = 0;
    Timestamp last_decrease{};
    Timestamp last_sent{};
    /// A sub-request was given up unanswered after too long, and nothing was heard since: other
    /// replicas are preferred until then.
    Timestamp suspect_until{};
    Duration suspicion{};
    int failures = 0;
    /// Sub-requests in a row that were given up unanswered after longer than expected.
    int losses = 0;
    Timestamp ejected_until{};
    Duration ejection{};
    bool draining = false;
    Timestamp said_draining{};
    bool leaving_in_config = false;
    bool leaving_on_platform = false;
  };

  double SlownessOf(const LeafState& state, Timestamp now) const;
  Duration LatencyOf(const LeafState& state, Timestamp now) const;
  double LoadOf(const LeafState& state, Timestamp now) const;
  Duration Patience(const LeafState& state, const InFlight& out, Timestamp now) const;
  bool Stalled(const LeafState& state, Timestamp now) const;
  bool HasRoom(const LeafState& state, Timestamp now) const;
  bool IsCold(const std::string& leaf, Timestamp now) const;
  /// Sub-requests that a cold leaf may get now.
  static double SavedBy(const ColdState& cold, Timestamp now);
  double Score(const LeafState& state, Timestamp now) const;
  void NoteWord(LeafState* state, Timestamp now, bool draining) const;
  void Decrease(LeafState* state, Timestamp now, double factor);
  void NoteFailure(LeafState* state, Timestamp now);
  /// A sub-request that was out for `used` times as long as expected was given up.
  void NoteLoss(LeafState* state, Timestamp now, double used);
  void NoteShed(LeafState* state, Timestamp now, uint32_t load);
  void NoteSuccess(LeafState* state, Timestamp now, double slowness, uint32_t load);

  BalanceKnobs knobs_;
  std::mt19937_64 random_;
  std::unordered_map<std::string, LeafState> leafs_;
  std::unordered_map<std::string, ColdState> cold_;
  std::set<std::string> config_leaving_;
  std::set<std::string> platform_leaving_;
};

}  // namespace pumicedyke::balance
