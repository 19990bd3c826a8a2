// Merges the records of several leafs' answers: fixed-size records without further structure, the
// greatest of which, compared byte by byte, go back.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pumicedyke::gateway {

constexpr size_t kRecordBytes = 16;

/// @param parts bodies of the leafs' answers, records in no order; a rest shorter than a record at
/// the end of a part is no record.
/// @return the greatest `count` records, greatest first; equal ones all count.
std::string MergeGreatest(const std::vector<std::string_view>& parts, size_t count);

}  // namespace pumicedyke::gateway
