#include "server/config_view.h"

#include "common/json.h"
#include "config/config_state.h"
#include "tenants/tenant_view.h"

namespace pumicedyke::server {

std::string ViewOfConfig(const std::string& state, const routing::DocumentReader* documents) {
  constexpr char kDocument[] = "document";
  Json json = ParseJson(state);
  if (!json.is_object() || !json.contains(kDocument)) {
    return state;
  }
  const std::string text = json.value(kDocument, "");
  json.erase(kDocument);
  if (const absl::StatusOr<config::ConfigState> whole = config::ConfigState::Deserialize(state);
      whole.ok() && whole->tenants().tenants.has_value()) {
    json["tenants"] = tenants::Describe(*whole->tenants().tenants);
    return json.dump();
  }
  json.erase("tenants");
  if (documents != nullptr) {
    const absl::StatusOr<routing::RouteSet> set = documents->Read(text);
    if (set.ok() && set->keyed) {
      json["tenants"] = tenants::Describe(set->tenants);
    }
  }
  return json.dump();
}

}  // namespace pumicedyke::server
