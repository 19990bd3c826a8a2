#include "config/model.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "common/result_code.h"
#include "config/tenant_list.h"

namespace pumicedyke::config {
namespace {

constexpr size_t kMaxNameLength = 64;
constexpr size_t kMaxPolicyBytes = 16 * 1024;
constexpr uint32_t kMaxSlots = 10000;

constexpr std::array<std::pair<ChangeKind, const char*>, 15> kKindNames = {{
    {ChangeKind::kPutService, "put_service"},
    {ChangeKind::kRemoveService, "remove_service"},
    {ChangeKind::kPublishSnapshot, "publish_snapshot"},
    {ChangeKind::kPutPolicy, "put_policy"},
    {ChangeKind::kMarkLeaving, "mark_leaving"},
    {ChangeKind::kClearLeaving, "clear_leaving"},
    {ChangeKind::kRetireLeaf, "retire_leaf"},
    {ChangeKind::kPutDocument, "put_document"},
    {ChangeKind::kReportLeafs, "report_leafs"},
    {ChangeKind::kForgetLeafs, "forget_leafs"},
    {ChangeKind::kEvacuateZone, "evacuate_zone"},
    {ChangeKind::kRestoreZone, "restore_zone"},
    {ChangeKind::kQuarantineRequest, "quarantine_request"},
    {ChangeKind::kReleaseRequest, "release_request"},
    {ChangeKind::kPutTenants, "put_tenants"},
}};

absl::Status FieldError(const std::string& field, const std::string& allowed) {
  return MakeStatus(ResultCode::kInvalidConfig, "field '" + field + "': " + allowed);
}

absl::Status ReadName(const Json& json, const std::string& key, const std::string& field,
                      std::string* out) {
  if (!json.contains(key) || !json[key].is_string() || !IsName(json[key].get<std::string>())) {
    return FieldError(field, "must be 1 to 64 letters, digits, '-', '_' or '.'");
  }
  *out = json[key].get<std::string>();
  return absl::OkStatus();
}

absl::Status ReadUnsigned(const Json& json, const std::string& key, const std::string& field,
                          uint64_t* out) {
  if (!json.contains(key) || !json[key].is_number_unsigned()) {
    return FieldError(field, "must be a whole number, not negative");
  }
  *out = json[key].get<uint64_t>();
  return absl::OkStatus();
}

bool IsAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  int port = 0;
  const bool port_ok =
      absl::SimpleAtoi(address.substr(colon + 1), &port) && port > 0 && port < 65536;
  const auto numeric = [](char c) {
    return std::isxdigit(static_cast<unsigned char>(c)) != 0 || c == '.' || c == ':' || c == '[' ||
           c == ']';
  };
  return port_ok &&
         std::all_of(address.begin(), address.begin() + static_cast<long>(colon), numeric);
}

absl::Status ReadLeafs(const Json& json, std::vector<Leaf>* leafs) {
  if (!json.contains("leafs") || !json["leafs"].is_array() || json["leafs"].empty()) {
    return FieldError("leafs", "must be a list with at least one leaf");
  }
  std::set<std::string> seen;
  for (size_t i = 0; i < json["leafs"].size(); ++i) {
    const Json& item = json["leafs"][i];
    const std::string prefix = "leafs[" + std::to_string(i) + "].";
    Leaf leaf;
    if (absl::Status status = ReadName(item, "id", prefix + "id", &leaf.id); !status.ok()) {
      return status;
    }
    if (!seen.insert(leaf.id).second) {
      return FieldError(prefix + "id", "is there twice: " + leaf.id);
    }
    if (item.contains("address") && item["address"].is_string()) {
      leaf.address = item["address"].get<std::string>();
    }
    if (!IsAddress(leaf.address)) {
      return FieldError(prefix + "address", "must be an IP number and a port");
    }
    if (item.contains("zone") && !item["zone"].is_string()) {
      return FieldError(prefix + "zone", "must be a string");
    }
    leaf.zone = item.value("zone", "");
    uint64_t slots = 1;
    if (item.contains("slots")) {
      if (absl::Status status = ReadUnsigned(item, "slots", prefix + "slots", &slots);
          !status.ok()) {
        return status;
      }
    }
    if (slots < 1 || slots > kMaxSlots) {
      return FieldError(prefix + "slots", "must be 1 to 10000");
    }
    leaf.slots = static_cast<uint32_t>(slots);
    leafs->push_back(std::move(leaf));
  }
  return absl::OkStatus();
}

absl::Status ReadShard(const Json& item, const std::string& prefix, Shard* shard) {
  if (absl::Status status = ReadUnsigned(item, "id", prefix + "id", &shard->id.value);
      !status.ok()) {
    return status;
  }
  if (!item.contains("replicas") || !item["replicas"].is_array() || item["replicas"].empty()) {
    return FieldError(prefix + "replicas", "must list at least one leaf");
  }
  for (const Json& replica : item["replicas"]) {
    if (!replica.is_string()) {
      return FieldError(prefix + "replicas", "must list ids of leafs");
    }
    shard->replicas.push_back(replica.get<std::string>());
  }
  return absl::OkStatus();
}

absl::Status ReadSnapshot(const Json& json, PublishedSnapshot* snapshot) {
  if (!json.contains("snapshot") || !json["snapshot"].is_object()) {
    return FieldError("snapshot", "must be an object with 'id' and 'shards'");
  }
  const Json& source = json["snapshot"];
  if (absl::Status status = ReadUnsigned(source, "id", "snapshot.id", &snapshot->id.value);
      !status.ok()) {
    return status;
  }
  if (!source.contains("shards") || !source["shards"].is_array() || source["shards"].empty()) {
    return FieldError("snapshot.shards", "must list at least one shard");
  }
  std::set<ShardId> seen;
  for (size_t i = 0; i < source["shards"].size(); ++i) {
    const std::string prefix = "snapshot.shards[" + std::to_string(i) + "].";
    Shard shard;
    if (absl::Status status = ReadShard(source["shards"][i], prefix, &shard); !status.ok()) {
      return status;
    }
    if (!seen.insert(shard.id).second) {
      return FieldError(prefix + "id", "is there twice: " + std::to_string(shard.id.value));
    }
    snapshot->shards.push_back(std::move(shard));
  }
  return absl::OkStatus();
}

absl::StatusOr<ChangeKind> ReadKind(const Json& json) {
  const std::string name =
      json.contains("kind") && json["kind"].is_string() ? json["kind"].get<std::string>() : "";
  std::string allowed;
  for (const auto& [kind, kind_name] : kKindNames) {
    if (name == kind_name) {
      return kind;
    }
    allowed += std::string(allowed.empty() ? "" : ", ") + kind_name;
  }
  return FieldError("kind", "must be one of " + allowed);
}

absl::Status ReadPolicy(const Json& json, std::string* policy) {
  if (!json.contains("policy") || !json["policy"].is_string()) {
    return FieldError("policy", "must be the text of a policy program");
  }
  *policy = json["policy"].get<std::string>();
  return policy->size() <= kMaxPolicyBytes ? absl::OkStatus()
                                           : FieldError("policy", "must be at most 16 KiB");
}

absl::Status ReadDocument(const Json& json, RouteDocument* document) {
  if (absl::Status status =
          ReadUnsigned(json, "document_version", "document_version", &document->version);
      !status.ok()) {
    return status;
  }
  if (!json.contains("document") || !json["document"].is_string()) {
    return FieldError("document", "must be the text of a document of routes");
  }
  document->text = json["document"].get<std::string>();
  return absl::OkStatus();
}

absl::Status ReadReported(const Json& json, std::vector<ReportedLeaf>* reported) {
  try {
    json.at("reported").get_to(*reported);
  } catch (const Json::exception& error) {
    return FieldError("reported", error.what());
  }
  return absl::OkStatus();
}

absl::Status ReadRetired(const Json& json, Change* change) {
  absl::Status status = ReadName(json, "leaf", "leaf", &change->leaf);
  if (status.ok() && json.contains("born")) {
    status = ReadUnsigned(json, "born", "born", &change->born_ms);
  }
  return status;
}

absl::Status ReadRequest(const Json& json, Change* change) {
  const bool is_text = json.contains("request") && json["request"].is_string();
  const std::optional<RequestIdentity> request =
      is_text ? RequestIdentityFrom(json["request"].get<std::string>()) : std::nullopt;
  if (!request.has_value() || !request->known()) {
    return FieldError("request", "must be a request's identity: 32 hexadecimal digits");
  }
  change->request = *request;
  if (json.contains("on_parole")) {
    if (!json["on_parole"].is_boolean()) {
      return FieldError("on_parole", "must be true or false");
    }
    change->conditional = json["on_parole"].get<bool>();
  }
  return absl::OkStatus();
}

absl::Status ReadBody(const Json& json, Change* change) {
  switch (change->kind) {
    case ChangeKind::kPutService:
      return ReadLeafs(json, &change->leafs);
    case ChangeKind::kPublishSnapshot:
      return ReadSnapshot(json, &change->snapshot);
    case ChangeKind::kPutPolicy:
      return ReadPolicy(json, &change->policy);
    case ChangeKind::kMarkLeaving:
    case ChangeKind::kClearLeaving:
      return ReadName(json, "leaf", "leaf", &change->leaf);
    case ChangeKind::kRetireLeaf:
      return ReadRetired(json, change);
    case ChangeKind::kPutDocument:
      return ReadDocument(json, &change->document);
    case ChangeKind::kReportLeafs:
    case ChangeKind::kForgetLeafs:
      return ReadReported(json, &change->reported);
    case ChangeKind::kEvacuateZone:
    case ChangeKind::kRestoreZone:
      return ReadName(json, "zone", "zone", &change->zone);
    case ChangeKind::kQuarantineRequest:
    case ChangeKind::kReleaseRequest:
      return ReadRequest(json, change);
    case ChangeKind::kPutTenants:
      return ReadTenants(json, &change->tenants);
    case ChangeKind::kRemoveService:
      break;
  }
  return absl::OkStatus();
}

bool ConcernsService(ChangeKind kind) {
  return kind == ChangeKind::kPutService || kind == ChangeKind::kRemoveService ||
         kind == ChangeKind::kPublishSnapshot || kind == ChangeKind::kPutPolicy;
}

}  // namespace

