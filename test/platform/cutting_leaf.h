// A leaf that breaks its answers off where the request's path says.
#pragma once

#include <mutex>
#include <set>
#include <string>

#include "e2e/raw_listener.h"

namespace pumicedyke::platform {

/// How an answer says where its body ends.
enum class AnswerFraming { kLength, kChunks, kConnection };

/// How the leaf ends the connection.
enum class CutEnd {
  /// In an orderly way, after the whole request was read.
  kClose,
  /// By a reset, once the head of the request was read.
  kReset,
};

/// Where an answer is broken off.
struct Cut {
  /// Only the leaf of this service breaks its answer off.
  std::string service;
  AnswerFraming framing = AnswerFraming::kLength;
  /// Number of bytes of the answer that are sent.
  size_t bytes = 0;
  CutEnd end = CutEnd::kClose;

  /// What a request's path ends with so that its answer is broken off like this.
  std::string Path() const;
};

/// The name of the leaf of a service.
std::string LeafOf(const std::string& service);
/// The body of the leaf's answers, which is one record.
std::string RecordOf(const std::string& service);
std::string SignatureOf(const std::string& service, const std::string& request);
/// The whole answer of the leaf. @param to_head whether the request's method is HEAD.
std::string AnswerOf(const std::string& service, const std::string& request, AnswerFraming framing,
                     bool to_head);

/// The only leaf of its service.
class CuttingLeaf {
 public:
  explicit CuttingLeaf(std::string service);
  CuttingLeaf(const CuttingLeaf&) = delete;
  CuttingLeaf& operator=(const CuttingLeaf&) = delete;

  /// Whether the answer to this request was broken off.
  bool HasCut(const std::string& request) const;
  /// Sends a heartbeat to a control machine. @return its HTTP status.
  int SendHeartbeat(const std::string& control);

 private:
  /// Serves a connection until one of its answers is broken off or the peer closes it.
  void Serve(int connection);
  /// @return whether the connection goes on.
  bool ServeRequest(int connection, const std::string& head);

  const std::string service_;
  int heartbeats_ = 0;
  mutable std::mutex mutex_;
  std::set<std::string> cut_;
  /// Last, because its threads use the other members.
  e2e::RawListener listener_;
};

}  // namespace pumicedyke::platform
