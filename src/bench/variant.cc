#include "bench/variant.h"

#include <algorithm>

namespace pumicedyke::bench {
namespace {

constexpr Duration kNaiveRetryTimeout = Milliseconds(50);
constexpr Duration kFixedHedgeDelay = Milliseconds(10);
constexpr Duration kBaselineDeadline = Seconds(2);
constexpr double kNoLimit = 1e9;

/// Configures a client without per-leaf limits, ejection or admission control.
void DisableProtections(node::NodeOptions* options) {
  policy::QueryPlan plan;
  plan.deadline = kBaselineDeadline;
  plan.wait = kBaselineDeadline;
  plan.min_coverage = 1.0;
  plan.extra_load = 0;
  plan.hedge = false;
  options->plan_override = plan;
  options->admission_control = false;
  options->knobs.initial_limit_per_slot = kNoLimit;
  options->knobs.max_limit_per_slot = kNoLimit;
  options->knobs.min_limit = kNoLimit;
  options->knobs.ejection_failures = static_cast<int>(kNoLimit);
  options->knobs.choose_by_load = false;
}

}  // namespace

const std::vector<VariantInfo>& AllVariants() {
  static const auto* const variants = new std::vector<VariantInfo>{
      {Variant::kProduct, "product"},        {Variant::kWaitForAll, "wait-for-all"},
      {Variant::kNaiveRetry, "naive-retry"}, {Variant::kFixedHedge, "fixed-hedge"},
      {Variant::kOracle, "oracle"},
  };
  return *variants;
}

const VariantInfo* FindVariant(const std::string& name) {
  const auto& all = AllVariants();
  const auto found = std::find_if(all.begin(), all.end(),
                                  [&name](const VariantInfo& info) { return info.name == name; });
  return found == all.end() ? nullptr : &*found;
}

void ApplyVariant(Variant variant, node::NodeOptions* options) {
  switch (variant) {
    case Variant::kProduct:
    case Variant::kOracle:
      break;
    case Variant::kWaitForAll:
      DisableProtections(options);
      break;
    case Variant::kNaiveRetry:
      DisableProtections(options);
      options->execution.naive_retry_timeout = kNaiveRetryTimeout;
      break;
    case Variant::kFixedHedge:
      DisableProtections(options);
      options->plan_override->hedge = true;
      options->execution.fixed_hedge_delay = kFixedHedgeDelay;
      break;
  }
}

void ApplyVariant(Variant variant, emulator::LeafModelOptions* options) {
  if (variant == Variant::kOracle) {
    options->straggler_share = 0;
    options->pause = Duration(0);
  }
}

}  // namespace pumicedyke::bench
