// Records which requests reached the leafs of each service, to check the limit on repeats.
#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "common/types.h"

namespace pumicedyke::platform {

/// A limit on repeats per service: arrivals beyond the first of each request.
struct RepeatLimit {
  Duration window = Seconds(10);
  /// Repeats per request sent to the service.
  double ratio = 0;
  /// Repeats beyond the ratio.
  double fixed = 0;
};

/// Thread-safe.
class ArrivalLog {
 public:
  /// Records that a client sends a request to be served by these services.
  void OnRequest(const std::set<std::string>& services);
  /// Records a request's arrival at a leaf of a service.
  void OnArrival(const std::string& service, const std::string& request_id);

  bool HasArrived(const std::string& service, const std::string& request_id) const;

  /// Returns the greatest number of repeats beyond the limit, over all services and all windows;
  /// not above zero if the limit was kept. As the users count: the requests are those of the
  /// window, of the one before it, or of the one half a window before it, whichever holds the most.
  double MaxExcess(const RepeatLimit& limit) const;
  size_t Repeats() const;

 private:
  struct ServiceLog {
    std::vector<std::chrono::steady_clock::time_point> requests;
    std::vector<std::chrono::steady_clock::time_point> repeats;
    std::set<std::string> arrived;
  };

  mutable std::mutex mutex_;
  std::map<std::string, ServiceLog> services_;
};

}  // namespace pumicedyke::platform
