// Heartbeats of fake leafs.
#pragma once

#include <string>

namespace pumicedyke::platform {

struct Heartbeat {
  std::string leaf;
  std::string service;
  std::string address;
  /// Rises with each heartbeat of a leaf.
  int sequence = 0;
  std::string state = "ready";
};

/// Sends a heartbeat to a control machine. @return its HTTP status.
int PostHeartbeat(const std::string& control, const Heartbeat& heartbeat);

}  // namespace pumicedyke::platform
