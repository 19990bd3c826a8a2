#include "balance/leaf_pool.h"

#include <algorithm>
#include <cmath>

namespace pumicedyke::balance {
namespace {

double Decay(Duration age, Duration half_life) {
  return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(half_life.count()));
}

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<int64_t>(factor * static_cast<double>(duration.count())));
}

}  // namespace

void LeafPool::Configure(Timestamp now, const std::string& leaf, uint32_t slots,
                         LeafPlacement placement) {
  auto [it, inserted] = leafs_.try_emplace(leaf);
  LeafState& state = it->second;
  state.placement = placement;
  if (!inserted && state.slots == slots) {
    return;
  }
  if (inserted) {
    state.configured_at = now;
  }
  state.slots = slots;
  state.limit = std::max(1.0, slots * knobs_.initial_limit_per_slot);
  state.slowness = 1;
  state.expected = knobs_.initial_latency;
  state.leaving_in_config = config_leaving_.contains(leaf);
  state.leaving_on_platform = platform_leaving_.contains(leaf);
}

void LeafPool::SetLeavingInConfig(const std::set<std::string>& leafs) {
  config_leaving_ = leafs;
  for (auto& [name, state] : leafs_) {
    state.leaving_in_config = leafs.contains(name);
  }
}

void LeafPool::SetLeavingOnPlatform(const std::set<std::string>& leafs) {
  platform_leaving_ = leafs;
  for (auto& [name, state] : leafs_) {
    state.leaving_on_platform = leafs.contains(name);
  }
}

void LeafPool::SetLeafLeavingOnPlatform(const std::string& leaf, bool leaving) {
  if (leaving) {
    platform_leaving_.insert(leaf);
  } else {
    platform_leaving_.erase(leaf);
  }
  const auto it = leafs_.find(leaf);
  if (it != leafs_.end()) {
    it->second.leaving_on_platform = leaving;
  }
}

void LeafPool::SetCold(Timestamp now, const std::map<std::string, ColdLimit>& limits) {
  std::erase_if(cold_, [&](const auto& item) { return !limits.contains(item.first); });
  for (const auto& [leaf, limit] : limits) {
    const auto [it, inserted] = cold_.try_emplace(leaf);
    ColdState& cold = it->second;
    cold.saved = inserted ? 0.0 : SavedBy(cold, now);
    cold.counted = now;
    cold.limit = limit;
  }
}

double LeafPool::SavedBy(const ColdState& cold, Timestamp now) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double seconds = static_cast<double>((now - cold.counted).count()) / kMicrosecondsPerSecond;
  return std::min(1.0, cold.saved + seconds * cold.limit.per_second);
}

bool LeafPool::IsCold(const std::string& leaf, Timestamp now) const {
  const auto it = cold_.find(leaf);
  return it != cold_.end() && now < it->second.limit.until;
}

void LeafPool::NoteWord(LeafState* state, Timestamp now, bool draining) const {
  state->reported = true;
  if (draining) {
    state->draining = true;
    state->said_draining = now;
  } else if (now - state->said_draining >= knobs_.draining_hold) {
    state->draining = false;
  }
}

void LeafPool::OnHealth(Timestamp now, const std::string& leaf, bool draining) {
  const auto it = leafs_.find(leaf);
  if (it != leafs_.end()) {
    NoteWord(&it->second, now, draining);
  }
}

double LeafPool::SlownessOf(const LeafState& state, Timestamp now) const {
  // An average that nothing refreshed drifts back, so that a leaf that was slow gets tried again.
  const double weight = Decay(now - state.slowness_at, knobs_.slowness_half_life);
  return state.slowness * weight + 1.0 * (1 - weight);
}

Duration LeafPool::LatencyOf(const LeafState& state, Timestamp now) const {
  return Scale(state.expected, SlownessOf(state, now));
}

double LeafPool::LoadOf(const LeafState& state, Timestamp now) const {
  const double reported = state.load * Decay(now - state.load_at, knobs_.load_half_life);
  return std::max(reported, static_cast<double>(state.out.size()));
}

