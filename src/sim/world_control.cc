// The part of World that connects nodes, operators and control machines, and the process faults.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "common/json.h"
#include "sim/world.h"

namespace pumicedyke::sim {
namespace {

constexpr Duration kObserveInterval = Milliseconds(50);

}  // namespace

void World::SendToControl(NodeHost* node, size_t control, const wire::Envelope& envelope) {
  ControlHost* host = controls[control].get();
  // One session for each incarnation of a node at each machine.
  const auto node_index = static_cast<uint64_t>(node->name().back() - '0');
  const control::SessionId session = node->incarnation() * kSessionsPerIncarnation + node_index;
  network.Send(node->name(), host->name(),
               [host, session, envelope] { host->Receive(session, envelope); });
}

void World::SendToSession(const std::string& control, control::SessionId session,
                          const wire::Envelope& envelope) {
  NodeHost* node = nodes[session % kSessionsPerIncarnation].get();
  network.Send(control, node->name(), [node, session, envelope] {
    if (node->incarnation() == session / kSessionsPerIncarnation) {
      node->ReceiveFromControl(envelope);
    }
  });
}

void World::ObserveNode(NodeHost* node) {
  if (!node->alive() || node->server() == nullptr || !node->server()->Ready(node->LocalNow())) {
    return;
  }
  const config::ConfigState& config = node->server()->config();
  history.OnNodeVersion(clock.now(), node->name(), config.version().value);
  history.OnNodeProof(clock.now(), node->name(), config.version().value,
                      node->server()->ConfigAge(node->LocalNow()));
  for (const auto& [name, service] : config.services()) {
    history.OnPolicyInForce(name, service.policy);
  }
}

void World::Submit(const std::string& from, size_t control, const config::Change& change,
                   ResultCb on_result) {
  ControlHost* host = controls[control].get();
  const control::TicketId ticket = next_ticket_++;
  operators_[ticket] = [this, from, host, change,
                        on_result = std::move(on_result)](const std::string& body) {
    network.Send(host->name(), from, [this, change, body, on_result] {
      const Json json = ParseJson(body);
      const auto result = json.get<config::ChangeResult>();
      history.OnOperatorAnswer(clock.now(), change, result);
      on_result(result);
    });
  };
  network.Send(from, host->name(), [host, ticket, change] { host->Submit(ticket, change); });
}

void World::ReadConfig(const std::string& from, size_t control, VersionCb on_read) {
  ControlHost* host = controls[control].get();
  const control::TicketId ticket = next_ticket_++;
  const uint64_t accepted = history.accepted_version();
  operators_[ticket] = [this, from, host, accepted,
                        on_read = std::move(on_read)](const std::string& body) {
    network.Send(host->name(), from, [this, body, accepted, on_read] {
      absl::StatusOr<config::ConfigState> state = config::ConfigState::Deserialize(body);
      if (state.ok()) {
        history.OnConfigRead(clock.now(), state->version().value, accepted);
        on_read(*state);
      }
    });
  };
  network.Send(from, host->name(), [host, ticket] { host->ReadConfig(ticket); });
}

void World::KillControl(size_t index) {
  if (controls[index]->alive()) {
    history.Trace(clock.now(), "kill " + controls[index]->name());
    controls[index]->Kill();
  }
}

void World::LoseDisk(size_t index) {
  history.Trace(clock.now(), "lose disk of " + controls[index]->name());
  controls[index]->LoseDisk();
  repair_pending = true;
  ++losses_;
}

void World::StartControl(size_t index) {
  if (!controls[index]->alive()) {
    history.Trace(clock.now(), "start " + controls[index]->name());
    controls[index]->Start();
  }
}

void World::PlannedStopControl(size_t index) {
  ControlHost* host = controls[index].get();
  if (!host->alive() || host->paused()) {
    return;
  }
  history.Trace(clock.now(), "planned stop of " + host->name());
  host->PlannedStop([this, host] {
    if (host->open_tickets() > 0) {
      history.Fail(Invariant::kPlannedStop, clock.now(),
                   host->name() + " stopped without answering an operator");
    }
    history.Trace(clock.now(), "stopped " + host->name());
  });
}

void World::KillNode(size_t index) {
  if (nodes[index]->alive()) {
    history.Trace(clock.now(), "kill " + nodes[index]->name());
    history.ExpectNoAnswersFrom(nodes[index]->name());
    nodes[index]->Kill();
  }
}

void World::StartNode(size_t index) {
  if (!nodes[index]->alive()) {
    history.Trace(clock.now(), "start " + nodes[index]->name());
    history.OnNodeStart(nodes[index]->name(), history.accepted_version());
    nodes[index]->Start();
    PollLeafsFor(nodes[index].get());
    PollPlatformFor(nodes[index].get());
  }
}

void World::PlannedStopNode(size_t index) {
  NodeHost* node = nodes[index].get();
  if (!node->alive() || node->paused() || node->stopping()) {
    return;
  }
  history.Trace(clock.now(), "planned stop of " + node->name());
  node->PlannedStop([this, node] {
    history.OnPlannedStopDone(clock.now(), node->name());
    history.Trace(clock.now(), "stopped " + node->name());
  });
}

std::optional<size_t> World::LeaderIndex() const {
  std::optional<size_t> leader;
  uint64_t term = 0;
  for (size_t i = 0; i < controls.size(); ++i) {
    if (controls[i]->Leads() && controls[i]->server()->raft().term() >= term) {
      leader = i;
      term = controls[i]->server()->raft().term();
    }
  }
  return leader;
}

void World::WatchRedundancy() {
  for (const auto& control : controls) {
    if (!repair_pending) {
      break;
    }
    const control::TicketId ticket = next_ticket_++;
    operators_[ticket] = [this, name = control->name(), losses = losses_](const std::string& body) {
      const Json status = ParseJson(body);
      const bool about_this_loss = repair_pending && losses == losses_;
      if (about_this_loss && status.value("fully_redundant", false)) {
        OnRedundancyReported(name);
      }
    };
    control->ReadStatus(ticket);
  }
  clock.After(kObserveInterval, [this] { WatchRedundancy(); });
}

void World::OnRedundancyReported(const std::string& control) {
  repair_pending = false;
  ++repairs;
  history.Trace(clock.now(), control + " reports full redundancy");
  for (const auto& holder : controls) {
    const int64_t held = holder->DurableVersion();
    if (held < static_cast<int64_t>(history.accepted_version())) {
      history.Fail(Invariant::kConfigInForce, clock.now(),
                   absl::StrCat("full redundancy was reported, but ", holder->name(), " holds ",
                                held, " of ", history.accepted_version()));
    }
  }
}

void World::HealEverything() {
  history.Trace(clock.now(), "heal everything");
  network.HealAll();
  network.SetOptions({});
  for (size_t i = 0; i < controls.size(); ++i) {
    controls[i]->Resume();
    StartControl(i);
  }
  for (const auto& [name, leaf] : leafs) {
    leaf->Resume();
    StartLeaf(name);
  }
  for (size_t i = 0; i < nodes.size(); ++i) {
    nodes[i]->Resume();
    StartNode(i);
  }
}

}  // namespace pumicedyke::sim
