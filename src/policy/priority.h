// The scale of priorities in policy programs.
#pragma once

namespace pumicedyke::policy {

/// The most urgent; zero is the least.
inline constexpr int kTopPriority = 9;

}  // namespace pumicedyke::policy
