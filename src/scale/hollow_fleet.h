// Many nodes in one process that do everything a node does for control and no query work: the
// product's ConfigSubscriber on real connections to real control machines.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/frame_socket.h"
#include "node/config_subscriber.h"

namespace pumicedyke::scale {

struct FleetTraffic {
  uint64_t messages_out = 0;
  uint64_t bytes_out = 0;
  uint64_t messages_in = 0;
  uint64_t bytes_in = 0;
};

class HollowFleet {
 public:
  HollowFleet(net::EventLoop* loop, std::string cluster, std::vector<std::string> control);

  /// Starts nodes until there are `count`.
  void Grow(size_t count);
  /// The first `count` nodes lose their process and start anew, knowing nothing.
  void Restart(size_t count);
  /// The first `count` nodes hear and say nothing until Heal().
  void CutOff(size_t count);
  void Heal();

  /// Call on every tick of the loop.
  void Tick(Timestamp now);

  size_t size() const { return nodes_.size(); }
  /// Nodes that are ready and at `version` or newer.
  size_t CountAt(uint64_t version) const;
  /// When each node reached the version that was set by Expect(), in milliseconds after it.
  void Expect(Timestamp now, uint64_t version);
  std::vector<double> ArrivalMilliseconds() const;
  const FleetTraffic& traffic() const { return traffic_; }

 private:
  struct HollowNode {
    std::string name;
    uint64_t incarnation = 0;
    std::unique_ptr<node::ConfigSubscriber> subscriber;
    std::unique_ptr<net::FrameClient> connection;
    size_t connected_to = 0;
    bool cut = false;
    double arrival_ms = -1;
  };

  void Start(HollowNode* node, Timestamp now);
  void Send(HollowNode* node, const wire::Envelope& envelope);
  void OnMessage(HollowNode* node, const wire::Envelope& envelope);
  void NoteArrival(HollowNode* node);

  net::EventLoop* loop_;
  std::string cluster_;
  std::vector<std::string> control_;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
  FleetTraffic traffic_;
  Timestamp expected_at_{};
  uint64_t expected_version_ = 0;
};

}  // namespace pumicedyke::scale
