// Pure interface between a control machine and one protocol that operators, leafs and clients speak
// to it: values in, values out. Implementations hold no state and decide nothing.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "config/model.h"
#include "directory/near_first.h"
#include "http/http_server.h"
#include "registry/leaf_registry.h"
#include "routing/route_table.h"

namespace pumicedyke::control {

/// An operator puts a whole document of routes.
struct PutDocument {
  config::RouteDocument document;
};
/// An operator reads the newest document.
struct GetDocument {};
/// A leaf's heartbeat.
struct ReportLeaf {
  registry::LeafReport report;
};
/// A leaf leaves for good.
struct RetireLeaf {
  std::string leaf;
  /// When the life that leaves began; zero: it did not say.
  uint64_t born_ms = 0;
};
/// A client asks where to go.
struct FindGateways {
  directory::ClientPlace client;
};
/// An operator orders that nothing more is sent to a zone's leafs, or takes that back.
struct OrderZone {
  std::string zone;
  bool evacuated = false;
};
using Command =
    std::variant<PutDocument, GetDocument, ReportLeaf, RetireLeaf, FindGateways, OrderZone>;

class Dialect {
 public:
  virtual ~Dialect() = default;

  /// @return kUnknownPath, kMalformedRequest or kInvalidConfig, naming what is wrong.
  virtual absl::StatusOr<Command> ReadCommand(const http::HttpRequest& request) const = 0;
  virtual http::HttpResponse WriteAccepted() const = 0;
  virtual http::HttpResponse WriteDocument(const config::RouteDocument& document) const = 0;
  /// @param time_to_live how long a client may rely on the answer.
  virtual http::HttpResponse WriteGateways(const std::vector<std::string>& addresses,
                                           Duration time_to_live) const = 0;
  virtual http::HttpResponse WriteRefusal(const absl::Status& why) const = 0;

  virtual const routing::DocumentReader& documents() const = 0;
};

}  // namespace pumicedyke::control
