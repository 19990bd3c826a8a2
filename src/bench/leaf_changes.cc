#include "bench/leaf_changes.h"

#include <chrono>
#include <memory>
#include <utility>

#include "absl/strings/str_format.h"
#include "gateway/leaf_pool_updater.h"

namespace pumicedyke::bench {
namespace {

constexpr size_t kLeafsPerService = 21;
constexpr size_t kConnections = 175;
constexpr size_t kChanges = 200;
constexpr uint32_t kGateways = 985;

double MicrosecondsSince(std::chrono::steady_clock::time_point begin) {
  const auto elapsed = std::chrono::steady_clock::now() - begin;
  return std::chrono::duration<double, std::micro>(elapsed).count();
}

wire::LeafRecord MakeLeafRecord(size_t i) {
  const std::string service = "shard-" + std::to_string(i / kLeafsPerService);
  const std::string zone = "zone-" + std::to_string(i % 3);
  return {"leaf-" + std::to_string(i), service, "10.0.0.1:" + std::to_string(i), zone, 3, false, 0};
}

LeafChangeCost Measure(size_t leafs) {
  LeafChangeCost cost{.leafs = leafs};
  Timestamp now{Seconds(1)};
  gateway::LeafView view({});
  balance::LeafPool pool({}, 1);
  gateway::LeafPoolUpdater pool_updater("gateway", "zone-0", &pool);
  routing::RouteSet set;
  wire::LeafFeed all;
  all.version = 1;
  for (size_t i = 0; i < leafs; ++i) {
    all.records.push_back(MakeLeafRecord(i));
    if (i % kLeafsPerService == 0) {
      set.services.push_back({all.records.back().service, kConnections, "", Seconds(2), 0});
    }
  }
  const routing::RouteTable table(std::move(set));
  const auto sync = [&](uint32_t gateways) {
    pool_updater.Sync(now, view, view.TakeChanges(), {&table, gateways});
  };
  auto begin = std::chrono::steady_clock::now();
  view.OnFeed(now, "control", all);
  sync(kGateways);
  cost.fill_milliseconds = MicrosecondsSince(begin) / 1000;
  begin = std::chrono::steady_clock::now();
  for (size_t i = 0; i < kChanges; ++i) {
    now += Milliseconds(1);
    wire::LeafRecord record = MakeLeafRecord(i * leafs / kChanges);
    record.draining = true;
    view.OnFeed(now, "control", {i + 1, i + 2, {record}, {}, {}, 1});
    sync(kGateways);
  }
  cost.change_microseconds = MicrosecondsSince(begin) / kChanges;
  begin = std::chrono::steady_clock::now();
  for (uint32_t i = 0; i < kChanges; ++i) {
    now += Milliseconds(1);
    sync(kGateways + i);
  }
  cost.gateway_microseconds = MicrosecondsSince(begin) / kChanges;
  return cost;
}

}  // namespace

std::vector<LeafChangeCost> MeasureLeafChanges(const std::vector<size_t>& sizes) {
  std::vector<LeafChangeCost> costs;
  costs.reserve(sizes.size());
  for (const size_t leafs : sizes) {
    costs.push_back(Measure(leafs));
  }
  return costs;
}

std::string LeafChangeTable(const std::vector<LeafChangeCost>& costs) {
  std::string text = "   leafs   fill ms   a leaf's change us   a gateway more us\n";
  for (const LeafChangeCost& cost : costs) {
    absl::StrAppendFormat(&text, "%8d %9.1f %20.1f %19.1f\n", cost.leafs, cost.fill_milliseconds,
                          cost.change_microseconds, cost.gateway_microseconds);
  }
  return text;
}

}  // namespace pumicedyke::bench
