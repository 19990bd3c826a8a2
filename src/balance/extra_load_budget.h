// Combined budgets for hedges and retries. They bound the extra load when all leafs are slow at the
// same time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "balance/step_ring.h"
#include "common/types.h"

namespace pumicedyke::balance {

/// Decides whether an extra sub-request may be sent.
class ExtraLoadLimit {
 public:
  virtual ~ExtraLoadLimit() = default;
  /// Records a regular sub-request sent under a policy that allows `share` extra ones for it.
  virtual void OnRegular(Timestamp now, double share) = 0;
  /// Charges one extra sub-request to the budget. @return false if it must not be sent.
  bool TrySpend(Timestamp now) { return TrySpendFraction(now, 1.0); }
  /// The same for a caller that may use only the share `part` of the budget, 0 to 1; the rest is
  /// reserved for other callers.
  virtual bool TrySpendFraction(Timestamp now, double part) = 0;
  /// Returns whether TrySpendFraction() would succeed now. Charges nothing.
  virtual bool Affords(Timestamp now, double part) = 0;
  /// Returns the share of the budget that is left, 0 to 1.
  virtual double RemainingFraction(Timestamp now) = 0;
};

/// A token bucket that allows a fixed share of the regular sub-requests. Replacing a sub-request
/// that a leaf refused without starting it adds no load to a slot and costs no token; the number of
/// rounds bounds such replacements.
class ExtraLoadBudget : public ExtraLoadLimit {
 public:
  explicit ExtraLoadBudget(double burst) : burst_(burst), tokens_(burst / 2) {}

  void OnRegular(Timestamp /*now*/, double share) override {
    tokens_ = std::min(burst_, tokens_ + share);
  }

  bool TrySpendFraction(Timestamp now, double part) override {
    if (!Affords(now, part)) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

  bool Affords(Timestamp /*now*/, double part) override {
    return tokens_ >= 1.0 + (1.0 - part) * burst_;
  }

  double RemainingFraction(Timestamp /*now*/) override { return tokens_ / burst_; }

  double tokens() const { return tokens_; }

 private:
  double burst_;
  double tokens_;
};

/// What a SlidingWindowBudget has counted, and what it allows.
struct ExtraLoadUse {
  /// Regular sub-requests in the window that ends now, as far as they earn extra ones, and extra
  /// ones.
  double regular = 0;
  double extra = 0;
  /// Extra sub-requests allowed in that window, and the fixed number that is part of it.
  double bound = 0;
  double fixed = 0;
  /// Number of extra sub-requests denied so far.
  uint64_t denied = 0;
};

/// Limits the extra sub-requests in any time window to a share of the window's regular ones plus a
/// fixed number. The window slides in steps. Extra sub-requests are counted over one step more than
/// the window, so that the bound holds for every position of the window. The policy's own share is
/// not used.
class SlidingWindowBudget : public ExtraLoadLimit {
 public:
  /// @param window length of the window. @param ratio extra sub-requests per regular one.
  SlidingWindowBudget(Duration window, double ratio) : steps_(window / kSteps), ratio_(ratio) {}

  /// Sets the fixed number of extra sub-requests, which may change at any time.
  void SetBurst(double burst) { burst_ = burst; }
  /// Sets how many of the window's regular sub-requests count at most, which may change at any
  /// time.
  void SetMostEarning(double regular) { most_earning_ = regular; }

  void OnRegular(Timestamp now, double /*share*/) override { steps_.Current(now).regular += 1; }

  bool TrySpendFraction(Timestamp now, double part) override {
    if (!Affords(now, part)) {
      ++denied_;
      return false;
    }
    steps_.Current(now).extra += 1;
    return true;
  }

  bool Affords(Timestamp now, double part) override {
    const Step sum = Sum(now);
    return sum.extra + 1 <= part * Bound(sum);
  }

  double RemainingFraction(Timestamp now) override {
    const Step sum = Sum(now);
    const double bound = Bound(sum);
    return bound <= 0 ? 0 : std::clamp(1 - sum.extra / bound, 0.0, 1.0);
  }

  ExtraLoadUse Use(Timestamp now) {
    const Step sum = Sum(now);
    return {sum.regular, sum.extra, Bound(sum), burst_, denied_};
  }

 private:
  static constexpr int64_t kSteps = 20;
  struct Step {
    double regular = 0;
    double extra = 0;
  };

  double Bound(const Step& sum) const { return ratio_ * sum.regular + burst_; }

  /// Returns the totals of the window that ends now.
  Step Sum(Timestamp now) {
    steps_.Current(now);
    Step sum;
    for (int64_t age = 0; age < kSteps; ++age) {
      sum.regular += steps_.Before(age).regular;
      sum.extra += steps_.Before(age).extra;
    }
    // The oldest step may already be outside the window, so its regular ones are not counted.
    sum.extra += steps_.Before(kSteps).extra;
    sum.regular = std::min(sum.regular, most_earning_);
    return sum;
  }

  StepRing<Step, kSteps + 1> steps_;
  double ratio_;
  double burst_ = 0;
  double most_earning_ = std::numeric_limits<double>::infinity();
  uint64_t denied_ = 0;
};

}  // namespace pumicedyke::balance
