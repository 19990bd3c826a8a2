// What a gateway takes from clients, sends to leafs and answers, as values without a protocol.
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

/// A client's request, passed on unread.
struct PayloadRequest {
  /// The client's own name for this attempt.
  std::string request_id;
  std::string method;
  /// Path and query, as they came.
  std::string target;
  std::string host;
  http::Headers headers;
  /// By which the client says who it is, its API key among them. Not among `headers`: they go to
  /// leafs only where the document has no tenants.
  http::Headers caller_headers;
  /// Method, target and headers in the form in which they go to every leaf; made once. Without
  /// `caller_headers`.
  std::string encoded_head;
  std::string body;
  /// What is asked for and for whom: the same for each attempt of the client.
  RequestIdentity identity;
  /// How long the client waits; zero: it did not say.
  Duration deadline{};
  /// The client's API key; empty: it sent none, or more than one.
  std::string api_key;
  /// To the client and back, as its connection tells; zero: not known.
  Duration round_trip{};

  std::string path() const { return target.substr(0, target.find('?')); }
};

/// One request at one leaf.
struct LeafSend {
  SubRequestId id;
  std::string leaf;
  /// IP number and port.
  std::string address;
  std::shared_ptr<const PayloadRequest> request;
  /// Time left for the leaf.
  Duration budget{};
  bool repeatable = true;
  /// Connections that this gateway may hold to the leaf.
  size_t max_connections = 1;
  /// The gateway works with this leaf as a rule: a connection to it is kept.
  bool keep_connection = true;
  ShardId shard;
  /// The leaf's headers are passed on with its answer.
  bool keep_headers = true;
  /// Whose request it is, as leafs are told whatever the client claimed; empty: nobody's.
  std::string tenant;
  /// Goes instead of the request's own head, if it is set: see HeadWithCaller().
  std::shared_ptr<const std::string> head;
  /// Of the request; zero is the most urgent.
  int priority = 0;
  /// With `keep_connection`: how many connections are kept.
  size_t kept_connections = 1;
};

/// What goes to leafs of a request whose document has no tenants: the client's words about itself
/// are passed on like all others. @return null: it said nothing of itself, `encoded_head` does.
std::shared_ptr<const std::string> HeadWithCaller(const PayloadRequest& request);

struct LeafCancel {
  SubRequestId id;
  /// Nobody waits for the outcome: the leaf's work must end. Otherwise the leaf may finish, so that
  /// the connection lives on.
  bool stop_work = false;
};

/// How a request came to its answer, for the log.
struct RequestTrace {
  std::string route;
  /// Empty: nobody's, or the document has no tenants.
  std::string tenant;
  uint64_t document_version = 0;
  Duration config_age{};
  Duration elapsed{};
  /// To the client and back, and what the client had spent when the request came, if known.
  Duration round_trip{};
  std::optional<Duration> spent;
  /// When the answer was decided on, and, of one that lacks parts, when that was due.
  Timestamp decided{};
  std::optional<Timestamp> due;
  uint32_t extra_sub_requests = 0;
  /// Shards that were given up because nothing paid for another sub-request.
  uint32_t unpaid_shards = 0;
  std::vector<query::AttemptRecord> attempts;
  std::vector<query::MissingShard> missing;
  /// Questions to other gateways, if they shared the work.
  std::vector<query::QuestionRecord> questions;
};

/// What this gateway did for a group of shards that another one asked for, for the log.
struct PartialTrace {
  std::string request_id;
  RequestIdentity identity;
  std::string route;
  /// As the gateway that asked says.
  std::string tenant;
  query::RunState run = query::RunState::kNotRun;
  /// From the question's arrival to its beginning, and to its end.
  Duration waited{};
  Duration elapsed{};
  size_t shards = 0;
  uint32_t extra_sub_requests = 0;
  /// Shards that were given up because nothing paid for another sub-request.
  uint32_t unpaid_shards = 0;
  std::vector<query::AttemptRecord> attempts;
  std::vector<query::MissingShard> missing;
};

/// The answer to a client's request.
struct GatewayAnswer {
  RequestId id;
  std::shared_ptr<const PayloadRequest> request;
  ResultCode code = ResultCode::kInternal;
  query::RunState run = query::RunState::kNotRun;
  /// One leaf's answer, to be passed on as it stands (its failures, too); null if there is none.
  std::shared_ptr<const query::LeafPayload> payload;
  /// Set if the route gathers from shards and the answer is a success.
  bool gathered = false;
  std::string records;
  std::vector<std::string> signatures;
  size_t missing_shards = 0;
  /// When it makes sense to come back; zero: not said.
  Duration retry_after{};
  /// Of the request; zero is the most urgent.
  int priority = 0;
  RequestTrace trace;
};

}  // namespace pumicedyke::gateway
