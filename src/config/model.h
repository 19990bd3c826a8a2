// The configuration that operators submit and every node applies.
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

/// A back-end process that serves replicas of shards.
struct Leaf {
  std::string id;
  /// IP number and port, for instance 127.0.0.1:8080.
  std::string address;
  std::string zone;
  /// Number of requests that the leaf runs concurrently.
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
  /// Counts the changes of this service. Changes may state the revision that they are based on.
  uint64_t revision = 0;
  std::map<std::string, Leaf> leafs;
  /// Oldest first. New requests pin the last one.
  std::vector<PublishedSnapshot> snapshots;
  /// Source of the policy program. Empty: the built-in default.
  std::string policy;
  /// Version of the configuration that set the policy.
  ConfigVersion policy_version;

  const PublishedSnapshot* FindSnapshot(SnapshotId id) const;
};

/// A leaf that reports by heartbeats, as committed to the control log. A process that starts learns
/// of the leaf from the log, without waiting for the next heartbeat. Whether the leaf is still
/// alive is soft state (registry/).
struct ReportedLeaf {
  std::string id;
  std::string service;
  /// IP number and port.
  std::string address;
  std::string zone;
  uint32_t slots = 1;
  /// The control machine that the leaf reports to, the only one that may remove it.
  MemberId reporter = 0;
  /// Start time of this incarnation of the leaf, by its own clock. Zero: not reported.
  uint64_t born_ms = 0;
  bool operator==(const ReportedLeaf&) const = default;
};

/// What operators have set for the leafs of a zone.
struct ZoneState {
  /// No request may be sent to the zone's leafs.
  bool evacuated = false;
  /// Counts the changes of this state.
  uint64_t revision = 0;
};

/// State of a fatal request, one that crashes the leafs that run it.
struct QuarantineRecord {
  /// True: the request is not sent to any leaf. False: it is conditionally released, and one more
  /// leaf that it crashes stops it again.
  bool stopped = true;
  /// How often the request was stopped.
  uint32_t times = 0;
};

/// Tenants that may send requests to nodes. For gateways, the document of routes lists them.
struct TenantList {
  /// Counts the changes of this list.
  uint64_t revision = 0;
  /// Unset: callers need no key.
  std::optional<std::vector<tenants::Tenant>> tenants;
};

/// A document of routes as operators submitted it, stored byte for byte. The process that uses it
/// parses it with its routing::DocumentReader.
struct RouteDocument {
  /// Zero: no document yet.
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
  /// A leaf that reports by heartbeats retires. Only a later incarnation may use its id again.
  kRetireLeaf,
  /// Replaces the document of routes, if its version is higher than the current one.
  kPutDocument,
  /// Adds leafs that are new or that now report to another control machine.
  kReportLeafs,
  /// Removes leafs whose heartbeats to their reporter have timed out.
  kForgetLeafs,
  /// Stops sending requests to a zone's leafs until the zone is restored.
  kEvacuateZone,
  kRestoreZone,
  /// Stops sending a request, given by its identity, to any leaf until it is released.
  kQuarantineRequest,
  kReleaseRequest,
  /// Replaces the whole list of tenants, or removes it, so that callers need no key.
  kPutTenants,
};

bool ConcernsZone(ChangeKind kind);
/// Whether applying a change of this kind twice is harmless, so that it needs no submission id.
bool IsIdempotent(ChangeKind kind);

/// One change as an operator submits it.
struct Change {
  ChangeKind kind = ChangeKind::kPutService;
  /// A resend with the same id gets the result of the first submission.
  std::string submission_id;
  /// The revision of the service or the zone's state that the change is based on. Unset: any.
  std::optional<uint64_t> expected_revision;
  std::string service;
  std::vector<Leaf> leafs;
  PublishedSnapshot snapshot;
  std::string policy;
  /// The leaf of kMarkLeaving, kClearLeaving and kRetireLeaf.
  std::string leaf;
  /// kRetireLeaf: the last incarnation that retires, see ReportedLeaf::born_ms. Zero: the committed
  /// one.
  uint64_t born_ms = 0;
  RouteDocument document;
  /// The zone of kEvacuateZone and kRestoreZone.
  std::string zone;
  /// The request of kQuarantineRequest and kReleaseRequest.
  RequestIdentity request;
  /// kReleaseRequest: releases the request conditionally, and keeps the record that it was stopped.
  bool conditional = false;
  /// The leafs of kReportLeafs and kForgetLeafs. kForgetLeafs uses only id, start time and
  /// reporter.
  std::vector<ReportedLeaf> reported;
  /// The tenants of kPutTenants. Unset: callers need no key.
  std::optional<std::vector<tenants::Tenant>> tenants;
};

/// Result of a submission.
struct ChangeResult {
  int code = 0;
  std::string message;
  /// Configuration version after the change, or the current one if the change was refused.
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

/// Parses and checks a change submitted from outside.
/// @return kInvalidConfig naming the first field that is wrong.
absl::StatusOr<Change> ParseChange(const Json& json);

/// Whether `text` may name a service, a leaf or a zone: 1 to 64 letters, digits, '-', '_' or '.'.
bool IsName(const std::string& text);

}  // namespace pumicedyke::config
