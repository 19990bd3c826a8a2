#include "routing/route_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "common/result_code.h"

namespace pumicedyke::routing {
namespace {

absl::Status Invalid(const Route& route, const std::string& field, const std::string& reason) {
  return MakeStatus(ResultCode::kInvalidConfig,
                    "route '" + route.name + "', field '" + field + "': " + reason);
}

std::string LowerCase(std::string_view text) {
  return absl::AsciiStrToLower(absl::string_view(text.data(), text.size()));
}

/// Returns the host of a Host header, in lower case and without the port.
std::string HostName(std::string_view host) { return LowerCase(host.substr(0, host.find(':'))); }

absl::Status ValidateTargets(const Route& route, const std::set<std::string>& known_services) {
  double weights = 0;
  for (const WeightedService& target : route.services) {
    if (!known_services.contains(target.service)) {
      return Invalid(route, "services", "no service " + target.service);
    }
    if (target.weight < 0) {
      return Invalid(route, "services", "a weight is negative");
    }
    weights += target.weight;
  }
  for (const std::string& shard : route.shards) {
    if (!known_services.contains(shard)) {
      return Invalid(route, "shards", "no service " + shard);
    }
  }
  if (route.services.empty() && route.shards.empty()) {
    return Invalid(route, "services", "must name a service");
  }
  if (!route.services.empty() && weights <= 0) {
    return Invalid(route, "services", "the weights add up to 0");
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<RouteSet> ReadValid(const DocumentReader& reader, std::string_view text) {
  absl::StatusOr<RouteSet> set = reader.Read(text);
  if (!set.ok()) {
    return set;
  }
  if (absl::Status status = Validate(*set); !status.ok()) {
    return status;
  }
  return set;
}

absl::Status Validate(const RouteSet& set) {
  std::set<std::string> known_services;
  for (const ServiceSpec& service : set.services) {
    known_services.insert(service.name);
  }
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (const Route& route : set.routes) {
    if (absl::Status status = ValidateTargets(route, known_services); !status.ok()) {
      return status;
    }
    if (!host_prefixes.emplace(HostName(route.host), route.prefix).second) {
      return Invalid(route, "prefix", "another route has the same host and prefix");
    }
    if (route.timeout.count() <= 0) {
      return Invalid(route, "timeout", "must be above 0");
    }
  }
  return tenants::Validate(set.tenants);
}

RouteTable::RouteTable(RouteSet set) : set_(std::move(set)), keys_(set_.tenants) {
  for (const Route& route : set_.routes) {
    by_host_[HostName(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) {
      return a->prefix.size() > b->prefix.size();
    });
  }
  for (const ServiceSpec& service : set_.services) {
    services_[service.name] = &service;
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view path) const {
  const auto it = by_host_.find(HostName(host));
  if (it == by_host_.end()) {
    return nullptr;
  }
  for (const Route* route : it->second) {
    if (path.substr(0, route->prefix.size()) == route->prefix) {
      return route;
    }
  }
  return nullptr;
}

const ServiceSpec* RouteTable::FindService(const std::string& name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : it->second;
}

const std::string& WeightedChoice::Next(const std::vector<WeightedService>& services) {
  if (services != services_) {
    Start(services);
  }
  return services[PickNext()].service;
}

void WeightedChoice::Start(const std::vector<WeightedService>& services) {
  // Has no common factor with the number of positions, so that restarts go through all of them.
  constexpr uint32_t kPositionsBetweenStarts = 61;
  services_ = services;
  credit_.assign(services.size(), 0);
  for (uint32_t i = 0; i < offset_; ++i) {
    PickNext();
  }
  offset_ = (offset_ + kPositionsBetweenStarts) % kStartPositions;
}

size_t WeightedChoice::PickNext() {
  double total = 0;
  size_t best = 0;
  for (size_t i = 0; i < services_.size(); ++i) {
    credit_[i] += services_[i].weight;
    total += services_[i].weight;
    if (credit_[i] > credit_[best]) {
      best = i;
    }
  }
  credit_[best] -= total;
  return best;
}

}  // namespace pumicedyke::routing
