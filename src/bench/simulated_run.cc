#include "bench/simulated_run.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "config/config_state.h"
#include "sim/clock_queue.h"

namespace pumicedyke::bench {
namespace {

constexpr char kService[] = "desk";
constexpr char kCluster[] = "bench";
constexpr double kBurstLoad = 1.3;
/// Time after a sub-request's budget at which a paused leaf's missing reply counts as a failure.
constexpr Duration kReplyGrace = Seconds(2);
constexpr Duration kHealthInterval = Seconds(1);
/// Time to wait for answers after the last query was sent.
constexpr Duration kDrain = Seconds(6);
constexpr size_t kCurvePoints = 1000;

double ThreadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double Quantile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<size_t>(std::lround(quantile * last))];
}

config::ConfigState MakeConfig(const BenchScenario& scenario) {
  config::ConfigState state;
  config::Change service;
  service.kind = config::ChangeKind::kPutService;
  service.service = kService;
  for (size_t leaf = 0; leaf < scenario.leafs; ++leaf) {
    service.leafs.push_back({scenario.LeafName(leaf), "127.0.0.1:1", "", scenario.slots});
  }
  state.Apply(service);
  config::Change snapshot;
  snapshot.kind = config::ChangeKind::kPublishSnapshot;
  snapshot.service = kService;
  snapshot.snapshot = {SnapshotId{1}, scenario.PartitionMap()};
  state.Apply(snapshot);
  config::Change policy;
  policy.kind = config::ChangeKind::kPutPolicy;
  policy.service = kService;
  policy.policy = scenario.policy;
  state.Apply(policy);
  return state;
}

struct Sample {
  Timestamp arrival;
  double latency_ms = 0;
  double coverage = 0;
  bool refused = false;
  bool complete = false;
  bool good = false;
};

class SimulatedSite {
 public:
  SimulatedSite(const BenchScenario& scenario, const RunOptions& options)
      : scenario_(scenario), options_(options), random_(options.seed * 7907 + scenario.seed) {
    MakeLeafs();
    MakeNodes();
  }

  RunReport Run() {
    const double cpu_before = ThreadCpuSeconds();
    const Timestamp load_end = clock_.now() + options_.warm_up + options_.length;
    measure_from_ = clock_.now() + options_.warm_up;
    ScheduleDisturbance();
    PollHealth();
    ScheduleNextArrival(load_end);
    while (clock_.RunNext(load_end + kDrain)) {
    }
    RunReport report = MakeReport();
    report.cpu_s = ThreadCpuSeconds() - cpu_before;
    return report;
  }

 private:
  struct Leaf {
    std::unique_ptr<emulator::LeafModel> model;
    bool crashed = false;
    bool paused = false;
    Timestamp next_pump{};
  };
  struct Node {
    std::unique_ptr<node::NodeServer> server;
    Timestamp next_tick{};
    /// Number of open connections to each leaf, and how many of them are in use.
    std::map<std::string, std::pair<int, int>> connections;
  };

  void MakeLeafs() {
    for (size_t i = 0; i < scenario_.leafs; ++i) {
      emulator::LeafModelOptions model = scenario_.model;
      model.name = scenario_.LeafName(i);
      model.slots = scenario_.slots;
      model.seed = options_.seed * 1000003 + i;
      model.results_per_shard = 1;
      model.record_runs = false;
      model.pause_offset = Milliseconds(static_cast<int64_t>(random_() % 10000));
      if (i != scenario_.pausing_leaf) {
        model.pause = Duration(0);
      }
      ApplyVariant(options_.variant, &model);
      leafs_[model.name].model = std::make_unique<emulator::LeafModel>(model, clock_.now());
    }
  }

  void MakeNodes() {
    const config::ConfigState config = MakeConfig(scenario_);
    for (size_t i = 0; i < scenario_.nodes; ++i) {
      node::NodeOptions node_options;
      node_options.subscriber.cluster = kCluster;
      node_options.subscriber.node = "node-" + std::to_string(i);
      node_options.seed = options_.seed * 31 + i;
      node_options.incarnation = 1;
      ApplyVariant(options_.variant, &node_options);
      Node& node = nodes_.emplace_back();
      node.server = std::make_unique<node::NodeServer>(node_options, clock_.now());
      wire::ConfigFeed feed;
      feed.version = config.version().value;
      feed.full = true;
      feed.state = config.Serialize();
      node.server->OnControlMessage(clock_.now(), {kCluster, feed.version, feed});
    }
  }

  // ---- Load -------------------------------------------------------------------------------------

  double LoadNow() const {
    const Duration since = clock_.now() - measure_from_;
    const bool in_burst = options_.disturbance == Disturbance::kBurst &&
                          since > options_.length / 3 && since < options_.length * 2 / 3;
    return in_burst ? kBurstLoad : options_.load;
  }

  void ScheduleNextArrival(Timestamp end) {
    std::exponential_distribution<double> gap(LoadNow() * scenario_.CapacityQueries());
    const Duration wait(static_cast<int64_t>(gap(random_) * 1e6));
    if (clock_.now() + wait >= end) {
      return;
    }
    clock_.After(wait, [this, end] {
      Ask();
      ScheduleNextArrival(end);
    });
  }

