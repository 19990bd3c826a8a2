// Finds the route of a request by host and longest path prefix. Built once per document.
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

/// A service that gets a share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
  bool operator==(const WeightedService&) const = default;
};

/// A route: how matching requests are handled.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// False if a request may run at most once.
  bool repeatable = true;
  /// Maximum time until a request is answered.
  Duration timeout{};
  /// Latency objective: an answer within this time has its full value.
  Duration objective{};
  /// Zero is the most urgent.
  int priority = 0;
  /// Maximum number of leafs to which one request is sent, per shard.
  uint32_t max_attempts = 1;
  /// One leaf of one of these services answers. Exactly one of `services` and `shards` is set.
  std::vector<WeightedService> services;
  /// One leaf of each of these services answers, and the best `top_records` of their records are
  /// returned.
  std::vector<std::string> shards;
  size_t top_records = 0;
  /// Share of the shards that an answer must include.
  double min_coverage = 1;

  /// Allowed regions of the requests; empty means any.
  std::set<std::string> allowed_regions;
  /// Whether requests need no API key even if the document has tenants.
  bool open = false;

  bool gathers() const { return !shards.empty(); }
};

/// Settings of a service.
struct ServiceSpec {
  std::string name;
  /// Connections that each leaf accepts from all callers together.
  uint32_t max_connections = 0;
  std::string health_path;
  /// Time for which a leaf is cold after its start, and the requests per second that it can handle
  /// during that time from all callers together. Zero means no limit.
  Duration warm_up{};
  double cold_requests_per_second = 0;
};

/// Limits on client requests and connections.
struct ClientLimits {
  size_t max_header_bytes = 64 * 1024;
  size_t max_body_bytes = 1 << 20;
  Duration header_timeout = Seconds(30);
  Duration idle_timeout = Seconds(30);
};

/// A parsed document of routes.
struct RouteSet {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;
  ClientLimits limits;
  /// The document has tenants, so that requests need an API key of one except on open routes.
  bool keyed = false;
  std::vector<tenants::Tenant> tenants;
};

/// Parses documents of one format.
class DocumentReader {
 public:
  virtual ~DocumentReader() = default;
  /// Parses a document. Its consistency is checked by Validate().
  /// @return kInvalidConfig naming the field if the document cannot be parsed completely.
  virtual absl::StatusOr<RouteSet> Read(std::string_view text) const = 0;
};

/// Checks that services are known, that host and prefix are unique, that no weight is negative and
/// their sum is above zero, that timeouts are above zero, and that tenants pass
/// tenants::Validate().
/// @return kInvalidConfig naming the route or tenant and the field.
absl::Status Validate(const RouteSet& set);

/// Parses a document and checks it with Validate().
absl::StatusOr<RouteSet> ReadValid(const DocumentReader& reader, std::string_view text);

class RouteTable {
 public:
  /// @param set must be valid.
  explicit RouteTable(RouteSet set);

  /// Returns the route, or null if none matches. Valid as long as the table.
  const Route* Find(std::string_view host, std::string_view path) const;
  const ServiceSpec* FindService(const std::string& name) const;
  /// The tenants by API key.
  const tenants::KeyRing& keys() const { return keys_; }
  uint64_t version() const { return set_.version; }
  const RouteSet& set() const { return set_; }

 private:
  RouteSet set_;
  /// By host in lower case; routes with longer prefixes first.
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host_;
  std::map<std::string, const ServiceSpec*> services_;
  tenants::KeyRing keys_;
};

/// Smooth weighted round robin: after any number of picks each service is within one request of its
/// exact share. Begins anew when the services, their order or a weight change. Each gateway starts
/// at its own position in the round. Otherwise hundreds of gateways with few requests each would
/// all start with the heaviest service.
class WeightedChoice {
 public:
  /// Number of positions at which a round may start. With 100 a weight of one percent is visible.
  static constexpr uint32_t kStartPositions = 100;

  /// @param offset number of picks to skip at the first start.
  explicit WeightedChoice(uint32_t offset = 0) : offset_(offset) {}

  /// @param services the weights must not be negative, and their sum must be above zero.
  const std::string& Next(const std::vector<WeightedService>& services);

 private:
  void Start(const std::vector<WeightedService>& services);
  size_t PickNext();

  uint32_t offset_;
  std::vector<WeightedService> services_;
  std::vector<double> credit_;
};

}  // namespace pumicedyke::routing
