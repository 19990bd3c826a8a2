// Questions of other gateways that were read in one turn of the loop: the more urgent are begun
// first, whatever connection was read first. No socket, clock or thread.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/types.h"
#include "wire/messages.h"

namespace pumicedyke::gateway {

/// A question over a group of shards, as it came.
struct ArrivedQuestion {
  /// The connection that it came by.
  uint64_t session = 0;
  wire::Envelope envelope;
  /// The earliest time at which it may have arrived.
  Timestamp arrived{};
};

class QuestionQueue {
 public:
  /// Takes over a question that may wait for others of its turn. @return false if it is something
  /// else, which is left as it is.
  bool Add(ArrivedQuestion* question);
  /// One that was not taken yet is not wanted any more. @return false if there is none.
  bool Cancel(uint64_t session, uint64_t id);
  void CloseSession(uint64_t session);
  /// @return the most urgent, among equals the one that was read first; unset: there is none.
  std::optional<ArrivedQuestion> Take();

 private:
  /// In the order in which they were read.
  std::vector<ArrivedQuestion> waiting_;
};

}  // namespace pumicedyke::gateway
