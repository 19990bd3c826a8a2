#include "sim/world.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "common/json.h"

namespace pumicedyke::sim {
namespace {

constexpr size_t kNodes = 2;
constexpr uint64_t kReadLeafs = 4;
constexpr uint64_t kJobLeafs = 3;
constexpr uint64_t kJobShards = 2;
constexpr uint32_t kSlots = 3;
constexpr size_t kResultsPerShard = 1;
constexpr Duration kConnectionRefusedDelay = Milliseconds(1);
constexpr Duration kReplyGrace = Milliseconds(500);
constexpr Duration kPollInterval = Seconds(1);
/// Delay of the platform's list of leaving leafs.
constexpr Duration kPlatformLag = Milliseconds(700);

query::LeafReply FailedReply(const query::LeafRequest& request, query::LeafStatus status) {
  query::LeafReply reply;
  reply.origin = request.origin;
  reply.id = request.id;
  reply.leaf = request.leaf;
  reply.shard = request.shard;
  reply.status = status;
  return reply;
}

}  // namespace

RequestIdentity IdentityOf(const query::CallerRequest& request) {
  const std::string asked = request.query.substr(0, request.query.find(kAttemptMarker));
  return pumicedyke::IdentityOf({request.service, asked, request.request_class});
}

World::World(const WorldOptions& options)
    : network(&clock, options.seed * 7919 + 1),
      history(kResultsPerShard),
      random(options.seed * 104729 + 3),
      options_(options) {
  MakeControls();
  MakeNodes();
  MakeLeafs();
}

void World::MakeControls() {
  std::vector<std::string> founders;
  for (size_t i = 0; i < kFounders; ++i) {
    founders.push_back(absl::StrCat("control-", i));
  }
  for (size_t i = 0; i < options_.control_machines; ++i) {
    const std::string name = absl::StrCat("control-", i);
    ControlHost::Callbacks callbacks;
    callbacks.to_peer = [this, name](const std::string& address, const wire::Envelope& envelope) {
      network.Send(name, address, [this, address, envelope] {
        for (const auto& control : controls) {
          if (control->name() == address) {
            control->Receive(kPeerSession, envelope);
          }
        }
      });
    };
    callbacks.to_session = [this, name](control::SessionId session,
                                        const wire::Envelope& envelope) {
      SendToSession(name, session, envelope);
    };
    callbacks.close_session = [this, name, i](control::SessionId session) {
      NodeHost* node = nodes[session % kSessionsPerIncarnation].get();
      network.Send(name, node->name(), [node, session, i] {
        if (node->incarnation() == session / kSessionsPerIncarnation) {
          node->ControlClosed(i);
        }
      });
    };
    callbacks.to_operator = [this](control::TicketId ticket, const std::string& body) {
      const auto waiting = operators_.find(ticket);
      if (waiting != operators_.end()) {
        const auto answer = std::move(waiting->second);
        operators_.erase(waiting);
        answer(body);
      }
    };
    controls.push_back(std::make_unique<ControlHost>(&clock, name, founders,
                                                     options_.control_machines, options_.disabled,
                                                     options_.seed * 31 + i, callbacks));
  }
}

void World::MakeNodes() {
  for (size_t i = 0; i < kNodes; ++i) {
    node::NodeOptions options;
    options.seed = options_.seed * 17 + i;
    options.subscriber.control_machines = options_.control_machines;
    NodeHost::Callbacks callbacks;
    callbacks.to_leaf = [this](NodeHost* node, const query::LeafRequest& request) {
      SendToLeaf(node, request);
    };
    callbacks.cancel = [this](NodeHost* node, const query::SubRequestCancel& cancel) {
      network.SendOnce(node->name(), cancel.leaf,
                       [this, cancel] { leafs.at(cancel.leaf)->Cancel(cancel.origin, cancel.id); });
    };
    callbacks.to_control = [this](NodeHost* node, size_t control, const wire::Envelope& envelope) {
      SendToControl(node, control, envelope);
    };
    callbacks.to_caller = [this](NodeHost* /*node*/, RequestId id, const query::Answer& answer) {
      const auto caller = callers_.find(id.value);
      if (caller != callers_.end()) {
        caller->second(answer);
      }
    };
    callbacks.after_step = [this](NodeHost* node) { ObserveNode(node); };
    nodes.push_back(std::make_unique<NodeHost>(&clock, absl::StrCat("node-", i), options,
                                               options_.disabled, callbacks));
  }
}

std::vector<std::string> World::LeafNames(const std::string& service) const {
  std::vector<std::string> names;
  const uint64_t count = service == kReadService ? kReadLeafs : kJobLeafs;
  for (uint64_t i = 0; i < count; ++i) {
    names.push_back(absl::StrCat(service, "-leaf-", i));
  }
  return names;
}

void World::MakeLeafs() {
  for (const std::string service : {kReadService, kJobService}) {
    for (const std::string& name : LeafNames(service)) {
      emulator::LeafModelOptions options;
      options.name = name;
      options.slots = kSlots;
      options.median_ms = 3;
      options.straggler_share = options_.faulty_leafs ? 0.08 : 0.01;
      options.ignores_snapshot = options_.faulty_leafs ? 0.02 : 0;
      options.pause = options_.faulty_leafs ? Milliseconds(300) : Duration(0);
      options.pause_every = Seconds(3);
      options.pause_offset = Milliseconds(Between(0, 3000));
      options.results_per_shard = kResultsPerShard;
      options.holds_everything = false;
      options.seed = options_.seed * 131 + leafs.size();
      leafs[name] = std::make_unique<LeafHost>(
          &clock, options, [this](const query::LeafReply& reply) { ReplyToNode(reply); });
    }
  }
}

std::vector<config::Shard> World::PartitionMap(const std::string& service,
                                               uint64_t snapshot) const {
  const std::vector<std::string> names = LeafNames(service);
  const uint64_t shards = service == kReadService ? kReadLeafs : kJobShards;
  std::vector<config::Shard> map;
  for (uint64_t shard = 0; shard < shards; ++shard) {
    // Each snapshot shifts the map by one leaf.
    const std::string& first = names[(shard + snapshot) % names.size()];
    const std::string& second = names[(shard + snapshot + 1) % names.size()];
    map.push_back({ShardId{shard + 1}, {first, second}});
  }
  return map;
}

void World::SetHeldShardsOfLeafs(const std::string& service, uint64_t snapshot) {
  for (const std::string& name : LeafNames(service)) {
    std::set<ShardId> shards;
    for (const config::Shard& shard : PartitionMap(service, snapshot)) {
      if (std::find(shard.replicas.begin(), shard.replicas.end(), name) != shard.replicas.end()) {
        shards.insert(shard.id);
      }
    }
    leafs.at(name)->model()->SetHeldShards(service, SnapshotId{snapshot}, std::move(shards));
  }
}

config::Change World::MakeSnapshotChange(const std::string& service,
                                         const std::string& submission) {
  config::Change change;
  change.kind = config::ChangeKind::kPublishSnapshot;
  change.service = service;
  change.submission_id = submission;
  const uint64_t snapshot = ++newest_snapshot_[service];
  change.snapshot = {SnapshotId{snapshot}, PartitionMap(service, snapshot)};
  return change;
}

config::Change World::MakePolicyChange(const std::string& service, const std::string& submission) {
  config::Change change;
  change.kind = config::ChangeKind::kPutPolicy;
  change.service = service;
  change.submission_id = submission;
  const std::string plan =
      service == kReadService
          ? "local full = request.class == 'full'\n"
            "  return { deadline_ms = full and 900 or 300, coverage = full and 1 or 0.5,\n"
            "    wait_ms = full and 900 or 60, extra_load = 0.3, hedge_quantile = 0.7 }"
          : "return { deadline_ms = 700, repeatable = false }";
  change.policy = absl::StrCat("-- marker ", ++policy_markers_, "\nfunction plan(request)\n  ",
                               plan, "\nend\n");
  return change;
}

void World::SubmitUntilDecided(const config::Change& change, const std::function<void()>& done) {
  auto finished = std::make_shared<bool>(false);
  for (size_t i = 0; i < controls.size(); ++i) {
    Submit("operator-patient", i, change, [=](const config::ChangeResult& result) {
      const auto code = static_cast<ResultCode>(result.code);
      const bool definite = code != ResultCode::kNoQuorum && code != ResultCode::kShuttingDown;
      if (definite && !*finished) {
        *finished = true;
        if (code == ResultCode::kOk) {
          done();
        }
      }
    });
  }
  clock.After(Milliseconds(700), [=, this] {
    if (!*finished) {
      SubmitUntilDecided(change, done);
    }
  });
}

void World::Boot() {
  for (const auto& control : controls) {
    if (control->IsFounder()) {
      control->Format();
    }
    control->Start();
  }
  for (size_t i = 0; i < nodes.size(); ++i) {
    StartNode(i);
  }
  std::vector<config::Change> changes;
  for (const std::string service : {kReadService, kJobService}) {
    config::Change change;
    change.kind = config::ChangeKind::kPutService;
    change.service = service;
    change.submission_id = absl::StrCat("boot-", service);
    for (const std::string& name : LeafNames(service)) {
      change.leafs.push_back({name, "127.0.0.1:1", "zone", kSlots});
      leafs.at(name)->Start();
    }
    changes.push_back(change);
    changes.push_back(MakeSnapshotChange(service, absl::StrCat("boot-snapshot-", service)));
    SetHeldShardsOfLeafs(service, 1);
    changes.push_back(MakePolicyChange(service, absl::StrCat("boot-policy-", service)));
  }
  auto remaining = std::make_shared<std::vector<config::Change>>(changes);
  auto next = std::make_shared<std::function<void()>>();
  auto booted = std::make_shared<bool>(false);
  *next = [this, remaining, next, booted] {
    if (remaining->empty()) {
      *booted = true;
      return;
    }
    const config::Change change = remaining->front();
    remaining->erase(remaining->begin());
    SubmitUntilDecided(change, *next);
  };
  (*next)();
  const Timestamp latest = clock.now() + Seconds(20);
  while (!*booted && clock.RunNext(latest)) {
  }
  *next = nullptr;
  RunUntil(clock.now() + Milliseconds(600));
  PollLoop();
  WatchRedundancy();
}

void World::RunUntil(Timestamp end) {
  while (clock.RunNext(end)) {
  }
}

// ---- Callers ------------------------------------------------------------------------------------

bool World::Ask(size_t index, const query::CallerRequest& request, AnswerCb on_answer) {
  NodeHost* node = nodes[index].get();
  if (!node->accepts()) {
    return false;
  }
  CallRecord record{request.query,  request.service,  request.idempotency_key,
                    request.shards, request.snapshot, clock.now(),
                    node->name()};
  const uint64_t call = history.OnCall(std::move(record));
  const uint64_t id = next_call_++;
  callers_[id] = [this, call, id, on_answer = std::move(on_answer)](const query::Answer& answer) {
    history.OnAnswer(clock.now(), call, answer);
    const AnswerCb callback = on_answer;
    callback(answer);
  };
  query::CallerRequest named = request;
  named.identity = IdentityOf(request);
  node->Ask(RequestId{id}, named);
  return true;
}

// ---- Leafs --------------------------------------------------------------------------------------

void World::SendToLeaf(NodeHost* node, const query::LeafRequest& request) {
  const PendingKey key{request.origin, request.id};
  pending_[key] = {node, request};
  LeafHost* leaf = leafs.at(request.leaf).get();
  network.SendOnce(node->name(), request.leaf, [this, node, leaf, request, key] {
    if (!leaf->alive()) {
      clock.After(kConnectionRefusedDelay, [this, node, request, key] {
        pending_.erase(key);
        node->Reply(FailedReply(request, query::LeafStatus::kNotSent));
      });
      return;
    }
    history.OnLeafReceived(clock.now(), request.leaf);
    if (request.query.starts_with(kFatalQuery)) {
      CrashLeaf(request);
    } else {
      leaf->Submit(request);
    }
  });
  // A sub-request without a reply fails after its budget and a grace period.
  clock.After(request.budget + kReplyGrace, [this, node, request, key] {
    if (pending_.erase(key) > 0) {
      node->Reply(FailedReply(request, query::LeafStatus::kFailed));
    }
  });
}

void World::CrashLeaf(const query::LeafRequest& request) {
  history.OnFatalRun(clock.now(), request);
  KillLeaf(request.leaf);
  clock.After(Milliseconds(Between(500, 2500)), [this, leaf = request.leaf] { StartLeaf(leaf); });
}

void World::ReplyToNode(const query::LeafReply& reply) {
  const PendingKey key{reply.origin, reply.id};
  const auto pending = pending_.find(key);
  if (pending == pending_.end()) {
    return;
  }
  NodeHost* node = pending->second.node;
  network.SendOnce(reply.leaf, node->name(), [this, node, reply, key] {
    pending_.erase(key);
    node->Reply(reply);
  });
}

void World::FailPending(const std::string& leaf) {
  std::erase_if(pending_, [&](const auto& item) {
    const Pending& pending = item.second;
    if (pending.request.leaf != leaf) {
      return false;
    }
    clock.After(kConnectionRefusedDelay, [node = pending.node, request = pending.request] {
      query::LeafReply reply = FailedReply(request, query::LeafStatus::kFailed);
      reply.connection_lost = true;
      node->Reply(reply);
    });
    return true;
  });
}

void World::PollLeafsFor(NodeHost* node) {
  for (const auto& [name, leaf] : leafs) {
    network.Send(node->name(), name, [this, node, leaf = leaf.get()] {
      leaf->QueryHealth([this, node, leaf](bool draining) {
        // One report in five is delayed by two seconds.
        const Duration lag = Uniform() < 0.2 ? Seconds(2) : Duration(0);
        clock.After(lag, [this, node, leaf, draining] {
          network.Send(leaf->name(), node->name(),
                       [node, leaf, draining] { node->Health(leaf->name(), draining); });
        });
      });
    });
  }
}

void World::PollPlatformFor(NodeHost* node) {
  std::set<std::string> listed;
  for (const auto& [leaf, how] : leaving_) {
    if (how == LeaveMethod::kPlatform) {
      listed.insert(leaf);
    }
  }
  clock.After(kPlatformLag, [node, listed] { node->PlatformLeaving(listed); });
}

void World::PollLoop() {
  for (const auto& node : nodes) {
    PollLeafsFor(node.get());
    PollPlatformFor(node.get());
  }
  clock.After(kPollInterval, [this] { PollLoop(); });
}

void World::MakeLeafLeave(const std::string& name, LeaveMethod how) {
  if (leaving_.contains(name)) {
    return;
  }
  leaving_[name] = how;
  history.Trace(clock.now(), absl::StrCat("leaf leaves ", name, " by ", static_cast<int>(how)));
  if (how == LeaveMethod::kHealthReport) {
    leafs.at(name)->model()->SetDraining(true);
    history.OnLeafLeaving(name, clock.now());
  } else if (how == LeaveMethod::kPlatform) {
    history.OnLeafLeaving(name, clock.now());
  } else {
    config::Change change;
    change.kind = config::ChangeKind::kMarkLeaving;
    change.leaf = name;
    change.submission_id =
        absl::StrCat("leave-", name, "-", clock.now().time_since_epoch().count());
    SubmitUntilDecided(change, [this, name] {
      if (leaving_.contains(name)) {
        history.OnLeafLeaving(name, clock.now());
      }
    });
  }
}

void World::CancelLeafLeaving(const std::string& name) {
  const auto it = leaving_.find(name);
  if (it == leaving_.end()) {
    return;
  }
  if (it->second == LeaveMethod::kConfig) {
    config::Change change;
    change.kind = config::ChangeKind::kClearLeaving;
    change.leaf = name;
    change.submission_id = absl::StrCat("stay-", name, "-", clock.now().time_since_epoch().count());
    SubmitUntilDecided(change, [] {});
  }
  leafs.at(name)->model()->SetDraining(false);
  leaving_.erase(it);
  history.OnLeafLeavingCancelled(name);
}

void World::Repartition(const std::string& service) {
  config::Change change = MakeSnapshotChange(
      service, absl::StrCat("repartition-", service, "-", newest_snapshot_[service] + 1));
  const uint64_t snapshot = change.snapshot.id.value;
  history.Trace(clock.now(), absl::StrCat("repartition ", service, " to ", snapshot));
  for (const std::string& name : LeafNames(service)) {
    LeafHost* leaf = leafs.at(name).get();
    std::set<ShardId> shards;
    for (const config::Shard& shard : change.snapshot.shards) {
      if (std::find(shard.replicas.begin(), shard.replicas.end(), name) != shard.replicas.end()) {
        shards.insert(shard.id);
      }
    }
    clock.After(Milliseconds(Between(0, 900)), [leaf, service, snapshot, shards] {
      leaf->model()->SetHeldShards(service, SnapshotId{snapshot}, shards);
    });
    clock.After(Milliseconds(Between(1500, 2500)), [leaf, service, snapshot] {
      leaf->model()->RemoveSnapshot(service, SnapshotId{snapshot - 1});
    });
  }
  clock.After(Milliseconds(300), [this, change] { SubmitUntilDecided(change, [] {}); });
}

void World::KillLeaf(const std::string& name) {
  if (leafs.at(name)->alive()) {
    history.Trace(clock.now(), "kill " + name);
    leafs.at(name)->Kill();
    FailPending(name);
  }
}

void World::StartLeaf(const std::string& name) {
  if (!leafs.at(name)->alive()) {
    history.Trace(clock.now(), "start " + name);
    leafs.at(name)->Start();
    if (leaving_.contains(name) && leaving_.at(name) == LeaveMethod::kHealthReport) {
      leafs.at(name)->model()->SetDraining(true);
    }
  }
}

}  // namespace pumicedyke::sim
