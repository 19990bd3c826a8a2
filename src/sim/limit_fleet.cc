#include "sim/limit_fleet.h"

#include <algorithm>

namespace pumicedyke::limits {
namespace {

constexpr Duration kStep = Milliseconds(2);
constexpr Duration kTick = Milliseconds(10);
constexpr Duration kControlInterval = Milliseconds(100);
constexpr Duration kSilenceTimeout = Milliseconds(1800);

}  // namespace

SimulatedFleet::SimulatedFleet(FleetOptions options) : options_(options), random_(options.seed) {
  for (size_t i = 0; i < options_.gateways; ++i) {
    AddGateway();
  }
}

size_t SimulatedFleet::AddGateway() {
  gateways_.emplace_back();
  gateways_.back().node = "g" + std::to_string(gateways_.size() - 1);
  by_address_[gateways_.back().node] = gateways_.size() - 1;
  Start(gateways_.size() - 1);
  return gateways_.size() - 1;
}

void SimulatedFleet::Start(size_t i) {
  Gateway& gateway = gateways_[i];
  if (gateway.limits != nullptr) {
    return;
  }
  gateway.limits =
      std::make_unique<TenantLimits>(options_.limits, gateway.node, ++gateway.incarnation);
  gateway.draining = false;
  gateway.proven_at = Timestamp{};
  gateway.sent_list = 0;
  std::vector<tenants::Tenant> tenants;
  for (const Demand& demand : demands_) {
    tenants.push_back(demand.tenant);
  }
  gateway.limits->SetTenants(now_, tenants);
}

void SimulatedFleet::Kill(size_t i, bool noticed) {
  Gateway& gateway = gateways_[i];
  gateway.limits.reset();
  gateway.waiting.clear();
  gateway.paused_until = Timestamp{};
  if (!noticed) {
    return;
  }
  gateway.listed = false;
  const std::string address = gateway.node;
  for (size_t other = 0; other < gateways_.size(); ++other) {
    At(now_ + Milliseconds(5), other, [this, other, address] {
      gateways_[other].limits->OnGatewayLost(now_, address);
      Collect(other);
    });
  }
}

void SimulatedFleet::Drain(size_t i) { gateways_[i].draining = true; }

void SimulatedFleet::Freeze(size_t i, Duration length) {
  gateways_[i].paused_until = std::max(gateways_[i].paused_until, now_ + length);
}

void SimulatedFleet::Cut(size_t i, bool in, bool out, Duration length) {
  if (in) {
    gateways_[i].in_cut_until = now_ + length;
  }
  if (out) {
    gateways_[i].out_cut_until = now_ + length;
  }
}

void SimulatedFleet::Lag(size_t i, Duration lag) { gateways_[i].lag = lag; }

void SimulatedFleet::CutFromControl(size_t i, Duration length) {
  gateways_[i].control_cut_until = now_ + length;
}

void SimulatedFleet::Hide(size_t i, std::set<size_t> hidden, Duration length) {
  gateways_[i].hidden = std::move(hidden);
  gateways_[i].hidden_until = now_ + length;
  gateways_[i].sent_list = 0;
}

void SimulatedFleet::SetDemand(std::vector<Demand> demands) {
  demands_ = std::move(demands);
  counts_.assign(demands_.size(), {});
  ideal_buckets_.clear();
  std::vector<tenants::Tenant> tenants;
  for (const Demand& demand : demands_) {
    tenants.push_back(demand.tenant);
    ideal_buckets_.push_back(
        {demand.tenant.requests_per_second, demand.tenant.burst, demand.tenant.burst, now_});
  }
  for (Gateway& gateway : gateways_) {
    if (gateway.limits != nullptr) {
      gateway.limits->SetTenants(now_, tenants);
    }
  }
}

void SimulatedFleet::SetLimit(size_t tenant, double per_second, double burst, Duration spread) {
  demands_[tenant].tenant.requests_per_second = per_second;
  demands_[tenant].tenant.burst = burst;
  std::vector<tenants::Tenant> tenants;
  for (const Demand& demand : demands_) {
    tenants.push_back(demand.tenant);
  }
  for (size_t i = 0; i < gateways_.size(); ++i) {
    const auto apply_delay = static_cast<int64_t>(Chance() * static_cast<double>(spread.count()));
    At(now_ + Duration(apply_delay), i, [this, i, tenants] {
      gateways_[i].limits->SetTenants(now_, tenants);
      Collect(i);
    });
  }
}

void SimulatedFleet::At(Timestamp when, size_t gateway, std::function<void()> run) {
  events_.emplace(when, Event{gateway, gateways_[gateway].incarnation, std::move(run)});
}

std::optional<size_t> SimulatedFleet::AtAddress(const std::string& address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? std::nullopt : std::optional(it->second);
}

uint64_t SimulatedFleet::Session(size_t from, size_t to) const {
  return (static_cast<uint64_t>(from) << 40) + (gateways_[from].incarnation << 20) + to + 1;
}

std::vector<LimitGateway> SimulatedFleet::Records(const std::set<size_t>& listed) const {
  std::vector<LimitGateway> records;
  records.reserve(listed.size());
  for (const size_t i : listed) {
    records.push_back({gateways_[i].node, gateways_[i].node, "zone"});
  }
  return records;
}

size_t SimulatedFleet::LenderOf(size_t tenant, uint32_t part) const {
  LenderPlacement placement;
  const AccountId account{demands_[tenant].tenant.name, part};
  placement.SetAccounts({account});
  placement.SetGateways(Records(lists_.back().nodes));
  const LimitGateway* first = placement.Find(account).primary;
  return first == nullptr ? 0 : AtAddress(first->address).value();
}

void SimulatedFleet::Deliver(size_t from, size_t to, const std::function<void()>& run) {
  ++messages_;
  ++gateways_[from].sent;
  const bool cut = now_ < gateways_[from].out_cut_until || now_ < gateways_[to].in_cut_until;
  if (cut || gateways_[to].limits == nullptr || Chance() < options_.message_loss) {
    return;
  }
  const double slow = Chance() < 0.01 ? 60 : 1;
  const Duration delay(static_cast<int64_t>((500 + 2000 * Chance()) * slow));
  At(now_ + delay, to, run);
}

void SimulatedFleet::RecordDecision(size_t tenant, bool granted, Duration retry_after) {
  TenantCount& count = counts_[tenant];
  if (granted) {
    ++count.granted;
    count.used.push_back(now_);
  } else {
    ++count.refused;
    count.retry_after.push_back(retry_after);
  }
}

void SimulatedFleet::Collect(size_t i) {
  Gateway& gateway = gateways_[i];
  LimitOutput out = gateway.limits->TakeOutput();
  for (const LimitDecision& decision : out.decisions) {
    const auto it = gateway.waiting.find(decision.id.value);
    if (it != gateway.waiting.end()) {
      RecordDecision(it->second, decision.granted, decision.retry_after);
      gateway.waiting.erase(it);
    }
  }
  for (const OutgoingLimitRequest& request : out.requests) {
    const std::optional<size_t> to = AtAddress(request.address);
    if (!to.has_value()) {
      continue;
    }
    const uint64_t session = Session(i, *to);
    Deliver(i, *to, [this, to, session, ask = request.ask] {
      gateways_[*to].limits->OnLimitRequest(now_, session, ask, gateways_[*to].proven_at);
      Collect(*to);
    });
  }
  for (const OutgoingLimitGrant& grant : out.grants) {
    const auto to = static_cast<size_t>(grant.session >> 40);
    if (Session(to, i) != grant.session) {
      continue;  // The session belongs to a previous incarnation.
    }
    Deliver(i, to, [this, to, i, grant = grant.grant] {
      gateways_[to].limits->OnGrant(now_, gateways_[i].node, grant);
      Collect(to);
    });
  }
}

std::optional<bool> SimulatedFleet::AskAt(size_t i, size_t tenant) {
  Gateway& gateway = gateways_[i];
  TenantCount& count = counts_[tenant];
  ++count.asked;
  const RequestId id{++next_request_};
  const uint64_t refused = count.refused;
  const uint64_t granted = count.granted;
  gateway.waiting[id.value] = tenant;
  const LimitResult answer =
      gateway.limits->Admit(now_, id, demands_[tenant].tenant, gateway.proven_at);
  if (answer.status != LimitStatus::kWaiting) {
    gateway.waiting.erase(id.value);
    RecordDecision(tenant, answer.status == LimitStatus::kGranted, answer.retry_after);
  }
  Collect(i);
  if (count.granted > granted) {
    return true;
  }
  if (count.refused > refused) {
    return false;
  }
  return std::nullopt;
}

std::optional<size_t> SimulatedFleet::ChooseGateway(const Demand& demand) {
  constexpr int kTries = 20;
  std::uniform_int_distribution<size_t> any(0, gateways_.size() - 1);
  std::discrete_distribution<size_t> weighted(demand.weights.begin(), demand.weights.end());
  for (int i = 0; i < kTries; ++i) {
    const size_t gateway = demand.weights.empty() ? any(random_) : weighted(random_);
    if (gateways_[gateway].limits != nullptr && !Paused(gateway)) {
      return gateway;
    }
  }
  return std::nullopt;
}

void SimulatedFleet::Arrivals() {
  const double seconds = std::chrono::duration<double>(kStep).count();
  for (size_t tenant = 0; tenant < demands_.size(); ++tenant) {
    const Demand& demand = demands_[tenant];
    std::poisson_distribution<int> arrivals(demand.per_second * seconds);
    const int count = demand.per_second > 0 ? arrivals(random_) : 0;
    for (int i = 0; i < count; ++i) {
      const std::optional<size_t> gateway = ChooseGateway(demand);
      if (!gateway.has_value()) {
        continue;
      }
      Refill(&ideal_buckets_[tenant], now_);
      counts_[tenant].ideal_granted += Take(&ideal_buckets_[tenant], 1);
      AskAt(*gateway, tenant);
    }
  }
}

void SimulatedFleet::Control() {
  std::set<size_t> listed;
  for (size_t i = 0; i < gateways_.size(); ++i) {
    Gateway& gateway = gateways_[i];
    const bool reachable = gateway.limits != nullptr && !Paused(i) &&
                           now_ >= gateway.out_cut_until && now_ >= gateway.control_cut_until;
    if (reachable) {
      gateway.last_contact = now_;
      gateway.listed = !gateway.draining;
    } else if (now_ - gateway.last_contact >= kSilenceTimeout) {
      gateway.listed = false;
    }
    if (gateway.listed) {
      listed.insert(i);
    }
  }
  if (lists_.empty() || lists_.back().nodes != listed) {
    lists_.push_back({now_, lists_.empty() ? 1 : lists_.back().number + 1, std::move(listed)});
  }
  while (lists_.size() > 1 && now_ - lists_[1].since > Seconds(4)) {
    lists_.pop_front();
  }
  for (size_t i = 0; i < gateways_.size(); ++i) {
    Gateway& gateway = gateways_[i];
    const bool connected = now_ >= gateway.in_cut_until && now_ >= gateway.out_cut_until &&
                           now_ >= gateway.control_cut_until;
    if (gateway.limits == nullptr || Paused(i) || !connected) {
      continue;
    }
    auto list = lists_.rbegin();
    while (now_ - list->since < gateway.lag && std::next(list) != lists_.rend()) {
      ++list;
    }
    gateway.proven_at = now_;
    SendList(i, *list);
  }
}

void SimulatedFleet::SendList(size_t i, const List& list) {
  Gateway& gateway = gateways_[i];
  const bool hiding = now_ < gateway.hidden_until;
  if (gateway.sent_list == list.number && gateway.sent_hidden == hiding) {
    return;
  }
  std::set<size_t> nodes = list.nodes;
  if (hiding) {
    std::erase_if(nodes, [&](size_t index) { return gateway.hidden.contains(index); });
  }
  gateway.sent_list = list.number;
  gateway.sent_hidden = hiding;
  gateway.limits->SetGateways(now_, Records(nodes));
  Collect(i);
}

void SimulatedFleet::Step() {
  now_ += kStep;
  while (!events_.empty() && events_.begin()->first <= now_) {
    const Event event = events_.begin()->second;
    events_.erase(events_.begin());
    Gateway& gateway = gateways_[event.gateway];
    if (gateway.limits == nullptr || gateway.incarnation != event.incarnation) {
      continue;
    }
    if (Paused(event.gateway)) {
      events_.emplace(gateway.paused_until, event);
      continue;
    }
    event.run();
  }
  if (now_ >= next_control_) {
    next_control_ = now_ + kControlInterval;
    Control();
  }
  Arrivals();
  if (now_ < next_tick_) {
    return;
  }
  next_tick_ = now_ + kTick;
  for (size_t i = 0; i < gateways_.size(); ++i) {
    Gateway& gateway = gateways_[i];
    if (gateway.limits != nullptr && !Paused(i)) {
      gateway.limits->Tick(now_, gateway.proven_at);
      Collect(i);
    }
  }
}

void SimulatedFleet::Run(Duration length) {
  const Timestamp end = now_ + length;
  while (now_ < end) {
    Step();
  }
}

double SimulatedFleet::Fullness(size_t tenant, double per_second, double burst, Timestamp from,
                                Timestamp until) const {
  const LimitBound& bound = options_.limits.bound;
  const double window = std::chrono::duration<double>(bound.window).count();
  const double bound_count = (per_second * window + burst) * (1 + bound.overage) + bound.slack;
  const std::vector<Timestamp>& used = counts_[tenant].used;
  double max_fullness = 0;
  size_t end = 0;
  // The window with the most granted requests starts at a granted request.
  for (size_t begin = 0; begin < used.size(); ++begin) {
    end = std::max(end, begin);
    while (end < used.size() && used[end] <= used[begin] + bound.window) {
      ++end;
    }
    if (used[begin] >= from && used[begin] < until) {
      max_fullness = std::max(max_fullness, static_cast<double>(end - begin) / bound_count);
    }
  }
  return max_fullness;
}

}  // namespace pumicedyke::limits
