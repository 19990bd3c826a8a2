// A leaf in the simulator: the emulator's LeafModel behind simulated connections.
#pragma once

#include <functional>
#include <string>

#include "emulator/leaf_model.h"
#include "sim/sim_process.h"

namespace pumicedyke::sim {

class LeafHost : public SimProcess {
 public:
  using ReplyCb = std::function<void(const query::LeafReply&)>;

  LeafHost(ClockQueue* clock, const emulator::LeafModelOptions& options, ReplyCb on_reply)
      : SimProcess(clock, options.name),
        model_(options, clock->now()),
        on_reply_(std::move(on_reply)) {
    model_.RecordReceivedTimes();
  }

  void Start() {
    MarkStarted();
    model_.Restart(clock_->now());
  }
  void Kill() {
    MarkDead();
    model_.Restart(clock_->now());
  }
  void Submit(const query::LeafRequest& request) {
    Run([this, request] {
      model_.Submit(clock_->now(), request);
      Pump();
    });
  }
  void Cancel(const std::string& origin, SubRequestId id) {
    Run([this, origin, id] {
      model_.Cancel(clock_->now(), origin, id);
      Pump();
    });
  }
  void QueryHealth(const std::function<void(bool draining)>& on_report) {
    Run([this, on_report] { on_report(model_.draining()); });
  }
  emulator::LeafModel* model() { return &model_; }

 private:
  void Pump() {
    for (const query::LeafReply& reply : model_.Advance(clock_->now())) {
      on_reply_(reply);
    }
    if (const auto next = model_.NextEvent()) {
      RunAfter(*next - clock_->now(), [this] { Pump(); });
    }
  }

  emulator::LeafModel model_;
  ReplyCb on_reply_;
};

}  // namespace pumicedyke::sim
