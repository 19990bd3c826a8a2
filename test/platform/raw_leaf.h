// A leaf that answers with given bytes where the request's path says.
#pragma once

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "e2e/raw_listener.h"
#include "http/raw_answers.h"

namespace pumicedyke::platform {

/// The only leaf of its service. It keeps connections open after its answers, unless these say
/// otherwise.
class RawLeaf {
 public:
  /// @param answers $ID and $STAMP in them stand for the request's id and the leaf's signature.
  RawLeaf(std::string service, std::vector<http::RawAnswer> answers);
  RawLeaf(const RawLeaf&) = delete;
  RawLeaf& operator=(const RawLeaf&) = delete;

  /// What a request's path ends with so that the leaf of `service` gives the answer with this
  /// index. To other requests leafs give an ordinary answer.
  static std::string PathOf(const std::string& service, size_t index);
  /// The leaf's signature under a request.
  static std::string SignatureOf(const std::string& service, const std::string& request);
  /// The body of the leaf's ordinary answers, which is one record.
  static std::string RecordOf(const std::string& service);
  /// The header lines and the body of all answers of the leaf.
  static http::AnswerParts PartsOf(const std::string& service);

  /// Whether a request was given one of the answers that its path asked for.
  bool HasAnswered(const std::string& request) const;
  /// Number of requests that came on a connection after such an answer.
  int requests_after() const { return requests_after_; }
  /// Sends a heartbeat to a control machine. @return its HTTP status.
  int SendHeartbeat(const std::string& control);

 private:
  /// Serves a connection until an answer closes it or the peer does.
  void Serve(int connection);
  /// The answer that a path asks for; null: an ordinary one.
  const http::RawAnswer* AskedFor(const std::string& target) const;

  const std::string service_;
  const std::vector<http::RawAnswer> answers_;
  std::atomic<int> requests_after_{0};
  int heartbeats_ = 0;
  mutable std::mutex mutex_;
  std::set<std::string> answered_;
  /// Last, because its threads use the other members.
  e2e::RawListener listener_;
};

}  // namespace pumicedyke::platform