Duration LeafPool::Patience(const LeafState& state, const InFlight& out, Timestamp now) const {
  const double usual = SlownessOf(state, now) * knobs_.stall_factor;
  return std::max(knobs_.stall_minimum, Scale(out.expected, usual));
}

bool LeafPool::Stalled(const LeafState& state, Timestamp now) const {
  if (now < state.suspect_until) {
    return true;
  }
  if (state.out.empty()) {
    return false;
  }
  const InFlight& oldest = state.out.begin()->second;
  return now - oldest.sent > Patience(state, oldest, now);
}

bool LeafPool::HasRoom(const LeafState& state, Timestamp now) const {
  if (now < state.ejected_until) {
    return false;
  }
  // A leaf back from ejection is tried with one request first.
  const bool on_probation = state.failures >= knobs_.ejection_failures;
  if (on_probation) {
    return state.out.empty();
  }
  if (state.limit >= 1.0) {
    return static_cast<double>(state.out.size()) + 1.0 <= state.limit;
  }
  // Less than one request at a time: a pause between requests stands for the fraction.
  const Duration pause = Scale(LatencyOf(state, now), 1.0 / state.limit - 1.0);
  return state.out.empty() && now - state.last_sent >= pause;
}

double LeafPool::Score(const LeafState& state, Timestamp now) const {
  const double queue = LoadOf(state, now) / static_cast<double>(state.slots);
  const double distance = (state.placement.remote ? knobs_.remote_penalty : 1.0) *
                          (state.placement.preferred ? 1.0 : knobs_.outside_subset_penalty);
  const double refused = RefusalsUntilTaken(RefusalRate(state.refusals, knobs_.refusals, now));
  const double tries = 1.0 + knobs_.refusal_cost * refused;
  const double score = distance * (1.0 + queue) * SlownessOf(state, now) * tries;
  constexpr double kStalledPenalty = 100.0;
  return Stalled(state, now) ? score * kStalledPenalty : score;
}

Availability LeafPool::AvailabilityOf(const std::string& leaf, Timestamp now) const {
  const auto it = leafs_.find(leaf);
  if (it == leafs_.end()) {
    return Availability::kLeaving;
  }
  const LeafState& state = it->second;
  if (state.draining || state.leaving_in_config || state.leaving_on_platform) {
    return Availability::kLeaving;
  }
  if (IsCold(leaf, now) && SavedBy(cold_.at(leaf), now) < 1.0) {
    return Availability::kLeaving;
  }
  // A leaf that this node knows nothing of may have begun to leave long ago.
  const bool waits_for_report =
      !state.reported && now - state.configured_at < knobs_.first_report_patience;
  return !waits_for_report && HasRoom(state, now) ? Availability::kReady : Availability::kBusy;
}

std::optional<std::string> LeafPool::Choose(Timestamp now, const std::vector<std::string>& replicas,
                                            const std::set<std::string>& excluded) {
  // Drawn at random with weights: nodes that all took the best by the same late reports would
  // flood it together.
  const std::string* choice = nullptr;
  double total = 0;
  std::uniform_real_distribution<double> uniform(0, 1);
  for (const std::string& replica : replicas) {
    if (excluded.contains(replica) || AvailabilityOf(replica, now) != Availability::kReady) {
      continue;
    }
    const double score = knobs_.choose_by_load ? Score(leafs_.at(replica), now) : 1.0;
    const double weight = std::pow(score, -knobs_.choice_sharpness);
    total += weight;
    if (uniform(random_) * total < weight) {
      choice = &replica;
    }
  }
  return choice == nullptr ? std::nullopt : std::optional(*choice);
}

void LeafPool::OnSent(Timestamp now, const std::string& leaf, SubRequestId id, Duration expected) {
  const auto it = leafs_.find(leaf);
  if (it != leafs_.end()) {
    LeafState& state = it->second;
    state.expected = expected.count() > 0 ? expected : knobs_.initial_latency;
    state.out[id] = {now, state.expected};
    state.last_sent = now;
    if (IsCold(leaf, now)) {
      ColdState& cold = cold_.at(leaf);
      cold.saved = std::max(0.0, SavedBy(cold, now) - 1.0);
      cold.counted = now;
    }
  }
}

