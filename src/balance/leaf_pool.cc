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
    cold.credit = inserted ? 0.0 : AvailableCredit(cold, now);
    cold.updated_at = now;
    cold.limit = limit;
  }
}

double LeafPool::AvailableCredit(const ColdState& cold, Timestamp now) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double seconds =
      static_cast<double>((now - cold.updated_at).count()) / kMicrosecondsPerSecond;
  return std::min(1.0, cold.credit + seconds * cold.limit.per_second);
}

bool LeafPool::IsCold(const std::string& leaf, Timestamp now) const {
  const auto it = cold_.find(leaf);
  return it != cold_.end() && now < it->second.limit.until;
}

void LeafPool::RecordDrainingReport(LeafState* state, Timestamp now, bool draining) const {
  state->reported = true;
  if (draining) {
    state->draining = true;
    state->last_draining_report = now;
  } else if (now - state->last_draining_report >= knobs_.draining_hold) {
    state->draining = false;
  }
}

void LeafPool::OnHealth(Timestamp now, const std::string& leaf, bool draining) {
  const auto it = leafs_.find(leaf);
  if (it != leafs_.end()) {
    RecordDrainingReport(&it->second, now, draining);
  }
}

double LeafPool::SlownessOf(const LeafState& state, Timestamp now) const {
  // Without new samples the average returns to 1, so that a slow leaf is tried again.
  const double weight = Decay(now - state.slowness_at, knobs_.slowness_half_life);
  return state.slowness * weight + 1.0 * (1 - weight);
}

Duration LeafPool::LatencyOf(const LeafState& state, Timestamp now) const {
  return Scale(state.expected, SlownessOf(state, now));
}

double LeafPool::LoadOf(const LeafState& state, Timestamp now) const {
  const double reported = state.load * Decay(now - state.load_at, knobs_.load_half_life);
  return std::max(reported, static_cast<double>(state.in_flight.size()));
}

Duration LeafPool::StallTimeout(const LeafState& state, const InFlight& in_flight,
                                Timestamp now) const {
  const double usual = SlownessOf(state, now) * knobs_.stall_factor;
  return std::max(knobs_.stall_minimum, Scale(in_flight.expected, usual));
}

bool LeafPool::Stalled(const LeafState& state, Timestamp now) const {
  if (now < state.suspect_until) {
    return true;
  }
  if (state.in_flight.empty()) {
    return false;
  }
  const InFlight& oldest = state.in_flight.begin()->second;
  return now - oldest.sent > StallTimeout(state, oldest, now);
}

bool LeafPool::HasRoom(const LeafState& state, Timestamp now) const {
  if (now < state.ejected_until) {
    return false;
  }
  // After an ejection a leaf is first tried with a single request.
  const bool on_probation = state.failures >= knobs_.ejection_failures;
  if (on_probation) {
    return state.in_flight.empty();
  }
  if (state.limit >= 1.0) {
    return static_cast<double>(state.in_flight.size()) + 1.0 <= state.limit;
  }
  // A limit below one is enforced by a pause between requests.
  const Duration pause = Scale(LatencyOf(state, now), 1.0 / state.limit - 1.0);
  return state.in_flight.empty() && now - state.last_sent >= pause;
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
  if (IsLeaving(state)) {
    return Availability::kLeaving;
  }
  if (IsCold(leaf, now) && AvailableCredit(cold_.at(leaf), now) < 1.0) {
    return Availability::kLeaving;
  }
  // A leaf without a report may have started to leave long ago.
  const bool awaits_report =
      !state.reported && now - state.configured_at < knobs_.first_report_timeout;
  return !awaits_report && HasRoom(state, now) ? Availability::kReady : Availability::kBusy;
}

Timestamp LeafPool::AvailableFrom(const std::string& leaf, Timestamp now) const {
  const auto it = leafs_.find(leaf);
  if (it == leafs_.end() || IsLeaving(it->second)) {
    return Timestamp::max();
  }
  return std::max(now, it->second.ejected_until);
}

std::optional<std::string> LeafPool::Choose(Timestamp now, const std::vector<std::string>& replicas,
                                            const std::set<std::string>& excluded) {
  // The choice is weighted random: if all nodes took the best leaf according to the same late
  // reports, they would overload it together.
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
    state.in_flight[id] = {now, state.expected};
    state.last_sent = now;
    if (IsCold(leaf, now)) {
      ColdState& cold = cold_.at(leaf);
      cold.credit = std::max(0.0, AvailableCredit(cold, now) - 1.0);
      cold.updated_at = now;
    }
  }
}

void LeafPool::Decrease(LeafState* state, Timestamp now, double factor) {
  // At most one decrease per interval: replies sent before the last decrease contain no new
  // information.
  if (now - state->last_decrease < knobs_.decrease_interval) {
    return;
  }
  state->last_decrease = now;
  state->limit = std::max(knobs_.min_limit, state->limit * factor);
}

