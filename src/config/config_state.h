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

/// How many published snapshots of a service stay usable for running and continued requests.
constexpr size_t kKeptSnapshots = 3;
/// How many retired leafs are remembered. One that is forgotten has long ended.
constexpr size_t kKeptRetired = 4096;
/// Requests that are stopped or on parole. One on parole is forgotten for another one; no more can
/// be stopped at a time.
constexpr size_t kMostQuarantined = 1024;

class ConfigState {
 public:
  ConfigVersion version() const { return version_; }
  const std::map<std::string, Service>& services() const { return services_; }
  const Service* FindService(const std::string& name) const;
  bool IsLeaving(const std::string& leaf) const { return leaving_.contains(leaf); }
  const std::set<std::string>& leaving() const { return leaving_; }
  /// Leafs that said for good that they leave, with the last life that did; the newest kKeptRetired
  /// of them.
  const std::map<std::string, uint64_t>& retired() const { return retired_; }
  /// Whether this life of the leaf has said so, or a later one.
  bool IsRetired(const std::string& leaf, uint64_t born_ms) const {
    const auto it = retired_.find(leaf);
    return it != retired_.end() && born_ms <= it->second;
  }
  /// Whether a later life of the leaf is committed, or has retired.
  bool IsFormerLife(const std::string& leaf, uint64_t born_ms) const;
  const RouteDocument& document() const { return document_; }
  /// Leafs that report by heartbeats and have neither retired nor fallen silent, by id.
  const std::map<std::string, ReportedLeaf>& reported() const { return reported_; }

  /// Zones that operators evacuated at least once, by name.
  const std::map<std::string, ZoneState>& zones() const { return zones_; }
  /// Zones whose leafs nothing may be sent to.
  std::set<std::string> EvacuatedZones() const;
  /// Requests that are stopped, and those on parole, by identity.
  const std::map<RequestIdentity, QuarantineRecord>& quarantine() const { return quarantine_; }
  /// Whether the request is to be sent to no leaf.
  bool IsQuarantined(const RequestIdentity& request) const {
    const auto it = quarantine_.find(request);
    return it != quarantine_.end() && it->second.stopped;
  }
  /// Requests that are to be sent to no leaf.
  std::set<RequestIdentity> StoppedRequests() const;
  /// Who may ask nodes.
  const TenantList& tenants() const { return tenants_; }
  /// Revision of what the change is about, a service or a zone; zero: it has none yet.
  uint64_t RevisionOf(const Change& change) const;

  /// Whether `change` may be applied now, except for its expected revision.
  /// @return kInvalidConfig or kUnknownObject naming the field.
  absl::Status Validate(const Change& change) const;

  /// Whether applying `change` would leave everything as it is (an older document, a leaf that is
  /// retired already, leafs that are known).
  bool IsSettled(const Change& change) const;

  /// Applies a valid change and counts the version up.
  void Apply(const Change& change);

  std::string Serialize() const;
  static absl::StatusOr<ConfigState> Deserialize(const std::string& bytes);

 private:
  bool HasLeaf(const std::string& id) const;
  /// The life of a leaf that a kRetireLeaf is about.
  uint64_t RetiringLife(const Change& change) const;
  void Retire(const std::string& leaf, uint64_t born_ms);
  void Report(const ReportedLeaf& leaf);
  void Quarantine(const RequestIdentity& request);
  void Release(const RequestIdentity& request, bool on_parole);
  /// Whether the committed word on this life of a leaf is by its reporter, who alone may take it
  /// back.
  bool IsReportedBy(const ReportedLeaf& leaf) const;
  absl::Status ValidateService(const Change& change) const;
  absl::Status ValidateSnapshot(const Change& change) const;
  absl::Status ValidateQuarantine(const Change& change) const;

  ConfigVersion version_;
  std::map<std::string, Service> services_;
  std::set<std::string> leaving_;
  std::map<std::string, uint64_t> retired_;
  /// The same, oldest first.
  std::deque<std::string> retired_order_;
  RouteDocument document_;
  TenantList tenants_;
  std::map<std::string, ReportedLeaf> reported_;
  std::map<std::string, ZoneState> zones_;
  std::map<RequestIdentity, QuarantineRecord> quarantine_;
};

}  // namespace pumicedyke::config
