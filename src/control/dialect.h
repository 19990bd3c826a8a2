// Pure interface between a control machine and one protocol that operators, leafs and clients use:
// values in, values out. Implementations are stateless and make no decisions.
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

/// An operator replaces the route document.
struct PutDocument {
  config::RouteDocument document;
};
/// An operator reads the latest document.
struct GetDocument {};
/// A leaf's heartbeat.
struct ReportLeaf {
  registry::LeafReport report;
};
/// A leaf is retired permanently.
struct RetireLeaf {
  std::string leaf;
  /// Start time of the retired incarnation; zero: not given.
  uint64_t born_ms = 0;
};
/// A client requests the addresses of gateways.
struct FindGateways {
  directory::ClientLocation client;
};
/// An operator evacuates a zone, so that nothing more is sent to its leafs, or restores it.
struct SetZoneEvacuation {
  std::string zone;
  bool evacuated = false;
};
using Command =
    std::variant<PutDocument, GetDocument, ReportLeaf, RetireLeaf, FindGateways, SetZoneEvacuation>;

class Dialect {
 public:
  virtual ~Dialect() = default;

  /// @return kUnknownPath, kMalformedRequest or kInvalidConfig with a message that names the fault.
  virtual absl::StatusOr<Command> ReadCommand(const http::HttpRequest& request) const = 0;
  /// Returns whether the request asks which gateways a client may use. ReadCommand() then returns
  /// FindGateways.
  virtual bool IsDirectoryRequest(const http::HttpRequest& request) const = 0;
  virtual http::HttpResponse WriteAccepted() const = 0;
  virtual http::HttpResponse WriteDocument(const config::RouteDocument& document) const = 0;
  /// @param time_to_live how long a client may rely on the answer.
  virtual http::HttpResponse WriteGateways(const std::vector<std::string>& addresses,
                                           Duration time_to_live) const = 0;
  virtual http::HttpResponse WriteRefusal(const absl::Status& why) const = 0;

  virtual const routing::DocumentReader& documents() const = 0;
};

}  // namespace pumicedyke::control