void LeafPool::RecordFailure(LeafState* state, Timestamp now) {
  ++state->failures;
  if (state->failures < knobs_.ejection_failures) {
    return;
  }
  state->ejection = state->ejection == Duration(0)
                        ? knobs_.ejection_time
                        : std::min(2 * state->ejection, knobs_.max_ejection_time);
  state->ejected_until = now + state->ejection;
}

void LeafPool::RecordLoss(LeafState* state, Timestamp now, double ratio) {
  const double old = SlownessOf(*state, now);
  if (knobs_.loss_growth <= 0 || ratio <= old) {
    return;
  }
  const double slowness = ratio * std::pow(knobs_.loss_growth, state->losses);
  ++state->losses;
  state->slowness = std::clamp(slowness, old, knobs_.max_slowness);
  state->slowness_at = now;
}

void LeafPool::RecordShed(LeafState* state, Timestamp now, uint32_t load) {
  const bool full = load > state->slots * knobs_.queue_tolerance;
  RecordRefusal(knobs_.refusals, now, full, &state->refusals);
  // A leaf with free capacity refuses for another reason, and a lower limit would not help.
  if (state->refusals.crowded) {
    Decrease(state, now, knobs_.shed_decrease);
  }
}

void LeafPool::RecordSuccess(LeafState* state, Timestamp now, double slowness, uint32_t load) {
  if (state->failures >= knobs_.ejection_failures) {
    // After an ejection the limit starts from one request at a time.
    state->limit = 1.0;
  }
  RecordAccepted(knobs_.refusals, now, &state->refusals);
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
  // The limit grows only while it is what constrains the requests.
  const bool is_limiting = static_cast<double>(state->in_flight.size()) + 2.0 > state->limit;
  if (is_limiting) {
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
  const bool responded =
      reply.status != query::LeafStatus::kFailed && reply.status != query::LeafStatus::kNotSent;
  if (responded) {
    state.suspect_until = Timestamp{};
    state.suspicion = Duration(0);
    RecordDrainingReport(&state, now,
                         reply.draining || reply.status == query::LeafStatus::kDraining);
    const double retained_weight =
        std::exp(-ToMilliseconds(now - state.load_at) / ToMilliseconds(knobs_.fullness_time));
    state.fullness =
        state.fullness * retained_weight + (1 - retained_weight) * reply.load / state.slots;
    state.load = reply.load;
    state.load_at = now;
  }
  const auto in_flight = state.in_flight.find(reply.id);
  if (in_flight == state.in_flight.end()) {
    return std::nullopt;
  }
  const Duration latency = now - in_flight->second.sent;
  const double slowness = static_cast<double>(latency.count()) /
                          static_cast<double>(in_flight->second.expected.count());
  state.in_flight.erase(in_flight);
  switch (reply.status) {
    case query::LeafStatus::kOk:
      RecordSuccess(&state, now, slowness, reply.load);
      break;
    case query::LeafStatus::kShed:
      RecordShed(&state, now, reply.load);
      break;
    case query::LeafStatus::kNotSent:
      // Nothing listens at the address, so the leaf's last report on draining may be out of date.
      state.reported = false;
      state.configured_at = now;
      RecordFailure(&state, now);
      break;
    case query::LeafStatus::kFailed:
      RecordFailure(&state, now);
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
  const auto in_flight = state.in_flight.find(id);
  if (in_flight == state.in_flight.end()) {
    return;
  }
  // A detected stall must be remembered after the abandoned request is erased.
  if (now - in_flight->second.sent > StallTimeout(state, in_flight->second, now)) {
    state.suspicion = state.suspicion == Duration(0)
                          ? knobs_.suspicion
                          : std::min(2 * state.suspicion, knobs_.max_ejection_time);
    state.suspect_until = now + state.suspicion;
  }
  RecordLoss(&state, now,
             static_cast<double>((now - in_flight->second.sent).count()) /
                 static_cast<double>(in_flight->second.expected.count()));
  state.in_flight.erase(in_flight);
  if (timed_out) {
    RecordFailure(&state, now);
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
    const double ahead = static_cast<double>(state.in_flight.size()) + state.waiting + 1.0;
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
    // Leafs that are leaving, stalled or without a fresh report are not counted as free capacity.
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

bool LeafPool::IsFull(const std::string& leaf) const {
  const auto it = leafs_.find(leaf);
  return it != leafs_.end() && it->second.refusals.crowded;
}

uint32_t LeafPool::Outstanding(const std::string& leaf) const {
  const auto it = leafs_.find(leaf);
  return it == leafs_.end() ? 0 : static_cast<uint32_t>(it->second.in_flight.size());
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
