// Partial queries of other gateways that were read in one iteration of the event loop. The most
// urgent is started first, independent of the order in which connections were read. No sockets,
// clock or threads.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/types.h"
#include "wire/messages.h"

namespace pumicedyke::gateway {

/// A partial query over a group of shards, as received.
struct ArrivedPartialQuery {
  /// Connection on which it arrived.
  uint64_t session = 0;
  wire::Envelope envelope;
  /// Earliest possible time of its arrival.
  Timestamp arrived{};
};

class PartialQueryQueue {
 public:
  /// Takes ownership of a partial query.
  /// @return false if it is another message, which is left unchanged.
  bool Add(ArrivedPartialQuery* query);
  /// Removes a partial query that was not taken yet. @return false if there is none.
  bool Cancel(uint64_t session, uint64_t id);
  void CloseSession(uint64_t session);
  /// Returns the most urgent partial query, the first read among equals; unset if there is none.
  std::optional<ArrivedPartialQuery> Take();

 private:
  /// In the order of reading.
  std::vector<ArrivedPartialQuery> waiting_;
};

}  // namespace pumicedyke::gateway
