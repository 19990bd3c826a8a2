// Protocol-independent values exchanged with clients and leafs: requests, sub-requests, answers and
// their traces.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/request_identity.h"
#include "common/result_code.h"
#include "common/types.h"
#include "http/message.h"
#include "query/messages.h"
#include "query/shared_gather.h"

namespace pumicedyke::gateway {

/// A client's request. The payload is forwarded without being parsed.
struct PayloadRequest {
  /// Request id that the client chose for this attempt.
  std::string request_id;
  std::string method;
  /// Path and query string as received.
  std::string target;
  std::string host;
  http::Headers headers;
  /// Headers that identify the client, including its API key. Not part of `headers`: they are
  /// forwarded to leafs only if the document has no tenants.
  http::Headers caller_headers;
  /// Method, target and headers, encoded once in the form sent to every leaf. Excludes
  /// `caller_headers`.
  std::string encoded_head;
  std::string body;
  /// Identity of the requested operation and its caller; the same for each attempt of the client.
  RequestIdentity identity;
  /// Client's deadline; zero: not given.
  Duration deadline{};
  /// API key; empty if the client sent none or more than one.
  std::string api_key;
  /// Round-trip time to the client as measured on its connection; zero: unknown.
  Duration round_trip{};

  std::string path() const { return target.substr(0, target.find('?')); }
};

/// One sub-request to one leaf.
struct LeafSend {
  SubRequestId id;
  std::string leaf;
  /// IP address and port.
  std::string address;
  std::shared_ptr<const PayloadRequest> request;
  /// Time left for the leaf.
  Duration budget{};
  bool repeatable = true;
  /// Maximum number of connections from this gateway to the leaf.
  size_t max_connections = 1;
  /// Whether a connection to the leaf is kept open; set for preferred leafs.
  bool keep_connection = true;
  ShardId shard;
  /// Whether the leaf's headers are included in the answer.
  bool keep_headers = true;
  /// Tenant name sent to leafs, whatever the client claimed; empty: no tenant.
  std::string tenant;
  /// Replaces the request's encoded head if set; see HeadWithCallerHeaders().
  std::shared_ptr<const std::string> head;
  /// Request priority; zero is the most urgent.
  int priority = 0;
  /// Number of connections kept open if `keep_connection` is set.
  size_t retained_connections = 1;
};

/// Returns the encoded head including the client's identity headers, for documents without tenants.
/// @return null if the client sent no such headers; `encoded_head` is complete then.
std::shared_ptr<const std::string> HeadWithCallerHeaders(const PayloadRequest& request);

struct LeafCancel {
  SubRequestId id;
  /// If true, the outcome is no longer needed and the leaf's work must stop. Otherwise the leaf may
  /// finish, which keeps the connection usable.
  bool stop_work = false;
};

/// How an answer was produced, for the log.
struct RequestTrace {
  std::string route;
  /// Empty: no tenant, or the document has no tenants.
  std::string tenant;
  uint64_t document_version = 0;
  Duration config_age{};
  Duration elapsed{};
  /// How much of that no sub-request was running, if the request was not shared.
  Duration waited{};
  /// Round-trip time to the client, and the time the client had spent before the request arrived;
  /// if known.
  Duration round_trip{};
  std::optional<Duration> spent;
  /// Time at which the answer was decided, and, for a partial answer, the time at which it was due.
  Timestamp decided{};
  std::optional<Timestamp> due;
  uint32_t extra_sub_requests = 0;
  /// Shards abandoned because no budget was left for another sub-request.
  uint32_t budget_denied_shards = 0;
  std::vector<query::AttemptRecord> attempts;
  std::vector<query::MissingShard> missing;
  /// Partial queries sent to other gateways, if the gather was shared.
  std::vector<query::PartialQueryRecord> partial_queries;
};

/// Requests without an answer, by what they wait for.
struct WorkInProgress {
  /// A sub-request of theirs is running.
  size_t running = 0;
  /// None is: they wait for a leaf.
  size_t waiting = 0;
  /// Gathers that other gateways merge.
  size_t shared = 0;
  /// Groups that are merged for other gateways.
  size_t partials = 0;
  /// They wait for routes, for a limit, or for the permission to try a suspect.
  size_t not_started = 0;
  /// Ids of the oldest ones that have been started, and the age of the first.
  std::vector<std::string> oldest;
  Duration oldest_age{};
};

/// Work done by this gateway on a group of shards for another gateway, for the log.
struct PartialTrace {
  std::string request_id;
  RequestIdentity identity;
  std::string route;
  /// Tenant as given by the requesting gateway.
  std::string tenant;
  query::RunState run = query::RunState::kNotRun;
  /// Time from the arrival of the partial query to its start and to its end.
  Duration waited{};
  Duration elapsed{};
  size_t shards = 0;
  uint32_t extra_sub_requests = 0;
  /// Shards abandoned because no budget was left for another sub-request.
  uint32_t budget_denied_shards = 0;
  std::vector<query::AttemptRecord> attempts;
  std::vector<query::MissingShard> missing;
};

/// The answer to a client's request.
struct GatewayAnswer {
  RequestId id;
  std::shared_ptr<const PayloadRequest> request;
  ResultCode code = ResultCode::kInternal;
  query::RunState run = query::RunState::kNotRun;
  /// One leaf's answer, forwarded unchanged (including failures); null if there is none.
  std::shared_ptr<const query::LeafPayload> payload;
  /// True if the route gathers from shards and the answer is a success.
  bool gathered = false;
  std::string records;
  std::vector<std::string> signatures;
  size_t missing_shards = 0;
  /// Suggested delay before a retry; zero: none given.
  Duration retry_after{};
  /// Request priority; zero is the most urgent.
  int priority = 0;
  RequestTrace trace;
};

}  // namespace pumicedyke::gateway
