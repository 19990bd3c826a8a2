// Budgets for hedges and retries together, so that extra load stays bounded when everything is slow
// at once.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "common/types.h"

namespace pumicedyke::balance {

/// Decides whether one more extra sub-request may be sent.
class ExtraLoadLimit {
 public:
  virtual ~ExtraLoadLimit() = default;
  /// A regular sub-request was sent under a policy that allows `share` extra ones for it.
  virtual void OnRegular(Timestamp now, double share) = 0;
  /// @return whether one extra sub-request may be sent; it is then paid for.
  bool TrySpend(Timestamp now) { return TrySpendPart(now, 1.0); }
  /// The same for whoever may use no more than `part` of what may be spent, 0 to 1: the rest is
  /// left to others.
  virtual bool TrySpendPart(Timestamp now, double part) = 0;
  /// @return the part that is left of what may be spent, 0 to 1.
  virtual double PartLeft(Timestamp now) = 0;
};

/// A token bucket: a fixed share of the regular sub-requests. A sub-request that replaces one which
/// a leaf refused unseen is no extra load on a slot and costs no token; rounds bound it.
class ExtraLoadBudget : public ExtraLoadLimit {
 public:
  explicit ExtraLoadBudget(double burst) : burst_(burst), tokens_(burst / 2) {}

  void OnRegular(Timestamp /*now*/, double share) override {
    tokens_ = std::min(burst_, tokens_ + share);
  }

  bool TrySpendPart(Timestamp /*now*/, double part) override {
    if (tokens_ < 1.0 + (1.0 - part) * burst_) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

  double PartLeft(Timestamp /*now*/) override { return tokens_ / burst_; }

  double tokens() const { return tokens_; }

 private:
  double burst_;
  double tokens_;
};

/// Extra sub-requests of any time window: a share of the window's regular ones and a fixed number.
/// The window slides in steps, and one step more than the window counts as spent: the bound holds
/// wherever a window lies. The policy's own share is not used.
class SlidingWindowBudget : public ExtraLoadLimit {
 public:
  /// @param window length of the window. @param ratio extra per regular sub-request.
  SlidingWindowBudget(Duration window, double ratio) : step_(window / kSteps), ratio_(ratio) {}

  /// @param allowance extra ones beyond the share; may change at any time.
  void SetAllowance(double allowance) { allowance_ = allowance; }

  void OnRegular(Timestamp now, double /*share*/) override { Current(now).regular += 1; }

  bool TrySpendPart(Timestamp now, double part) override {
    const Step sum = Sum(now);
    if (sum.extra + 1 > part * Bound(sum)) {
      return false;
    }
    Current(now).extra += 1;
    return true;
  }

  double PartLeft(Timestamp now) override {
    const Step sum = Sum(now);
    const double bound = Bound(sum);
    return bound <= 0 ? 0 : std::clamp(1 - sum.extra / bound, 0.0, 1.0);
  }

 private:
  static constexpr int kSteps = 20;
  struct Step {
    double regular = 0;
    double extra = 0;
  };

  double Bound(const Step& sum) const { return ratio_ * sum.regular + allowance_; }

  /// Of the window that ends now.
  Step Sum(Timestamp now) {
    Current(now);
    Step sum;
    for (size_t i = 0; i < steps_.size(); ++i) {
      sum.extra += steps_[i].extra;
      // The oldest step may lie outside the window already: it earns nothing.
      sum.regular += i == OldestStep() ? 0 : steps_[i].regular;
    }
    return sum;
  }

  size_t OldestStep() const { return static_cast<size_t>((number_ + 1) % (kSteps + 1)); }

  Step& Current(Timestamp now) {
    const int64_t number = now.time_since_epoch() / step_;
    if (number - number_ > kSteps) {
      steps_ = {};
      number_ = number;
    }
    while (number_ < number) {
      ++number_;
      steps_[static_cast<size_t>(number_ % (kSteps + 1))] = {};
    }
    return steps_[static_cast<size_t>(number_ % (kSteps + 1))];
  }

  Duration step_;
  double ratio_;
  double allowance_ = 0;
  int64_t number_ = 0;
  std::array<Step, kSteps + 1> steps_{};
};

}  // namespace pumicedyke::balance
