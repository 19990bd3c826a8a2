// The platform's list of machines that are leaving, which others may write into. Free functions;
// safe on any thread.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace pumicedyke::node {

/// @return the machines that are named; entries that name none are passed over. kMalformedRequest
/// if there is no list at all.
absl::StatusOr<std::set<std::string>> ReadPlatformList(std::string_view bytes);

}  // namespace pumicedyke::node
