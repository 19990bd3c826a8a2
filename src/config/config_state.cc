#include "config/config_state.h"

#include <algorithm>
#include <iterator>

#include "common/result_code.h"
#include "config/tenant_list.h"

namespace pumicedyke::config {
namespace {

absl::Status Invalid(const std::string& field, const std::string& why) {
  return MakeStatus(ResultCode::kInvalidConfig, "field '" + field + "': " + why);
}

}  // namespace

const Service* ConfigState::FindService(const std::string& name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : &it->second;
}

absl::Status ConfigState::ValidateService(const Change& change) const {
  const Service* service = FindService(change.service);
  if (service == nullptr || service->snapshots.empty()) {
    return absl::OkStatus();
  }
  std::set<std::string> ids;
  for (const Leaf& leaf : change.leafs) {
    ids.insert(leaf.id);
  }
  for (const Shard& shard : service->snapshots.back().shards) {
    const bool served = std::any_of(shard.replicas.begin(), shard.replicas.end(),
                                    [&ids](const std::string& id) { return ids.contains(id); });
    if (!served) {
      return Invalid("leafs", "shard " + std::to_string(shard.id.value) +
                                  " of the newest snapshot would have no leaf");
    }
  }
  return absl::OkStatus();
}

absl::Status ConfigState::ValidateSnapshot(const Change& change) const {
  const Service* service = FindService(change.service);
  if (service == nullptr) {
    return MakeStatus(ResultCode::kUnknownObject, "field 'service': no service " + change.service);
  }
  if (!service->snapshots.empty() && change.snapshot.id <= service->snapshots.back().id) {
    return Invalid("snapshot.id",
                   "must be above " + std::to_string(service->snapshots.back().id.value));
  }
  for (const Shard& shard : change.snapshot.shards) {
    for (const std::string& replica : shard.replicas) {
      if (!service->leafs.contains(replica)) {
        return Invalid("snapshot.shards", "shard " + std::to_string(shard.id.value) +
                                              " names the unknown leaf " + replica);
      }
    }
  }
  return absl::OkStatus();
}

absl::Status ConfigState::ValidateQuarantine(const Change& change) const {
  const auto stopped =
      static_cast<size_t>(std::count_if(quarantine_.begin(), quarantine_.end(),
                                        [](const auto& item) { return item.second.stopped; }));
  if (stopped >= kMaxQuarantined && !IsQuarantined(change.request)) {
    return Invalid("request",
                   std::to_string(stopped) + " requests are stopped, which is the maximum");
  }
  return absl::OkStatus();
}

absl::Status ConfigState::Validate(const Change& change) const {
  switch (change.kind) {
    case ChangeKind::kPutService:
      return ValidateService(change);
    case ChangeKind::kPublishSnapshot:
      return ValidateSnapshot(change);
    case ChangeKind::kPutPolicy:
    case ChangeKind::kRemoveService:
      if (FindService(change.service) == nullptr) {
        return MakeStatus(ResultCode::kUnknownObject,
                          "field 'service': no service " + change.service);
      }
      return absl::OkStatus();
    case ChangeKind::kMarkLeaving:
      return HasLeaf(change.leaf)
                 ? absl::OkStatus()
                 : MakeStatus(ResultCode::kUnknownObject, "field 'leaf': no leaf " + change.leaf);
    case ChangeKind::kClearLeaving:
    case ChangeKind::kRetireLeaf:
    case ChangeKind::kPutDocument:
    case ChangeKind::kReportLeafs:
    case ChangeKind::kForgetLeafs:
    case ChangeKind::kEvacuateZone:
    case ChangeKind::kRestoreZone:
    case ChangeKind::kReleaseRequest:
    case ChangeKind::kPutTenants:
      return absl::OkStatus();
    case ChangeKind::kQuarantineRequest:
      return ValidateQuarantine(change);
  }
  return absl::OkStatus();
}

std::set<std::string> ConfigState::EvacuatedZones() const {
  std::set<std::string> evacuated;
  for (const auto& [name, zone] : zones_) {
    if (zone.evacuated) {
      evacuated.insert(name);
    }
  }
  return evacuated;
}

std::set<RequestIdentity> ConfigState::StoppedRequests() const {
  std::set<RequestIdentity> stopped;
  for (const auto& [request, record] : quarantine_) {
    if (record.stopped) {
      stopped.insert(request);
    }
  }
  return stopped;
}

uint64_t ConfigState::RevisionOf(const Change& change) const {
  if (ConcernsZone(change.kind)) {
    const auto zone = zones_.find(change.zone);
    return zone == zones_.end() ? 0 : zone->second.revision;
  }
  if (change.kind == ChangeKind::kPutTenants) {
    return tenants_.revision;
  }
  const Service* service = FindService(change.service);
  return service == nullptr ? 0 : service->revision;
}

bool ConfigState::HasLeaf(const std::string& id) const {
  return std::any_of(services_.begin(), services_.end(),
                     [&id](const auto& item) { return item.second.leafs.contains(id); });
}

bool ConfigState::HasNoEffect(const Change& change) const {
  const auto is_known = [this](const ReportedLeaf& leaf) {
    const auto it = reported_.find(leaf.id);
    return IsRetired(leaf.id, leaf.born_ms) || IsPreviousIncarnation(leaf.id, leaf.born_ms) ||
           (it != reported_.end() && it->second == leaf);
  };
  if (change.kind == ChangeKind::kReportLeafs) {
    return std::all_of(change.reported.begin(), change.reported.end(), is_known);
  }
  if (change.kind == ChangeKind::kForgetLeafs) {
    return std::none_of(change.reported.begin(), change.reported.end(),
                        [this](const ReportedLeaf& leaf) { return IsReportedBy(leaf); });
  }
  if (change.kind == ChangeKind::kRetireLeaf) {
    return IsRetired(change.leaf, RetiringIncarnation(change));
  }
  if (ConcernsZone(change.kind)) {
    const auto zone = zones_.find(change.zone);
    const bool evacuated = zone != zones_.end() && zone->second.evacuated;
    return evacuated == (change.kind == ChangeKind::kEvacuateZone);
  }
  if (change.kind == ChangeKind::kQuarantineRequest) {
    return IsQuarantined(change.request);
  }
  if (change.kind == ChangeKind::kReleaseRequest) {
    return change.conditional ? !IsQuarantined(change.request)
                              : !quarantine_.contains(change.request);
  }
  return change.kind == ChangeKind::kPutDocument && change.document.version <= document_.version;
}

bool ConfigState::IsReportedBy(const ReportedLeaf& leaf) const {
  const auto it = reported_.find(leaf.id);
  return it != reported_.end() && it->second.reporter == leaf.reporter &&
         it->second.born_ms == leaf.born_ms;
}

bool ConfigState::IsPreviousIncarnation(const std::string& leaf, uint64_t born_ms) const {
  const auto it = reported_.find(leaf);
  const auto retired = retired_.find(leaf);
  return (it != reported_.end() && born_ms < it->second.born_ms) ||
         (retired != retired_.end() && born_ms < retired->second);
}

uint64_t ConfigState::RetiringIncarnation(const Change& change) const {
  const auto it = reported_.find(change.leaf);
  const bool has_incarnation = change.born_ms != 0 || it == reported_.end();
  return has_incarnation ? change.born_ms : it->second.born_ms;
}

void ConfigState::Report(const ReportedLeaf& leaf) {
  if (!IsRetired(leaf.id, leaf.born_ms) && !IsPreviousIncarnation(leaf.id, leaf.born_ms)) {
    reported_[leaf.id] = leaf;
  }
}

void ConfigState::Retire(const std::string& leaf, uint64_t born_ms) {
  const auto known = reported_.find(leaf);
  if (known != reported_.end() && known->second.born_ms <= born_ms) {
    reported_.erase(known);
  }
  const auto [it, inserted] = retired_.try_emplace(leaf, born_ms);
  it->second = std::max(it->second, born_ms);
  if (!inserted) {
    return;
  }
  retired_order_.push_back(leaf);
  if (retired_order_.size() > kMaxRetiredLeafs) {
    retired_.erase(retired_order_.front());
    retired_order_.pop_front();
  }
}

void ConfigState::Quarantine(const RequestIdentity& request) {
  QuarantineRecord& record = quarantine_[request];
  record.stopped = true;
  ++record.times;
  if (quarantine_.size() > kMaxQuarantined) {
    const auto conditional = std::find_if(quarantine_.begin(), quarantine_.end(),
                                          [](const auto& item) { return !item.second.stopped; });
    if (conditional != quarantine_.end()) {
      quarantine_.erase(conditional);
    }
  }
}

void ConfigState::Release(const RequestIdentity& request, bool conditional) {
  const auto it = quarantine_.find(request);
  if (it == quarantine_.end()) {
    return;
  }
  if (conditional) {
    it->second.stopped = false;
  } else {
    quarantine_.erase(it);
  }
}

void ConfigState::Apply(const Change& change) {
  ++version_.value;
  switch (change.kind) {
    case ChangeKind::kPutService: {
      Service& service = services_[change.service];
      service.name = change.service;
      service.leafs.clear();
      for (const Leaf& leaf : change.leafs) {
        service.leafs[leaf.id] = leaf;
      }
      ++service.revision;
      break;
    }
    case ChangeKind::kRemoveService:
      services_.erase(change.service);
      break;
    case ChangeKind::kPublishSnapshot: {
      Service& service = services_[change.service];
      service.snapshots.push_back(change.snapshot);
      if (service.snapshots.size() > kRetainedSnapshots) {
        service.snapshots.erase(service.snapshots.begin());
      }
      ++service.revision;
      break;
    }
    case ChangeKind::kPutPolicy: {
      Service& service = services_[change.service];
      service.policy = change.policy;
      service.policy_version = version_;
      ++service.revision;
      break;
    }
    case ChangeKind::kMarkLeaving:
      leaving_.insert(change.leaf);
      break;
    case ChangeKind::kClearLeaving:
      leaving_.erase(change.leaf);
      break;
    case ChangeKind::kRetireLeaf:
      Retire(change.leaf, RetiringIncarnation(change));
      break;
    case ChangeKind::kPutDocument:
      document_ = change.document;
      break;
    case ChangeKind::kReportLeafs:
      for (const ReportedLeaf& leaf : change.reported) {
        Report(leaf);
      }
      break;
    case ChangeKind::kForgetLeafs:
      for (const ReportedLeaf& leaf : change.reported) {
        if (IsReportedBy(leaf)) {
          reported_.erase(leaf.id);
        }
      }
      break;
    case ChangeKind::kEvacuateZone:
    case ChangeKind::kRestoreZone: {
      ZoneState& zone = zones_[change.zone];
      zone.evacuated = change.kind == ChangeKind::kEvacuateZone;
      ++zone.revision;
      break;
    }
    case ChangeKind::kQuarantineRequest:
      Quarantine(change.request);
      break;
    case ChangeKind::kReleaseRequest:
      Release(change.request, change.conditional);
      break;
    case ChangeKind::kPutTenants:
      tenants_ = {tenants_.revision + 1, change.tenants};
      break;
  }
}

std::string ConfigState::Serialize() const {
  std::map<std::string, QuarantineRecord> quarantine;
  for (const auto& [request, record] : quarantine_) {
    quarantine[ToText(request)] = record;
  }
  std::map<std::string, uint64_t> retired_lives;
  std::copy_if(retired_.begin(), retired_.end(), std::inserter(retired_lives, retired_lives.end()),
               [](const auto& item) { return item.second != 0; });
  Json json{{"version", version_},
            {"services", services_},
            {"leaving", leaving_},
            {"retired", retired_order_},
            {"retired_lives", retired_lives},
            {"document_version", document_.version},
            {"document", document_.text},
            {"reported", reported_},
            {"zones", zones_},
            {"quarantine", quarantine}};
  if (tenants_.revision > 0) {
    json["tenants_revision"] = tenants_.revision;
    json["tenants"] = TenantsJson(tenants_.tenants);
  }
  return json.dump();
}

absl::StatusOr<ConfigState> ConfigState::Deserialize(const std::string& bytes) {
  const Json json = ParseJson(bytes);
  ConfigState state;
  try {
    json.at("version").get_to(state.version_);
    json.at("services").get_to(state.services_);
    json.at("leaving").get_to(state.leaving_);
    // Absent in states written before leafs reported by heartbeats.
    state.retired_order_ = json.value("retired", std::deque<std::string>());
    for (const std::string& leaf : state.retired_order_) {
      state.retired_.emplace(leaf, 0);
    }
    // Absent in states written before leafs reported their start time.
    for (const auto& [leaf, born_ms] :
         json.value("retired_lives", std::map<std::string, uint64_t>())) {
      state.retired_[leaf] = born_ms;
    }
    state.document_.version = json.value("document_version", uint64_t{0});
    state.document_.text = json.value("document", "");
    state.reported_ = json.value("reported", std::map<std::string, ReportedLeaf>());
    // Absent in states written before zones could be evacuated.
    state.zones_ = json.value("zones", std::map<std::string, ZoneState>());
    // Absent until a list of tenants is set.
    state.tenants_.revision = json.value("tenants_revision", uint64_t{0});
    if (state.tenants_.revision > 0) {
      if (absl::Status status = ReadTenants(json, &state.tenants_.tenants); !status.ok()) {
        return status;
      }
    }
    // Absent in states written before requests could be stopped.
    const auto quarantine = json.value("quarantine", std::map<std::string, QuarantineRecord>());
    for (const auto& [text, record] : quarantine) {
      if (const auto request = RequestIdentityFrom(text)) {
        state.quarantine_[*request] = record;
      }
    }
  } catch (const Json::exception& error) {
    return MakeStatus(ResultCode::kCorruptState, error.what());
  }
  return state;
}

}  // namespace pumicedyke::config
