// Interface between the gateway and one protocol spoken by clients and leafs. Converts between
// messages and plain values. Implementations are stateless and make no decisions.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "directory/near_first.h"
#include "gateway/messages.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "routing/route_table.h"

namespace pumicedyke::gateway {

class Dialect {
 public:
  virtual ~Dialect() = default;

  /// @return kMalformedRequest with the missing element named.
  virtual absl::StatusOr<PayloadRequest> ReadRequest(http::HttpRequest request) const = 0;
  virtual http::HttpResponse WriteAnswer(const GatewayAnswer& answer) const = 0;
  /// Writes the response to a request that ReadRequest() rejected.
  virtual http::HttpResponse WriteRefusal(const absl::Status& why) const = 0;

  virtual http::ClientRequest WriteLeafRequest(const LeafSend& send) const = 0;
  /// @param response may represent a connection failure.
  virtual query::LeafReply ReadLeafReply(const LeafSend& send,
                                         http::ClientResponse response) const = 0;

  /// Name of the header that states how many milliseconds the client waits.
  virtual std::string DeadlineHeader() const = 0;
  /// Returns whether the request asks which gateways a client may use.
  virtual bool IsDirectoryRequest(const http::HttpRequest& request) const = 0;
  virtual directory::ClientLocation ClientOf(const http::HttpRequest& request) const = 0;
  virtual http::HttpResponse WriteGateways(const std::vector<std::string>& addresses,
                                           Duration time_to_live) const = 0;
  /// Returns whether the request asks if this gateway is ready.
  virtual bool IsReadinessProbe(const http::HttpRequest& request) const = 0;
  virtual const routing::DocumentReader& documents() const = 0;
};

}  // namespace pumicedyke::gateway
