// Merges the records of several leafs' answers. Records have a fixed size and no further structure;
// those that compare greatest byte by byte are returned.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pumicedyke::gateway {

constexpr size_t kRecordBytes = 16;

/// Returns the `count` greatest records, greatest first; duplicates are retained.
/// @param parts bodies of the leafs' answers with records in any order; a remainder shorter than a
/// record at the end of a part is ignored.
std::string MergeGreatest(const std::vector<std::string_view>& parts, size_t count);

}  // namespace pumicedyke::gateway
