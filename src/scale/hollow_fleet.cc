#include "scale/hollow_fleet.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "wire/codec.h"

namespace pumicedyke::scale {
namespace {

/// Bytes that frame a message on the connection.
constexpr size_t kFrameBytes = 8;

}  // namespace

HollowFleet::HollowFleet(net::EventLoop* loop, std::string cluster,
                         std::vector<std::string> control)
    : loop_(loop), cluster_(std::move(cluster)), control_(std::move(control)) {}

void HollowFleet::Grow(size_t count) {
  while (nodes_.size() < count) {
    auto node = std::make_unique<HollowNode>();
    node->name = absl::StrCat("hollow-", nodes_.size());
    Start(node.get(), net::EventLoop::Now());
    nodes_.push_back(std::move(node));
  }
}

void HollowFleet::Start(HollowNode* node, Timestamp now) {
  node::SubscriberOptions options;
  options.cluster = cluster_;
  options.node = node->name;
  options.incarnation = ++node->incarnation;
  options.control_machines = control_.size();
  node->subscriber = std::make_unique<node::ConfigSubscriber>(options, now);
  node->connection.reset();
  node->arrival_ms = -1;
}

void HollowFleet::Restart(size_t count) {
  for (size_t i = 0; i < std::min(count, nodes_.size()); ++i) {
    Start(nodes_[i].get(), net::EventLoop::Now());
  }
}

void HollowFleet::CutOff(size_t count) {
  for (size_t i = 0; i < std::min(count, nodes_.size()); ++i) {
    nodes_[i]->cut = true;
  }
}

void HollowFleet::Heal() {
  for (const auto& node : nodes_) {
    node->cut = false;
  }
}

void HollowFleet::Tick(Timestamp now) {
  for (const auto& node : nodes_) {
    if (node->cut) {
      continue;
    }
    if (const auto hello = node->subscriber->Tick(now)) {
      Send(node.get(), *hello);
    }
  }
}

void HollowFleet::Send(HollowNode* node, const wire::Envelope& envelope) {
  const size_t control = node->subscriber->control();
  if (node->connection == nullptr || node->connected_to != control) {
    node->connected_to = control;
    node->connection = std::make_unique<net::FrameClient>(
        loop_, control_[control],
        [this, node](const wire::Envelope& message) { OnMessage(node, message); },
        [node] { node->subscriber->OnDisconnected(net::EventLoop::Now()); });
  }
  ++traffic_.messages_out;
  traffic_.bytes_out += wire::Encode(envelope).size() + kFrameBytes;
  node->connection->Send(envelope);
}

void HollowFleet::OnMessage(HollowNode* node, const wire::Envelope& envelope) {
  ++traffic_.messages_in;
  traffic_.bytes_in += wire::Encode(envelope).size() + kFrameBytes;
  const auto* feed = std::get_if<wire::ConfigFeed>(&envelope.body);
  if (node->cut || feed == nullptr) {
    return;
  }
  node->subscriber->OnFeed(net::EventLoop::Now(), *feed);
  NoteArrival(node);
}

void HollowFleet::NoteArrival(HollowNode* node) {
  const bool arrived = node->subscriber->ready() && expected_version_ > 0 &&
                       node->subscriber->config().version().value >= expected_version_;
  if (arrived && node->arrival_ms < 0) {
    node->arrival_ms = ToMilliseconds(net::EventLoop::Now() - expected_at_);
  }
}

size_t HollowFleet::CountAt(uint64_t version) const {
  return static_cast<size_t>(std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
    return node->subscriber->ready() && node->subscriber->config().version().value >= version;
  }));
}

void HollowFleet::Expect(Timestamp now, uint64_t version) {
  expected_at_ = now;
  expected_version_ = version;
  for (const auto& node : nodes_) {
    node->arrival_ms = -1;
    NoteArrival(node.get());
  }
}

std::vector<double> HollowFleet::ArrivalMilliseconds() const {
  std::vector<double> arrivals;
  for (const auto& node : nodes_) {
    if (node->arrival_ms >= 0) {
      arrivals.push_back(node->arrival_ms);
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  return arrivals;
}

}  // namespace pumicedyke::scale
