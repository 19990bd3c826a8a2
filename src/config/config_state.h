// The configuration as a deterministic state machine: the same accepted changes in the same order
// give the same state on every control machine and every node.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "config/model.h"

namespace pumicedyke::config {

/// Number of published snapshots of a service that stay usable for running and continued requests.
constexpr size_t kRetainedSnapshots = 3;
/// Number of retired leafs that are recorded. The process of a leaf that is dropped from the record
/// has long ended.
constexpr size_t kMaxRetiredLeafs = 4096;
/// Limit on requests in quarantine: stopped or conditionally released. A new request replaces a
/// conditionally released one; if all are stopped, no further request can be stopped.
constexpr size_t kMaxQuarantined = 1024;

class ConfigState {
 public:
  ConfigVersion version() const { return version_; }
  const std::map<std::string, Service>& services() const { return services_; }
  const Service* FindService(const std::string& name) const;
  bool IsLeaving(const std::string& leaf) const { return leaving_.contains(leaf); }
  const std::set<std::string>& leaving() const { return leaving_; }
  /// Leafs that retired, with their last incarnation that did. Holds the newest kMaxRetiredLeafs
  /// leafs.
  const std::map<std::string, uint64_t>& retired() const { return retired_; }
  /// Whether this incarnation of the leaf or a later one has retired.
  bool IsRetired(const std::string& leaf, uint64_t born_ms) const {
    const auto it = retired_.find(leaf);
    return it != retired_.end() && born_ms <= it->second;
  }
  /// Whether a later incarnation of the leaf is committed or has retired.
  bool IsPreviousIncarnation(const std::string& leaf, uint64_t born_ms) const;
  const RouteDocument& document() const { return document_; }
  /// Leafs that report by heartbeats and have neither retired nor timed out, by id.
  const std::map<std::string, ReportedLeaf>& reported() const { return reported_; }

  /// Zones that were evacuated at least once, by name.
  const std::map<std::string, ZoneState>& zones() const { return zones_; }
  /// Zones whose leafs must not be sent any request.
  std::set<std::string> EvacuatedZones() const;
  /// Requests that are stopped or conditionally released, by identity.
  const std::map<RequestIdentity, QuarantineRecord>& quarantine() const { return quarantine_; }
  /// Whether the request must not be sent to any leaf.
  bool IsQuarantined(const RequestIdentity& request) const {
    const auto it = quarantine_.find(request);
    return it != quarantine_.end() && it->second.stopped;
  }
  /// Requests that must not be sent to any leaf.
  std::set<RequestIdentity> StoppedRequests() const;
  /// Tenants that may send requests to nodes.
  const TenantList& tenants() const { return tenants_; }
  /// Returns the revision of the object of the change: a service, a zone or the list of tenants.
  /// Zero: the object does not exist yet.
  uint64_t RevisionOf(const Change& change) const;

  /// Checks whether `change` may be applied now, except for its expected revision.
  /// @return kInvalidConfig or kUnknownObject naming the field.
  absl::Status Validate(const Change& change) const;

  /// Whether applying `change` would have no effect, for instance an older document, a leaf that
  /// has already retired, or leafs that are already known.
  bool HasNoEffect(const Change& change) const;

  /// Applies a valid change and increments the version.
  void Apply(const Change& change);

  std::string Serialize() const;
  static absl::StatusOr<ConfigState> Deserialize(const std::string& bytes);

 private:
  bool HasLeaf(const std::string& id) const;
  /// Returns the start time of the incarnation that a kRetireLeaf change retires.
  uint64_t RetiringIncarnation(const Change& change) const;
  void Retire(const std::string& leaf, uint64_t born_ms);
  void Report(const ReportedLeaf& leaf);
  void Quarantine(const RequestIdentity& request);
  void Release(const RequestIdentity& request, bool conditional);
  /// Whether this incarnation of the leaf is committed with the same reporter. Only that reporter
  /// may remove it.
  bool IsReportedBy(const ReportedLeaf& leaf) const;
  absl::Status ValidateService(const Change& change) const;
  absl::Status ValidateSnapshot(const Change& change) const;
  absl::Status ValidateQuarantine(const Change& change) const;

  ConfigVersion version_;
  std::map<std::string, Service> services_;
  std::set<std::string> leaving_;
  std::map<std::string, uint64_t> retired_;
  /// Ids of the retired leafs, oldest first.
  std::deque<std::string> retired_order_;
  RouteDocument document_;
  TenantList tenants_;
  std::map<std::string, ReportedLeaf> reported_;
  std::map<std::string, ZoneState> zones_;
  std::map<RequestIdentity, QuarantineRecord> quarantine_;
};

}  // namespace pumicedyke::config
