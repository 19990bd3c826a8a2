// Priorities of policy programs.
#pragma once

namespace pumicedyke::policy {

/// The most urgent priority; zero is the least urgent.
inline constexpr int kTopPriority = 9;

}  // namespace pumicedyke::policy
