// The configuration that operators write and every node follows.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/json.h"
#include "common/request_identity.h"
#include "common/types.h"
#include "tenants/tenant.h"

namespace pumicedyke::config {

/// A back end process that serves replicas of shards.
struct Leaf {
  std::string id;
  /// IP number and port, for instance 127.0.0.1:8080.
  std::string address;
  std::string zone;
  /// Requests it runs at once.
  uint32_t slots = 1;
};

/// One shard and the leafs that hold a replica of it.
struct Shard {
  ShardId id;
  std::vector<std::string> replicas;
};

/// An index version together with the partition map that belongs to it.
struct PublishedSnapshot {
  SnapshotId id;
  std::vector<Shard> shards;
};

struct Service {
  std::string name;
  /// Counts the changes of this service; operators submit against it.
  uint64_t revision = 0;
  std::map<std::string, Leaf> leafs;
  /// Oldest first; the last one is pinned by new requests.
  std::vector<PublishedSnapshot> snapshots;
  /// Source of the policy program; empty means the built-in default.
  std::string policy;
  /// Version of the configuration that set the policy.
  ConfigVersion policy_version;

  const PublishedSnapshot* FindSnapshot(SnapshotId id) const;
};

/// A leaf that reports by heartbeats, as committed: whoever starts learns of it without waiting for
/// its next heartbeat. Whether it still lives is soft state (registry/).
struct ReportedLeaf {
  std::string id;
  std::string service;
  /// IP number and port.
  std::string address;
  std::string zone;
  uint32_t slots = 1;
  /// The control machine that it reports to, and the only one that may say it is gone.
  MemberId reporter = 0;
  /// When this life of the leaf began, by its own clock; zero: it did not say.
  uint64_t born_ms = 0;
  bool operator==(const ReportedLeaf&) const = default;
};

/// What operators ordered for the leafs of a zone.
struct ZoneState {
  /// Nothing may be sent to them.
  bool evacuated = false;
  /// Counts the changes of this state.
  uint64_t revision = 0;
};

/// A request that ended the leafs that ran it, and what the fleet does about it.
struct QuarantineRecord {
  /// It is sent to no leaf. Otherwise it is on parole: one more leaf that it ends is enough to stop
  /// it again.
  bool stopped = true;
  /// How often it was stopped.
  uint32_t times = 0;
};

/// Who may ask nodes. Routes say it for gateways in their document.
struct TenantList {
  /// Counts the changes of this list.
  uint64_t revision = 0;
  /// Unset: nobody needs a key.
  std::optional<std::vector<tenants::Tenant>> tenants;
};

/// Routes as operators put them, whole: kept byte for byte. What the bytes mean is for the
/// routing::DocumentReader of the process that uses them.
struct RouteDocument {
  /// Zero: there is none yet.
  uint64_t version = 0;
  std::string text;
};

enum class ChangeKind {
  kPutService,
  kRemoveService,
  kPublishSnapshot,
  kPutPolicy,
  kMarkLeaving,
  kClearLeaving,
  /// A leaf that reports by heartbeats is leaving for good. Its id may come back only as a later
  /// life.
  kRetireLeaf,
  /// A whole numbered document of routes; the highest number wins.
  kPutDocument,
  /// Leafs that were heard of for the first time, or at another control machine.
  kReportLeafs,
  /// Leafs that fell silent at the control machine they report to.
  kForgetLeafs,
  /// Nothing is sent to a zone's leafs any more, until the zone is restored.
  kEvacuateZone,
  kRestoreZone,
  /// A request, by its identity, is sent to no leaf any more, until it is released.
  kQuarantineRequest,
  kReleaseRequest,
  /// The whole list of tenants, or that nobody needs a key.
  kPutTenants,
};

bool ConcernsZone(ChangeKind kind);
/// Whether a change may be applied twice without harm, so that it needs no submission id.
bool IsIdempotent(ChangeKind kind);

/// One change as an operator submits it.
struct Change {
  ChangeKind kind = ChangeKind::kPutService;
  /// A resend under the same id gets the first submission's result.
  std::string submission_id;
  /// The revision of the service, or of the zone's state, that the change is based on; none means
  /// "whatever it is".
  std::optional<uint64_t> expected_revision;
  std::string service;
  std::vector<Leaf> leafs;
  PublishedSnapshot snapshot;
  std::string policy;
  /// The leaf of kMarkLeaving, kClearLeaving and kRetireLeaf.
  std::string leaf;
  /// kRetireLeaf: the last life that leaves, see ReportedLeaf::born_ms; zero: the one that is
  /// known.
  uint64_t born_ms = 0;
  RouteDocument document;
  /// The zone of kEvacuateZone and kRestoreZone.
  std::string zone;
  /// The request of kQuarantineRequest and kReleaseRequest.
  RequestIdentity request;
  /// kReleaseRequest: it is remembered that it was stopped before.
  bool on_parole = false;
  /// The leafs of kReportLeafs and kForgetLeafs; of the latter only id, life and reporter count.
  std::vector<ReportedLeaf> reported;
  /// The tenants of kPutTenants; unset: nobody needs a key.
  std::optional<std::vector<tenants::Tenant>> tenants;
};

/// What became of a submission.
struct ChangeResult {
  int code = 0;
  std::string message;
  /// Configuration version that the change made, or the current one if it was refused.
  uint64_t version = 0;
  /// The service's or the zone's revision after the change, or the current one if it was refused.
  uint64_t revision = 0;
};

void to_json(Json& json, const Change& change);
void from_json(const Json& json, Change& change);
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Leaf, id, address, zone, slots)
void to_json(Json& json, const ReportedLeaf& leaf);
void from_json(const Json& json, ReportedLeaf& leaf);
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ZoneState, evacuated, revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuarantineRecord, stopped, times)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Shard, id, replicas)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PublishedSnapshot, id, shards)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Service, name, revision, leafs, snapshots, policy,
                                   policy_version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ChangeResult, code, message, version, revision)

/// Reads a change that came from outside, field by field.
/// @return kInvalidConfig naming the first field that is wrong.
absl::StatusOr<Change> ParseChange(const Json& json);

}  // namespace pumicedyke::config