bool IsName(const std::string& text) {
  const auto allowed = [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), allowed);
}

void to_json(Json& json, const ReportedLeaf& leaf) {
  json = {{"id", leaf.id},     {"service", leaf.service}, {"address", leaf.address},
          {"zone", leaf.zone}, {"slots", leaf.slots},     {"reporter", leaf.reporter}};
  if (leaf.born_ms != 0) {
    json["born"] = leaf.born_ms;
  }
}

void from_json(const Json& json, ReportedLeaf& leaf) {
  json.at("id").get_to(leaf.id);
  json.at("service").get_to(leaf.service);
  json.at("address").get_to(leaf.address);
  json.at("zone").get_to(leaf.zone);
  json.at("slots").get_to(leaf.slots);
  json.at("reporter").get_to(leaf.reporter);
  // Absent for leafs that do not report it, and in states written before leafs could.
  leaf.born_ms = json.value("born", uint64_t{0});
}

bool ConcernsZone(ChangeKind kind) {
  return kind == ChangeKind::kEvacuateZone || kind == ChangeKind::kRestoreZone;
}

bool IsIdempotent(ChangeKind kind) {
  return !ConcernsService(kind) && kind != ChangeKind::kMarkLeaving &&
         kind != ChangeKind::kClearLeaving && kind != ChangeKind::kPutTenants;
}

