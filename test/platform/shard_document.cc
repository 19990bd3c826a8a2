#include "platform/shard_document.h"

#include "absl/strings/str_format.h"
#include "common/json.h"

namespace pumicedyke::platform {
namespace {

Json Route(const std::string& name, const std::string& type, Duration timeout) {
  return {{"name", name},
          {"host", "desk.example"},
          {"path_prefix", "/" + name + "/"},
          {"type", type},
          {"timeout_ms", static_cast<int64_t>(ToMilliseconds(timeout))},
          {"slo_ms", 500},
          {"priority", 1},
          {"max_attempts", 1}};
}

Json PlainRoute(const std::string& name, const std::string& type, Duration timeout) {
  Json route = Route(name, type, timeout);
  route["backend"] = kPlainService;
  return route;
}

Json GatherRoute(const std::string& name, size_t shards, Duration timeout) {
  Json route = Route(name, "idempotent", timeout);
  route["gather"] = Json::array();
  for (size_t i = 0; i < shards; ++i) {
    route["gather"].push_back(ShardName(i));
  }
  route["top_k"] = shards;
  route["min_coverage"] = 0.5;
  return route;
}

Json Service(const std::string& name) {
  return {{"name", name}, {"health_path", "/healthz"}, {"max_conns", 26}};
}

}  // namespace

std::string ShardName(size_t index) { return absl::StrFormat("s%02d", index); }

std::string ShardDocument(const ShardDocumentOptions& options) {
  Json services = Json::array({Service(kPlainService)});
  for (size_t i = 0; i < kSharedShards; ++i) {
    services.push_back(Service(ShardName(i)));
  }
  const Json routes = Json::array({PlainRoute("safe", "idempotent", options.timeout),
                                   PlainRoute("once", "mutating", options.timeout),
                                   GatherRoute("few", kFewShards, options.timeout),
                                   GatherRoute("all", kSharedShards, options.timeout)});
  return Json{{"version", 1},
              {"routes", routes},
              {"backends", services},
              {"limits",
               {{"max_header_bytes", 4096},
                {"max_body_bytes", options.max_body_bytes},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

}  // namespace pumicedyke::platform
