// Maps zones to regions. Immutable once filled, and then safe on any thread.
#pragma once

#include <map>
#include <string>
#include <utility>

namespace pumicedyke {

class RegionMap {
 public:
  RegionMap() = default;
  /// @param region_of the region of each zone, by the name of the zone.
  explicit RegionMap(std::map<std::string, std::string> region_of)
      : region_of_(std::move(region_of)) {}

  /// @return the region of a zone, or empty if the zone is unknown.
  std::string Of(const std::string& zone) const {
    const auto it = region_of_.find(zone);
    return it == region_of_.end() ? std::string() : it->second;
  }
  bool Contains(const std::string& zone) const { return region_of_.contains(zone); }
  bool empty() const { return region_of_.empty(); }

 private:
  std::map<std::string, std::string> region_of_;
};

}  // namespace pumicedyke
