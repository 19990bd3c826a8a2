// The platform's list of machines that are leaving, which other writers may edit. Free functions;
// thread-safe.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace pumicedyke::node {

/// @return the machines on the list; entries that are not strings are skipped. kMalformedRequest if
/// there is no list.
absl::StatusOr<std::set<std::string>> ReadPlatformList(std::string_view bytes);

}  // namespace pumicedyke::node
