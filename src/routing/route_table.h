// Which route a request takes: by host and longest path prefix, compiled once per document.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "common/types.h"
#include "tenants/key_ring.h"
#include "tenants/tenant.h"

namespace pumicedyke::routing {

/// A service that takes a share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// What an operator says of requests that match.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// False: a request may run at most once.
  bool repeatable = true;
  /// Longest time that a request is held.
  Duration timeout{};
  /// An answer within this earns its full worth.
  Duration objective{};
  /// Zero is the most urgent.
  int priority = 0;
  /// Leafs that one request may be sent to, per shard.
  uint32_t max_attempts = 1;
  /// One leaf of one of these answers. Exactly one of `services` and `shards` is filled.
  std::vector<WeightedService> services;
  /// One leaf of each of these answers, and the best `top_records` of their records go back.
  std::vector<std::string> shards;
  size_t top_records = 0;
  /// Share of the shards that an answer must include.
  double min_coverage = 1;

  /// Regions that requests must not leave; empty: they may go anywhere.
  std::set<std::string> homes;
  /// Needs no API key where the document has tenants.
  bool open = false;

  bool gathers() const { return !shards.empty(); }
};

/// What an operator says of a service.
struct ServiceSpec {
  std::string name;
  /// Connections that each leaf takes from all callers together.
  uint32_t max_connections = 0;
  std::string health_path;
  /// How long a leaf is cold after its start, and the requests a second that it bears meanwhile
  /// from all callers together. Zero: as many as always.
  Duration warm_up{};
  double cold_requests_per_second = 0;
};

/// Bounds of what a client may send.
struct ClientLimits {
  size_t max_header_bytes = 64 * 1024;
  size_t max_body_bytes = 1 << 20;
  Duration header_timeout = Seconds(30);
  Duration idle_timeout = Seconds(30);
};

/// A document of routes, read.
struct RouteSet {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;
  ClientLimits limits;
  /// The document has tenants: requests need the API key of one, but on open routes.
  bool keyed = false;
  std::vector<tenants::Tenant> tenants;
};

/// Turns the bytes of a document into routes. Each format has one.
class DocumentReader {
 public:
  virtual ~DocumentReader() = default;
  /// @return kInvalidConfig naming the field if the document cannot be read whole. Whether it makes
  /// sense is for Validate().
  virtual absl::StatusOr<RouteSet> Read(std::string_view text) const = 0;
};

/// Whether a set makes sense: known services, no place twice, weights above zero, times above zero,
/// tenants as tenants::Validate() asks.
/// @return kInvalidConfig naming the route or tenant and the field.
absl::Status Validate(const RouteSet& set);

class RouteTable {
 public:
  /// @param set must be valid.
  explicit RouteTable(RouteSet set);

  /// @return the route, or null if none matches. Lives as long as the table.
  const Route* Find(std::string_view host, std::string_view path) const;
  const ServiceSpec* FindService(const std::string& name) const;
  /// Whose the API keys are.
  const tenants::KeyRing& keys() const { return keys_; }
  uint64_t version() const { return set_.version; }
  const RouteSet& set() const { return set_; }

 private:
  RouteSet set_;
  /// By host (lower case); routes with longer prefixes first.
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host_;
  std::map<std::string, const ServiceSpec*> services_;
  tenants::KeyRing keys_;
};

/// Shares requests among services exactly by their weights (smooth weighted round robin): after any
/// number of picks each service is within one request of its share. Gateways begin at places of
/// their own in the round: hundreds that see a handful of requests each would else all begin with
/// the heaviest service.
class WeightedChoice {
 public:
  /// @param place picks to leave out at the beginning.
  explicit WeightedChoice(uint32_t place = 0) : place_(place) {}

  const std::string& Next(const std::vector<WeightedService>& services);

 private:
  size_t Pick(const std::vector<WeightedService>& services);

  uint32_t place_;
  std::vector<double> credit_;
};

}  // namespace pumicedyke::routing
