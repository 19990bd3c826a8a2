// Delivers messages between hosts with seeded delay, loss, duplication and reordering. Links can be
// cut in each direction separately.
#pragma once

#include <functional>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "sim/clock_queue.h"

namespace pumicedyke::sim {

struct NetworkOptions {
  Duration min_delay = Duration(200);
  Duration max_delay = Duration(2000);
  double loss = 0;
  double duplicate = 0;
  /// Share of messages that take up to `slow_delay` longer, so that later ones may overtake them.
  double slow = 0;
  Duration slow_delay = Milliseconds(400);
};

class SimNetwork {
 public:
  SimNetwork(ClockQueue* clock, uint64_t seed) : clock_(clock), random_(seed) {}

  void SetOptions(const NetworkOptions& options) { options_ = options; }
  /// Like Send(), but never duplicates: an HTTP exchange on a connection is sent once.
  void SendOnce(const std::string& from, const std::string& to, std::function<void()> deliver);
  /// `deliver` runs at the receiver after the delay, unless the message is lost or cut.
  void Send(const std::string& from, const std::string& to, std::function<void()> deliver);

  /// Silently drops all messages from `from` to `to`, those in flight included.
  void Cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void CutBoth(const std::string& a, const std::string& b);
  void HealAll() { cuts_.clear(); }
  bool IsCut(const std::string& from, const std::string& to) const {
    return cuts_.contains({from, to});
  }

 private:
  void DeliverLater(const std::string& from, const std::string& to, std::function<void()> deliver);
  Duration DrawDelay();
  bool Chance(double share);

  ClockQueue* clock_;
  std::mt19937_64 random_;
  NetworkOptions options_;
  std::set<std::pair<std::string, std::string>> cuts_;
};

}  // namespace pumicedyke::sim