  void Ask() {
    const uint64_t id = samples_.size();
    samples_.push_back({clock_.now()});
    const size_t index = std::uniform_int_distribution<size_t>(0, nodes_.size() - 1)(random_);
    clock_.After(scenario_.client_delay, [this, id, index] {
      query::CallerRequest request;
      request.service = kService;
      request.query = "q";
      Node& node = nodes_[index];
      node.server->OnCallerRequest(clock_.now(), RequestId{id}, request);
      DispatchOutput(&node);
    });
  }

  void OnAnswer(uint64_t id, const query::Answer& answer) {
    Sample& sample = samples_[id];
    const Duration latency = clock_.now() + scenario_.client_delay - sample.arrival;
    sample.latency_ms = ToMilliseconds(latency);
    sample.coverage = answer.coverage.share();
    sample.refused = answer.code == ResultCode::kOverloaded;
    sample.complete = answer.code == ResultCode::kOk;
    sample.good = sample.complete || answer.code == ResultCode::kPartial;
    if (sample.arrival >= measure_from_) {
      sub_requests_ += answer.sub_requests;
    }
  }

  // ---- Nodes ------------------------------------------------------------------------------------

  void DispatchOutput(Node* node) {
    node::NodeOutput output = node->server->TakeOutput();
    for (query::LeafRequest& request : output.sends) {
      SendToLeaf(node, std::move(request));
    }
    for (const query::SubRequestCancel& cancel : output.cancels) {
      clock_.After(scenario_.leaf_delay, [this, cancel] {
        Leaf& leaf = leafs_.at(cancel.leaf);
        if (!leaf.crashed && !leaf.paused) {
          leaf.model->Cancel(clock_.now(), cancel.origin, cancel.id);
          Pump(&leaf);
        }
      });
    }
    for (const node::CallerAnswer& answer : output.answers) {
      OnAnswer(answer.request.value, answer.answer);
    }
    ScheduleTick(node);
  }

  void ScheduleTick(Node* node) {
    constexpr Duration kMinTickInterval = Duration(100);
    const Timestamp now = clock_.now();
    const Timestamp wake = std::max(node->server->NextWake(now), now + kMinTickInterval);
    if (node->next_tick > now && node->next_tick <= wake) {
      return;
    }
    node->next_tick = wake;
    clock_.At(wake, [this, node, wake] {
      if (node->next_tick == wake) {
        node->next_tick = Timestamp{};
        node->server->Tick(clock_.now());
        DispatchOutput(node);
      }
    });
  }

  // ---- Leafs ------------------------------------------------------------------------------------

  void SendToLeaf(Node* node, query::LeafRequest request) {
    auto& [open, busy] = node->connections[request.leaf];
    Duration delay = scenario_.leaf_delay;
    if (++busy > open) {
      ++open;
      delay += scenario_.connection_cost;
    }
    origins_[request.origin] = node;
    const Duration timeout = request.budget + kReplyGrace;
    const query::LeafRequest copy = request;
    clock_.After(delay, [this, node, request = std::move(request)] {
      Leaf& leaf = leafs_.at(request.leaf);
      if (leaf.crashed) {
        Reply(node, Failed(request, query::LeafStatus::kNotSent));
      } else if (!leaf.paused) {
        leaf.model->Submit(clock_.now(), request);
        Pump(&leaf);
      }
    });
    if (leafs_.at(copy.leaf).paused) {
      clock_.After(timeout,
                   [this, node, copy] { Reply(node, Failed(copy, query::LeafStatus::kFailed)); });
    }
  }

  static query::LeafReply Failed(const query::LeafRequest& request, query::LeafStatus status) {
    query::LeafReply reply;
    reply.origin = request.origin;
    reply.id = request.id;
    reply.leaf = request.leaf;
    reply.shard = request.shard;
    reply.status = status;
    return reply;
  }

  void Reply(Node* node, const query::LeafReply& reply) {
    --node->connections[reply.leaf].second;
    node->server->OnLeafReply(clock_.now(), reply);
    DispatchOutput(node);
  }

  void Pump(Leaf* leaf) {
    for (query::LeafReply& reply : leaf->model->Advance(clock_.now())) {
      clock_.After(scenario_.leaf_delay,
                   [this, reply = std::move(reply)] { Reply(origins_.at(reply.origin), reply); });
    }
    const std::optional<Timestamp> next = leaf->model->NextEvent();
    const bool planned = leaf->next_pump > clock_.now() && next && leaf->next_pump <= *next;
    if (!next.has_value() || planned) {
      return;
    }
    leaf->next_pump = *next;
    clock_.At(*next, [this, leaf, at = *next] {
      if (leaf->next_pump == at && !leaf->crashed && !leaf->paused) {
        leaf->next_pump = Timestamp{};
        Pump(leaf);
      }
    });
  }

