#include "platform/arrival_log.h"

#include <algorithm>
#include <limits>

namespace pumicedyke::platform {
namespace {

using Times = std::vector<std::chrono::steady_clock::time_point>;

size_t CountIn(const Times& times, std::chrono::steady_clock::time_point begin, Duration window) {
  return static_cast<size_t>(std::count_if(times.begin(), times.end(), [&](const auto& time) {
    return time >= begin && time < begin + window;
  }));
}

}  // namespace

void ArrivalLog::OnRequest(const std::set<std::string>& services) {
  const std::lock_guard lock(mutex_);
  for (const std::string& service : services) {
    services_[service].requests.push_back(std::chrono::steady_clock::now());
  }
}

void ArrivalLog::OnArrival(const std::string& service, const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  ServiceLog& log = services_[service];
  if (!log.arrived.insert(request_id).second) {
    log.repeats.push_back(std::chrono::steady_clock::now());
  }
}

bool ArrivalLog::HasArrived(const std::string& service, const std::string& request_id) const {
  const std::lock_guard lock(mutex_);
  const auto it = services_.find(service);
  return it != services_.end() && it->second.arrived.contains(request_id);
}

double ArrivalLog::MaxExcess(const RepeatLimit& limit) const {
  const std::lock_guard lock(mutex_);
  double excess = std::numeric_limits<double>::lowest();
  for (const auto& [service, log] : services_) {
    // A window with the most repeats begins with one.
    for (const auto& begin : log.repeats) {
      const size_t requests =
          std::max({CountIn(log.requests, begin, limit.window),
                    CountIn(log.requests, begin - limit.window / 2, limit.window),
                    CountIn(log.requests, begin - limit.window, limit.window)});
      const double allowed = limit.ratio * static_cast<double>(requests) + limit.fixed;
      excess = std::max(excess,
                        static_cast<double>(CountIn(log.repeats, begin, limit.window)) - allowed);
    }
  }
  return excess;
}

size_t ArrivalLog::Repeats() const {
  const std::lock_guard lock(mutex_);
  size_t repeats = 0;
  for (const auto& [service, log] : services_) {
    repeats += log.repeats.size();
  }
  return repeats;
}

}  // namespace pumicedyke::platform