void LeafPool::Decrease(LeafState* state, Timestamp now, double factor) {
  // One decrease per interval: replies that left before the last one say nothing new.
  if (now - state->last_decrease < knobs_.decrease_interval) {
    return;
  }
  state->last_decrease = now;
  state->limit = std::max(knobs_.min_limit, state->limit * factor);
}

void LeafPool::NoteFailure(LeafState* state, Timestamp now) {
  ++state->failures;
  if (state->failures < knobs_.ejection_failures) {
    return;
  }
  state->ejection = state->ejection == Duration(0)
                        ? knobs_.ejection_time
                        : std::min(2 * state->ejection, knobs_.max_ejection_time);
  state->ejected_until = now + state->ejection;
}

void LeafPool::NoteLoss(LeafState* state, Timestamp now, double used) {
  const double old = SlownessOf(*state, now);
  if (knobs_.loss_growth <= 0 || used <= old) {
    return;
  }
  const double slowness = used * std::pow(knobs_.loss_growth, state->losses);
  ++state->losses;
  state->slowness = std::clamp(slowness, old, knobs_.most_slowness);
  state->slowness_at = now;
}

void LeafPool::NoteShed(LeafState* state, Timestamp now, uint32_t load) {
  const bool full = load > state->slots * knobs_.queue_tolerance;
  NoteRefused(knobs_.refusals, now, full, &state->refusals);
  // One that has room refuses for another cause: sending it less would not make it take more.
  if (state->refusals.crowded) {
    Decrease(state, now, knobs_.shed_decrease);
  }
}

void LeafPool::NoteSuccess(LeafState* state, Timestamp now, double slowness, uint32_t load) {
  if (state->failures >= knobs_.ejection_failures) {
    // Back from ejection: start from one request at a time.
    state->limit = 1.0;
  }
  NoteTaken(knobs_.refusals, now, &state->refusals);
  state->failures = 0;
  state->losses = 0;
  state->ejection = Duration(0);
  const double old = SlownessOf(*state, now);
  state->slowness = old + knobs_.latency_weight * (slowness - old);
  state->slowness_at = now;
  const bool queues = load > state->slots * knobs_.queue_tolerance;
  if (queues) {
    Decrease(state, now, knobs_.queue_decrease);
    return;
  }
  // Grows only while it is what holds requests back.
  const bool limiting = static_cast<double>(state->out.size()) + 2.0 > state->limit;
  if (limiting) {
    const double step = knobs_.increase / std::max(1.0, state->limit);
    state->limit =
        std::min(state->limit + step, std::max(1.0, state->slots * knobs_.max_limit_per_slot));
  }
}

std::optional<Duration> LeafPool::OnReply(Timestamp now, const query::LeafReply& reply) {
  const auto leaf = leafs_.find(reply.leaf);
  if (leaf == leafs_.end()) {
    return std::nullopt;
  }
  LeafState& state = leaf->second;
  const bool spoke =
      reply.status != query::LeafStatus::kFailed && reply.status != query::LeafStatus::kNotSent;
  if (spoke) {
    state.suspect_until = Timestamp{};
    state.suspicion = Duration(0);
    NoteWord(&state, now, reply.draining || reply.status == query::LeafStatus::kDraining);
    const double kept =
        std::exp(-ToMilliseconds(now - state.load_at) / ToMilliseconds(knobs_.fullness_time));
    state.fullness = state.fullness * kept + (1 - kept) * reply.load / state.slots;
    state.load = reply.load;
    state.load_at = now;
  }
  const auto out = state.out.find(reply.id);
  if (out == state.out.end()) {
    return std::nullopt;
  }
  const Duration latency = now - out->second.sent;
  const double slowness =
      static_cast<double>(latency.count()) / static_cast<double>(out->second.expected.count());
  state.out.erase(out);
  switch (reply.status) {
    case query::LeafStatus::kOk:
      NoteSuccess(&state, now, slowness, reply.load);
      break;
    case query::LeafStatus::kShed:
      NoteShed(&state, now, reply.load);
      break;
    case query::LeafStatus::kNotSent:
      // Nothing listens there: what it said of leaving before it was gone may be out of date.
      state.reported = false;
      state.configured_at = now;
      NoteFailure(&state, now);
      break;
    case query::LeafStatus::kFailed:
      NoteFailure(&state, now);
      break;
    default:
      break;
  }
  return latency;
}