  void PollHealth() {
    for (Node& node : nodes_) {
      for (auto& [name, leaf] : leafs_) {
        if (!leaf.crashed && !leaf.paused) {
          node.server->OnLeafHealth(clock_.now(), name, leaf.model->draining());
        }
      }
    }
    clock_.After(kHealthInterval, [this] { PollHealth(); });
  }

  void ScheduleDisturbance() {
    const bool hits_leaf = options_.disturbance == Disturbance::kLostReplica ||
                           options_.disturbance == Disturbance::kFrozenReplica;
    if (!hits_leaf) {
      return;
    }
    clock_.At(measure_from_ + options_.length / 2, [this] {
      Leaf& leaf = leafs_.at(scenario_.LeafName(scenario_.leafs / 2));
      if (options_.disturbance == Disturbance::kLostReplica) {
        leaf.crashed = true;
      } else {
        leaf.paused = true;
      }
    });
  }

  // ---- Report -----------------------------------------------------------------------------------

  RunReport MakeReport() const {
    RunReport report;
    report.variant = VariantName();
    report.load = options_.load;
    report.seed = options_.seed;
    const double seconds = ToMilliseconds(options_.length) / 1000;
    std::vector<double> latencies;
    std::vector<double> refusals;
    std::map<int64_t, std::vector<double>> by_second;
    std::map<int64_t, double> good_by_second;
    double coverage = 0;
    double complete = 0;
    double good = 0;
    for (const Sample& sample : samples_) {
      if (sample.arrival < measure_from_) {
        continue;
      }
      ++report.queries;
      if (sample.refused) {
        refusals.push_back(sample.latency_ms - 2 * ToMilliseconds(scenario_.client_delay));
        continue;
      }
      const int64_t second = (sample.arrival - measure_from_) / Seconds(1);
      by_second[second].push_back(sample.latency_ms);
      good_by_second[second] += sample.good ? 1 : 0;
      latencies.push_back(sample.latency_ms);
      coverage += sample.coverage;
      complete += sample.complete ? 1 : 0;
      good += sample.good ? 1 : 0;
    }
    std::sort(latencies.begin(), latencies.end());
    std::sort(refusals.begin(), refusals.end());
    const auto admitted = static_cast<double>(std::max<size_t>(latencies.size(), 1));
    const auto queries = static_cast<double>(std::max<uint64_t>(report.queries, 1));
    report.offered_per_s = queries / seconds;
    report.complete_per_s = complete / seconds;
    report.goodput_per_s = good / seconds;
    report.refused_share = static_cast<double>(refusals.size()) / queries;
    report.complete_share = complete / admitted;
    report.mean_coverage = coverage / admitted;
    report.sub_requests = sub_requests_;
    report.extra_share =
        static_cast<double>(sub_requests_) / (admitted * static_cast<double>(scenario_.shards)) - 1;
    report.p50_ms = Quantile(latencies, 0.5);
    report.p90_ms = Quantile(latencies, 0.9);
    report.p99_ms = Quantile(latencies, 0.99);
    report.p999_ms = Quantile(latencies, 0.999);
    report.refusal_p99_ms = Quantile(refusals, 0.99);
    for (size_t i = 0; i <= kCurvePoints; ++i) {
      report.latency_curve_ms.push_back(Quantile(latencies, static_cast<double>(i) / kCurvePoints));
    }
    for (auto& [second, values] : by_second) {
      std::sort(values.begin(), values.end());
      report.p99_by_second_ms.push_back(Quantile(values, 0.99));
      report.goodput_by_second.push_back(good_by_second[second]);
    }
    uint64_t received = 0;
    uint64_t shed = 0;
    for (const auto& [name, leaf] : leafs_) {
      received += leaf.model->received();
      shed += leaf.model->shed();
    }
    report.shed_share =
        static_cast<double>(shed) / static_cast<double>(std::max<uint64_t>(received, 1));
    return report;
  }

  std::string VariantName() const {
    for (const VariantInfo& info : AllVariants()) {
      if (info.variant == options_.variant) {
        return info.name;
      }
    }
    return "";
  }

  const BenchScenario& scenario_;
  RunOptions options_;
  std::mt19937_64 random_;
  sim::ClockQueue clock_;
  std::map<std::string, Leaf> leafs_;
  std::deque<Node> nodes_;
  std::map<std::string, Node*> origins_;
  std::vector<Sample> samples_;
  Timestamp measure_from_{};
  uint64_t sub_requests_ = 0;
};

}  // namespace

const char* DisturbanceName(Disturbance disturbance) {
  switch (disturbance) {
    case Disturbance::kLostReplica:
      return "lost-replica";
    case Disturbance::kFrozenReplica:
      return "frozen-replica";
    case Disturbance::kBurst:
      return "burst";
    case Disturbance::kNone:
      break;
  }
  return "none";
}

RunReport RunSimulated(const BenchScenario& scenario, const RunOptions& options) {
  SimulatedSite site(scenario, options);
  return site.Run();
}

}  // namespace pumicedyke::bench
