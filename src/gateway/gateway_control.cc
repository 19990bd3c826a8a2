// GatewayServer's handling of control machines: sends presence messages, applies the configuration
// and the leafs received, and keeps the leaf pool in sync.
#include <algorithm>
#include <utility>

#include "gateway/gateway_server.h"
#include "gateway/merger_placement.h"
#include "wire/destinations.h"

namespace pumicedyke::gateway {

wire::Envelope GatewayServer::Presence(const std::string& address) const {
  wire::GatewayPresence presence{options_.node,    options_.incarnation,
                                 options_.address, options_.zone,
                                 ready(),          view_.VersionOf(address)};
  presence.peer_address = options_.peer_address;
  presence.wants_peers = !options_.peer_address.empty() && address == followed_control();
  presence.peers_version = peers_.VersionOf(address);
  presence.used = extra_load_.used();
  return {options_.cluster, subscriber_.config().version().value, std::move(presence)};
}

Duration GatewayServer::PresenceInterval(Timestamp now, const std::string& address) const {
  const GatewayKnobs& knobs = options_.knobs;
  if (address != followed_control()) {
    const Duration by_size = knobs.presence_interval_per_gateway * static_cast<int64_t>(gateways_);
    return std::clamp(by_size, knobs.presence_interval, knobs.max_presence_interval);
  }
  // While the set of gateways changes, updates are requested more often from the followed
  // control machine.
  const bool changing = now - peers_changed_ < knobs.peers_settle_time;
  const bool frequent = table_ == nullptr || changing;
  return frequent ? knobs.starting_presence_interval : knobs.presence_interval;
}

bool GatewayServer::OnControlMessage(Timestamp now, const std::string& address,
                                     const wire::Envelope& envelope) {
  if (envelope.cluster != options_.cluster) {
    return false;
  }
  if (!links_.contains(address)) {
    // Was on its way when the machine was forgotten.
    return true;
  }
  using wire::Destination;
  return wire::DispatchTo<Destination::kNodeOrGateway, Destination::kGateway>(
      envelope.body,
      wire::MessageHandler{
          [&](const wire::ConfigFeed& feed) { OnConfigFeed(now, address, feed); },
          [&](const wire::SuspectNotice& notice) { OnSuspectNotice(now, notice); },
          [&](const wire::TrialReply& reply) { OnTrialReply(now, reply); },
          [&](const wire::RunReportAck& ack) {
            reports_.OnAcknowledged(ack.number);
            ReportRuns(now);
          },
          [&](const wire::LeafFeed& leafs) { OnLeafFeed(now, address, leafs); },
          [&](const wire::GatewayFeed& peers) { OnGatewayFeed(now, address, peers); }});
}

void GatewayServer::OnGatewayFeed(Timestamp now, const std::string& address,
                                  const wire::GatewayFeed& feed) {
  const uint64_t changes = peers_.changes();
  peers_.OnFeed(address, feed);
  if (peers_.changes() != changes) {
    UpdateLimitGateways(now);
    ApplyLimitOutput(now);
  }
  SyncOwnerships(now);
  peers_changed_ = now;
  links_[address].next_presence =
      std::min(links_[address].next_presence, now + PresenceInterval(now, address));
}

void GatewayServer::OnConfigFeed(Timestamp now, const std::string& address,
                                 const wire::ConfigFeed& feed) {
  if (feed.echo != 0) {
    FollowAnswering(now, address);
  }
  if (!subscriber_.OnFeed(now, feed)) {
    // The update may still prove the known configuration current.
    ReleaseEarly(now);
    return;
  }
  const std::vector<std::string> changed = subscriber_.TakeChangedLeafs();
  if (feed.full) {
    view_.OnCommittedReset(now);
  } else {
    view_.OnCommitted(now, changed);
  }
  view_.SetEvacuated(now, subscriber_.config().EvacuatedZones());
  ApplyQuarantine(now);
  SyncPool(now);
  AdoptDocument(now);
  ReleaseEarly(now);
}

void GatewayServer::OnLeafFeed(Timestamp now, const std::string& address,
                               const wire::LeafFeed& feed) {
  links_[address].last_contact = now;
  SetLink(address, /*up=*/true);
  gateways_ = std::max(1U, feed.gateways);
  share_lease_.Renew(now, feed.gateways);
  extra_load_.OnFleet(now, feed.gateways_used);
  AddControlMachines(feed.control);
  ControlLink& link = links_[address];
  if (!feed.control.empty()) {
    link.members = feed.control;
  }
  link.near = !feed.zone.empty() && feed.zone == options_.zone;
  link.current_since =
      feed.current ? std::optional(link.current_since.value_or(now)) : std::nullopt;
  SwitchToNearControl(now);
  if (!view_.OnFeed(now, address, feed)) {
    links_[address].next_presence = now;
  }
  SyncPool(now);
}

void GatewayServer::AdoptDocument(Timestamp now) {
  const config::RouteDocument& document = subscriber_.config().document();
  if (document.version <= document_version()) {
    return;
  }
  absl::StatusOr<routing::RouteSet> set = documents_->Read(document.text);
  document_unread_ = !set.ok();
  if (!set.ok()) {
    return;
  }
  const bool was_ready = ready();
  set->version = document.version;
  table_ = std::make_shared<const routing::RouteTable>(*std::move(set));
  limits_cold_leafs_ = std::any_of(
      table_->set().services.begin(), table_->set().services.end(),
      [](const routing::ServiceSpec& service) { return service.cold_requests_per_second > 0; });
  gate_.limits().SetTenants(now, table_->set().tenants);
  targets_.clear();
  SyncOwnerships(now);
  if (!was_ready) {
    for (auto& [address, link] : links_) {
      link.next_presence = Timestamp{};
    }
  }
}

void GatewayServer::SyncPool(Timestamp now) {
  const std::vector<LeafChange> changes = view_.TakeChanges();
  pool_updater_.Sync(now, view_, changes, {table_.get(), share_lease_.Sharers(now)});
  for (const LeafChange& change : changes) {
    output_.leaf_changes.push_back(change.leaf);
  }
  for (const std::string& leaf : view_.TakeNewlyLeaving()) {
    output_.closed_leafs.push_back(leaf);
  }
  SyncCold(now);
}

void GatewayServer::SyncOwnerships(Timestamp now) {
  const OwnershipInputs inputs{document_version(), peers_.changes(), view_.version()};
  if (table_ == nullptr || inputs == ownership_inputs_) {
    return;
  }
  const bool only_leafs = inputs.document_version == ownership_inputs_.document_version &&
                          inputs.peer_changes == ownership_inputs_.peer_changes;
  if (only_leafs && now - ownerships_synced_at_ < options_.knobs.ownership_interval) {
    return;
  }
  ownership_inputs_ = inputs;
  ownerships_synced_at_ = now;
  extra_load_.SetOwnerships(now, Ownerships(now));
}

std::vector<const routing::Route*> GatewayServer::DistinctSharedGathers() const {
  std::vector<const routing::Route*> distinct;
  for (const routing::Route& route : table_->set().routes) {
    const bool known = std::any_of(distinct.begin(), distinct.end(), [&route](const auto* other) {
      return route.shards == other->shards && route.allowed_regions == other->allowed_regions;
    });
    if (!known && GroupsOf(route) > 1) {
      distinct.push_back(&route);
    }
  }
  return distinct;
}

ShardOwnerships GatewayServer::Ownerships(Timestamp now) {
  // A shard of several routes has the owners of its groups in all of them.
  std::map<std::string, std::set<std::string>> owners_of;
  for (const routing::Route* route : DistinctSharedGathers()) {
    const std::vector<query::ShardRange> ranges =
        CutIntoGroups(route->shards.size(), GroupsOf(*route));
    for (size_t i = 0; i < ranges.size(); ++i) {
      const GroupPlace place = PlaceOf(route->shards, ranges, i);
      const std::set<std::string> owners = owners_.OwnersOf(now, place, route->allowed_regions);
      for (const std::string& shard : place.shards) {
        owners_of[shard].insert(owners.begin(), owners.end());
      }
    }
  }
  ShardOwnerships ownerships;
  for (const auto& [shard, owners] : owners_of) {
    ownerships[shard] = {owners.size(), owners.contains(options_.node)};
  }
  return ownerships;
}

Timestamp GatewayServer::ColdUntil(const wire::LeafRecord& record,
                                   const routing::ServiceSpec& service) const {
  Timestamp until{};
  const auto reported = view_.cold_until().find(record.leaf);
  if (reported != view_.cold_until().end()) {
    until = reported->second;
  }
  // Leafs of a restored zone may have become cold, and their reports arrive with some delay.
  if (const std::optional<Timestamp> restored = view_.RestoredAt(record.zone)) {
    until = std::max(until, *restored + service.warm_up);
  }
  return until;
}

std::map<std::string, double> GatewayServer::ColdSharesOfMergers(Timestamp now) {
  std::map<std::string, double> shares;
  for (const routing::Route& route : table_->set().routes) {
    const size_t groups = GroupsOf(route);
    if (groups <= 1) {
      continue;
    }
    const std::vector<query::ShardRange> ranges = CutIntoGroups(route.shards.size(), groups);
    for (size_t i = 0; i < ranges.size(); ++i) {
      const GroupPlace place = PlaceOf(route.shards, ranges, i);
      const size_t co_owners = owners_.CoOwnerCount(now, place, route.allowed_regions);
      for (const std::string& shard : place.shards) {
        const double share = co_owners == 0 ? 0.0 : 1.0 / static_cast<double>(co_owners);
        const auto [it, inserted] = shares.emplace(shard, share);
        it->second = inserted ? share : std::min(it->second, share);
      }
    }
  }
  return shares;
}

double GatewayServer::ColdShareOf(Timestamp now, const std::string& leaf, double per_second) const {
  const std::vector<std::string> gateways = peers_.Names();
  const auto senders = static_cast<size_t>(std::max(1.0, per_second));
  if (gateways.size() <= 1) {
    return 1.0 / share_lease_.Sharers(now);
  }
  const std::vector<std::string> chosen = MergersOf(leaf, gateways, senders);
  const bool sends = std::find(chosen.begin(), chosen.end(), options_.node) != chosen.end();
  return sends ? 1.0 / static_cast<double>(chosen.size()) : 0.0;
}

void GatewayServer::SyncCold(Timestamp now) {
  const ColdLimitInputs inputs{view_.cold_reports(), view_.merges(), document_version(),
                               peers_.changes()};
  if (table_ == nullptr || cold_limit_inputs_ == inputs) {
    return;
  }
  cold_limit_inputs_ = inputs;
  if (!limits_cold_leafs_) {
    return;
  }
  std::map<std::string, balance::ColdLimit> limits;
  std::optional<std::map<std::string, double>> merger_shares;
  for (const auto& [leaf, record] : view_.leafs()) {
    const routing::ServiceSpec* service = table_->FindService(record.service);
    if (service == nullptr || service->cold_requests_per_second <= 0) {
      continue;
    }
    const Timestamp until = ColdUntil(record, *service);
    if (now >= until) {
      continue;
    }
    if (!merger_shares.has_value()) {
      merger_shares = ColdSharesOfMergers(now);
    }
    const double capacity = options_.knobs.cold_share * service->cold_requests_per_second;
    const auto share = merger_shares->find(record.service);
    limits[leaf] = {until,
                    capacity * (share == merger_shares->end() ? ColdShareOf(now, leaf, capacity)
                                                              : share->second)};
  }
  pool_.SetCold(now, limits);
}

std::vector<std::string> GatewayServer::GatewaysFor(const directory::ClientLocation& client) const {
  std::vector<std::string> addresses = peers_.AddressesFor(client, options_.regions);
  const auto self = std::find(addresses.begin(), addresses.end(), options_.address);
  if (!ready() && self != addresses.end()) {
    addresses.erase(self);
  } else if (ready() && addresses.empty()) {
    addresses.push_back(options_.address);
  }
  return addresses;
}

}  // namespace pumicedyke::gateway
