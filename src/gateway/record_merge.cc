#include "gateway/record_merge.h"

#include <algorithm>
#include <functional>

namespace pumicedyke::gateway {

std::string MergeGreatest(const std::vector<std::string_view>& parts, size_t count) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (size_t at = 0; at + kRecordBytes <= part.size(); at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  // std::string_view compares bytes as unsigned numbers.
  const size_t kept = std::min(count, records.size());
  std::partial_sort(records.begin(), records.begin() + static_cast<long>(kept), records.end(),
                    std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (size_t i = 0; i < kept; ++i) {
    merged.append(records[i]);
  }
  return merged;
}

}  // namespace pumicedyke::gateway