const PublishedSnapshot* Service::FindSnapshot(SnapshotId id) const {
  for (const PublishedSnapshot& snapshot : snapshots) {
    if (snapshot.id == id) {
      return &snapshot;
    }
  }
  return nullptr;
}

void to_json(Json& json, const Change& change) {
  for (const auto& [kind, name] : kKindNames) {
    if (kind == change.kind) {
      json["kind"] = name;
    }
  }
  if (!IsIdempotent(change.kind)) {
    json["submission_id"] = change.submission_id;
  }
  if (change.expected_revision.has_value()) {
    json["expected_revision"] = *change.expected_revision;
  }
  if (ConcernsService(change.kind)) {
    json["service"] = change.service;
  }
  switch (change.kind) {
    case ChangeKind::kPutService:
      json["leafs"] = change.leafs;
      break;
    case ChangeKind::kPublishSnapshot:
      json["snapshot"] = change.snapshot;
      break;
    case ChangeKind::kPutPolicy:
      json["policy"] = change.policy;
      break;
    case ChangeKind::kMarkLeaving:
    case ChangeKind::kClearLeaving:
    case ChangeKind::kRetireLeaf:
      json["leaf"] = change.leaf;
      if (change.born_ms != 0) {
        json["born"] = change.born_ms;
      }
      break;
    case ChangeKind::kPutDocument:
      json["document_version"] = change.document.version;
      json["document"] = change.document.text;
      break;
    case ChangeKind::kReportLeafs:
    case ChangeKind::kForgetLeafs:
      json["reported"] = change.reported;
      break;
    case ChangeKind::kEvacuateZone:
    case ChangeKind::kRestoreZone:
      json["zone"] = change.zone;
      break;
    case ChangeKind::kQuarantineRequest:
      json["request"] = ToText(change.request);
      break;
    case ChangeKind::kReleaseRequest:
      json["request"] = ToText(change.request);
      json["on_parole"] = change.conditional;
      break;
    case ChangeKind::kPutTenants:
      json["tenants"] = TenantsJson(change.tenants);
      break;
    case ChangeKind::kRemoveService:
      break;
  }
}

void from_json(const Json& json, Change& change) { change = ParseChange(json).value_or(Change{}); }

absl::StatusOr<Change> ParseChange(const Json& json) {
  Change change;
  if (!json.is_object()) {
    return FieldError("(body)", "must be a JSON object");
  }
  absl::StatusOr<ChangeKind> kind = ReadKind(json);
  if (!kind.ok()) {
    return kind.status();
  }
  change.kind = *kind;
  if (!IsIdempotent(change.kind)) {
    if (absl::Status status =
            ReadName(json, "submission_id", "submission_id", &change.submission_id);
        !status.ok()) {
      return status;
    }
  }
  if (json.contains("expected_revision")) {
    uint64_t revision = 0;
    if (absl::Status status =
            ReadUnsigned(json, "expected_revision", "expected_revision", &revision);
        !status.ok()) {
      return status;
    }
    change.expected_revision = revision;
  }
  if (ConcernsService(change.kind)) {
    if (absl::Status status = ReadName(json, "service", "service", &change.service); !status.ok()) {
      return status;
    }
  }
  if (absl::Status status = ReadBody(json, &change); !status.ok()) {
    return status;
  }
  return change;
}

}  // namespace pumicedyke::config
