#include "query/messages.h"

#include <xxhash.h>

#include <array>
#include <cmath>

#include "absl/strings/escaping.h"

namespace pumicedyke::query {
namespace {

constexpr size_t kMaxQueryBytes = 64 * 1024;
constexpr size_t kMaxKeyBytes = 128;
constexpr double kMaxDeadlineMs = 600000;
constexpr size_t kMaxShardList = 100000;

constexpr std::array kReasonNames = {"none",        "timeout",   "shed",    "snapshot_not_held",
                                     "unreachable", "truncated", "leaving", "not_sent"};
constexpr std::array kRunStateNames = {"ran", "not_run", "unknown"};

absl::Status FieldError(ResultCode code, const std::string& field, const std::string& why) {
  return MakeStatus(code, "field '" + field + "' " + why);
}

template <size_t N>
size_t IndexOfName(const std::array<const char*, N>& names, const std::string& name) {
  for (size_t i = 0; i < N; ++i) {
    if (name == names[i]) {
      return i;
    }
  }
  return 0;
}

absl::Status ReadString(const Json& json, const char* field, size_t max_bytes, std::string* out) {
  if (!json.contains(field)) {
    return absl::OkStatus();
  }
  if (!json[field].is_string() || json[field].get_ref<const std::string&>().size() > max_bytes) {
    return FieldError(ResultCode::kMalformedRequest, field,
                      "must be a string of at most " + std::to_string(max_bytes) + " bytes");
  }
  *out = json[field].get<std::string>();
  return absl::OkStatus();
}

absl::Status ReadDeadline(const Json& json, Duration* out) {
  if (!json.contains("deadline_ms")) {
    return absl::OkStatus();
  }
  const double ms = json["deadline_ms"].is_number() ? json["deadline_ms"].get<double>() : -1;
  if (!std::isfinite(ms) || ms < 1 || ms > kMaxDeadlineMs) {
    return FieldError(ResultCode::kBadDeadline, "deadline_ms", "must be a number from 1 to 600000");
  }
  *out = Duration(static_cast<int64_t>(ms * 1000));
  return absl::OkStatus();
}

absl::Status ReadShards(const Json& json, std::vector<ShardId>* out) {
  if (!json.contains("shards")) {
    return absl::OkStatus();
  }
  if (!json["shards"].is_array() || json["shards"].size() > kMaxShardList) {
    return FieldError(ResultCode::kMalformedRequest, "shards", "must be a list of shard numbers");
  }
  for (const Json& shard : json["shards"]) {
    if (!shard.is_number_unsigned()) {
      return FieldError(ResultCode::kMalformedRequest, "shards", "must be a list of shard numbers");
    }
    out->push_back(ShardId{shard.get<uint64_t>()});
  }
  return absl::OkStatus();
}

absl::Status ReadContinuation(const Json& json, CallerRequest* request) {
  std::string token;
  if (absl::Status status = ReadString(json, "continuation", kMaxQueryBytes * 16, &token);
      !status.ok() || token.empty()) {
    return status;
  }
  absl::StatusOr<Continuation> continuation = DecodeContinuation(token);
  if (!continuation.ok()) {
    return continuation.status();
  }
  if (continuation->service != request->service) {
    return FieldError(ResultCode::kBadContinuation, "continuation", "belongs to another service");
  }
  request->snapshot = continuation->snapshot;
  request->shards = continuation->shards;
  return absl::OkStatus();
}

}  // namespace

bool ProvesNotRun(LeafStatus status) {
  return status != LeafStatus::kOk && status != LeafStatus::kFailed;
}

const char* ReasonName(MissingReason reason) {
  return kReasonNames.at(static_cast<size_t>(reason));
}
const char* RunStateName(RunState state) { return kRunStateNames.at(static_cast<size_t>(state)); }

absl::StatusOr<CallerRequest> ParseCallerRequest(const std::string& body,
                                                 const std::string& idempotency_key) {
  absl::StatusOr<Json> json = ParseObject(body, "the request body");
  if (!json.ok()) {
    return json.status();
  }
  CallerRequest request;
  request.idempotency_key = idempotency_key;
  if (idempotency_key.size() > kMaxKeyBytes) {
    return FieldError(ResultCode::kMalformedRequest, "Idempotency-Key",
                      "must be at most 128 bytes");
  }
  // The ledger and the leafs get the key as text.
  if (!EncodeJson(idempotency_key).ok()) {
    return FieldError(ResultCode::kMalformedRequest, "Idempotency-Key", "must be UTF-8 text");
  }
  for (const auto& [name, value] : json->items()) {
    const std::array<const char*, 7> known = {"service", "query",        "class", "deadline_ms",
                                              "shards",  "continuation", "limit"};
    const bool is_known = name == known[0] || IndexOfName(known, name) > 0;
    if (!is_known) {
      return FieldError(ResultCode::kMalformedRequest, name, "is not known");
    }
  }
  const std::array<absl::Status, 5> checks = {
      ReadString(*json, "service", kMaxKeyBytes, &request.service),
      ReadString(*json, "query", kMaxQueryBytes, &request.query),
      ReadString(*json, "class", kMaxKeyBytes, &request.request_class),
      ReadDeadline(*json, &request.deadline),
      ReadShards(*json, &request.shards),
  };
  for (const absl::Status& status : checks) {
    if (!status.ok()) {
      return status;
    }
  }
  if (request.service.empty()) {
    return FieldError(ResultCode::kMalformedRequest, "service", "is missing");
  }
  if (json->contains("limit")) {
    if (!(*json)["limit"].is_number_unsigned()) {
      return FieldError(ResultCode::kMalformedRequest, "limit", "must be a whole number");
    }
    request.limit = (*json)["limit"].get<size_t>();
  }
  if (absl::Status status = ReadContinuation(*json, &request); !status.ok()) {
    return status;
  }
  return request;
}

std::string AnswerToJson(const Answer& answer) {
  Json missing = Json::array();
  for (const MissingShard& shard : answer.coverage.missing) {
    missing.push_back({{"shard", shard.shard}, {"reason", ReasonName(shard.reason)}});
  }
  Json json{{"code", static_cast<int>(answer.code)},
            {"result", InfoOf(answer.code).name},
            {"run", RunStateName(answer.run)},
            {"config_version", answer.config_version},
            {"config_age_ms", ToMilliseconds(answer.config_age)}};
  if (!answer.message.empty()) {
    json["message"] = answer.message;
  }
  if (answer.snapshot.value != 0) {
    json["snapshot"] = answer.snapshot;
    json["coverage"] = {{"share", answer.coverage.share()},
                        {"total", answer.coverage.total()},
                        {"included", answer.coverage.included},
                        {"missing", std::move(missing)}};
    json["results"] = answer.results;
    json["sub_requests"] = answer.sub_requests;
    json["extra_sub_requests"] = answer.extra_sub_requests;
  }
  if (!answer.continuation.empty()) {
    json["continuation"] = answer.continuation;
  }
  if (!answer.recorded) {
    json["recorded"] = false;
  }
  if (answer.retry_after.count() > 0) {
    json["retry_after_ms"] = ToMilliseconds(answer.retry_after);
  }
  // Text from leafs may contain invalid UTF-8, which must not make the answer fail.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<Answer> AnswerFromJson(const std::string& text) {
  absl::StatusOr<Json> json = ParseObject(text, "the answer");
  if (!json.ok()) {
    return json.status();
  }
  Answer answer;
  try {
    answer.code = static_cast<ResultCode>(json->at("code").get<int>());
    answer.message = json->value("message", "");
    answer.run =
        static_cast<RunState>(IndexOfName(kRunStateNames, json->at("run").get<std::string>()));
    json->at("config_version").get_to(answer.config_version);
    answer.config_age = Duration(static_cast<int64_t>(json->value("config_age_ms", 0.0) * 1000));
    answer.retry_after = Duration(static_cast<int64_t>(json->value("retry_after_ms", 0.0) * 1000));
    answer.continuation = json->value("continuation", "");
    answer.recorded = json->value("recorded", true);
    if (json->contains("snapshot")) {
      json->at("snapshot").get_to(answer.snapshot);
      const Json& coverage = json->at("coverage");
      coverage.at("included").get_to(answer.coverage.included);
      for (const Json& item : coverage.at("missing")) {
        const size_t reason = IndexOfName(kReasonNames, item.at("reason").get<std::string>());
        answer.coverage.missing.push_back(
            {item.at("shard").get<ShardId>(), static_cast<MissingReason>(reason)});
      }
      json->at("results").get_to(answer.results);
      answer.sub_requests = json->value("sub_requests", 0U);
      answer.extra_sub_requests = json->value("extra_sub_requests", 0U);
    }
  } catch (const Json::exception& error) {
    return MakeStatus(ResultCode::kMalformedRequest, error.what());
  }
  return answer;
}

Json LeafRequestToJson(const LeafRequest& request) {
  Json json{{"origin", request.origin},
            {"id", request.id},
            {"leaf", request.leaf},
            {"service", request.service},
            {"shard", request.shard},
            {"snapshot", request.snapshot},
            {"query", request.query},
            {"budget_us", request.budget.count()},
            {"idempotency_key", request.idempotency_key},
            {"repeatable", request.repeatable}};
  if (!request.tenant.empty()) {
    json["tenant"] = request.tenant;
  }
  return json;
}

absl::StatusOr<LeafRequest> LeafRequestFromJson(const std::string& text) {
  absl::StatusOr<Json> json = ParseObject(text, "the sub-request");
  if (!json.ok()) {
    return json.status();
  }
  LeafRequest request;
  try {
    json->at("id").get_to(request.id);
    json->at("service").get_to(request.service);
    json->at("shard").get_to(request.shard);
    json->at("snapshot").get_to(request.snapshot);
    json->at("query").get_to(request.query);
    request.origin = json->value("origin", "");
    request.leaf = json->value("leaf", "");
    request.budget = Duration(json->at("budget_us").get<int64_t>());
    request.idempotency_key = json->value("idempotency_key", "");
    request.repeatable = json->value("repeatable", true);
    request.tenant = json->value("tenant", "");
  } catch (const Json::exception& error) {
    return MakeStatus(ResultCode::kMalformedRequest, error.what());
  }
  return request;
}

Json LeafReplyToJson(const LeafReply& reply) {
  return Json{{"origin", reply.origin},     {"id", reply.id},
              {"leaf", reply.leaf},         {"shard", reply.shard},
              {"snapshot", reply.snapshot}, {"status", static_cast<int>(reply.status)},
              {"results", reply.results},   {"truncated", reply.truncated},
              {"draining", reply.draining}, {"load", reply.load}};
}

absl::StatusOr<LeafReply> LeafReplyFromJson(const std::string& text) {
  absl::StatusOr<Json> json = ParseObject(text, "the sub-reply");
  if (!json.ok()) {
    return json.status();
  }
  LeafReply reply;
  try {
    json->at("id").get_to(reply.id);
    reply.origin = json->value("origin", "");
    reply.leaf = json->value("leaf", "");
    json->at("shard").get_to(reply.shard);
    json->at("snapshot").get_to(reply.snapshot);
    reply.status = static_cast<LeafStatus>(json->at("status").get<int>());
    json->at("results").get_to(reply.results);
    reply.truncated = json->value("truncated", false);
    reply.draining = json->value("draining", false);
    reply.load = json->value("load", 0U);
  } catch (const Json::exception& error) {
    return MakeStatus(ResultCode::kMalformedRequest, error.what());
  }
  const bool known_status = reply.status >= LeafStatus::kOk && reply.status <= LeafStatus::kFailed;
  if (!known_status) {
    return FieldError(ResultCode::kMalformedRequest, "status", "is not known");
  }
  return reply;
}

std::string EncodeContinuation(const std::string& service, SnapshotId snapshot,
                               const std::vector<MissingShard>& missing) {
  Json shards = Json::array();
  for (const MissingShard& shard : missing) {
    shards.push_back(shard.shard);
  }
  const std::string text =
      Json{{"service", service}, {"snapshot", snapshot}, {"shards", std::move(shards)}}.dump();
  const uint64_t checksum = XXH64(text.data(), text.size(), 0);
  const std::string sealed = std::to_string(checksum) + "." + text;
  return absl::WebSafeBase64Escape(sealed);
}

absl::StatusOr<Continuation> DecodeContinuation(const std::string& token) {
  const absl::Status bad =
      FieldError(ResultCode::kBadContinuation, "continuation", "is not a token issued by a node");
  std::string sealed;
  if (!absl::WebSafeBase64Unescape(token, &sealed)) {
    return bad;
  }
  const size_t dot = sealed.find('.');
  if (dot == std::string::npos) {
    return bad;
  }
  const std::string text = sealed.substr(dot + 1);
  if (std::to_string(XXH64(text.data(), text.size(), 0)) != sealed.substr(0, dot)) {
    return bad;
  }
  try {
    const Json json = ParseJson(text);
    Continuation continuation;
    json.at("service").get_to(continuation.service);
    json.at("snapshot").get_to(continuation.snapshot);
    json.at("shards").get_to(continuation.shards);
    return continuation;
  } catch (const Json::exception&) {
    return bad;
  }
}

}  // namespace pumicedyke::query