void LeafPool::OnAbandoned(Timestamp now, const std::string& leaf, SubRequestId id,
                           bool timed_out) {
  const auto it = leafs_.find(leaf);
  if (it == leafs_.end()) {
    return;
  }
  LeafState& state = it->second;
  const auto out = state.out.find(id);
  if (out == state.out.end()) {
    return;
  }
  // The evidence of a standstill must outlive the request that gave it.
  if (now - out->second.sent > Patience(state, out->second, now)) {
    state.suspicion = state.suspicion == Duration(0)
                          ? knobs_.suspicion
                          : std::min(2 * state.suspicion, knobs_.max_ejection_time);
    state.suspect_until = now + state.suspicion;
  }
  NoteLoss(&state, now,
           static_cast<double>((now - out->second.sent).count()) /
               static_cast<double>(out->second.expected.count()));
  state.out.erase(out);
  if (timed_out) {
    NoteFailure(&state, now);
  }
}

void LeafPool::AddWaiting(const std::vector<std::string>& replicas, int count) {
  const double share = static_cast<double>(count) / static_cast<double>(replicas.size());
  for (const std::string& replica : replicas) {
    const auto it = leafs_.find(replica);
    if (it != leafs_.end()) {
      it->second.waiting = std::max(0.0, it->second.waiting + share);
    }
  }
}

Duration LeafPool::ExpectedWait(Timestamp now, const std::vector<std::string>& replicas) const {
  double best = -1;
  for (const std::string& replica : replicas) {
    const auto it = leafs_.find(replica);
    if (it == leafs_.end() || AvailabilityOf(replica, now) == Availability::kLeaving) {
      continue;
    }
    const LeafState& state = it->second;
    const double latency = static_cast<double>(LatencyOf(state, now).count());
    const double ahead = static_cast<double>(state.out.size()) + state.waiting + 1.0;
    const double turns = std::max(0.0, ahead / state.limit - 1.0);
    const double ejected = std::max(0.0, static_cast<double>((state.ejected_until - now).count()));
    const double wait = turns * latency + ejected;
    best = best < 0 ? wait : std::min(best, wait);
  }
  return Duration(static_cast<int64_t>(std::max(0.0, best)));
}

double LeafPool::Fullness(Timestamp now, const std::vector<std::string>& replicas) const {
  double least = -1;
  for (const std::string& replica : replicas) {
    const auto it = leafs_.find(replica);
    // A leaf that is gone or stands still says nothing; what it said before is no room.
    const bool usable = it != leafs_.end() &&
                        AvailabilityOf(replica, now) != Availability::kLeaving &&
                        !Stalled(it->second, now) && now - it->second.load_at < knobs_.fresh_report;
    if (usable) {
      least = least < 0 ? it->second.fullness : std::min(least, it->second.fullness);
    }
  }
  return std::max(least, 0.0);
}

double LeafPool::RefusalRateOf(Timestamp now, const std::string& leaf) const {
  const auto it = leafs_.find(leaf);
  return it == leafs_.end() ? 0 : RefusalRate(it->second.refusals, knobs_.refusals, now);
}

bool LeafPool::Crowded(const std::string& leaf) const {
  const auto it = leafs_.find(leaf);
  return it != leafs_.end() && it->second.refusals.crowded;
}

uint32_t LeafPool::Outstanding(const std::string& leaf) const {
  const auto it = leafs_.find(leaf);
  return it == leafs_.end() ? 0 : static_cast<uint32_t>(it->second.out.size());
}

double LeafPool::Limit(const std::string& leaf) const {
  const auto it = leafs_.find(leaf);
  return it == leafs_.end() ? 0 : it->second.limit;
}

std::vector<std::string> LeafPool::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, state] : leafs_) {
    names.push_back(name);
  }
  return names;
}

}  // namespace pumicedyke::balance
