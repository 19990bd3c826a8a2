// One token budget for hedges and retries together: a fixed share of the regular sub-requests, so
// that extra load stays bounded when everything is slow at once. A sub-request that replaces one
// which a leaf refused unseen is no extra load on a slot and costs no token; rounds bound it.
#pragma once

#include <algorithm>

namespace pumicedyke::balance {

class ExtraLoadBudget {
 public:
  explicit ExtraLoadBudget(double burst) : burst_(burst), tokens_(burst / 2) {}

  /// A regular sub-request was sent under a policy that allows `share` extra ones for it.
  void Earn(double share) { tokens_ = std::min(burst_, tokens_ + share); }

  /// @return whether one extra sub-request may be sent; it is then paid for.
  bool TrySpend() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

  double tokens() const { return tokens_; }

 private:
  double burst_;
  double tokens_;
};

}  // namespace pumicedyke::balance
