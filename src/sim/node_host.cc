#include "sim/node_host.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::sim {
namespace {

constexpr Duration kFirstReportTimeout = Seconds(5);
constexpr Duration kMaxConfigAge = Seconds(3);
constexpr Duration kMinTickInterval = Milliseconds(1);

}  // namespace

NodeHost::NodeHost(ClockQueue* clock, const std::string& name, node::NodeOptions options,
                   const DisabledMechanisms& disabled, Callbacks callbacks)
    : SimProcess(clock, name),
      options_(std::move(options)),
      disabled_(disabled),
      callbacks_(std::move(callbacks)) {
  options_.subscriber.cluster = "sim";
  options_.subscriber.node = name;
  options_.subscriber.monotone_version = !disabled_.contains("monotone-version");
  options_.execution.snapshot_pin = !disabled_.contains("snapshot-pin");
  options_.execution.coverage_dedupe = !disabled_.contains("coverage-dedupe");
  options_.execution.sent_tracking = !disabled_.contains("sent-tracking");
  options_.reply_id_check = !disabled_.contains("reply-id-check");
  options_.ledger_before_dispatch = !disabled_.contains("ledger-before-dispatch");
  options_.record_before_answer = !disabled_.contains("record-before-answer");
  options_.wait_for_platform = true;
  options_.knobs.first_report_timeout = kFirstReportTimeout;
  options_.max_config_age = kMaxConfigAge;
  options_.leaving_mark = !disabled_.contains("leaving-mark");
}

void NodeHost::Start() {
  MarkStarted();
  ++incarnation_;
  options_.incarnation = incarnation_;
  options_.subscriber.incarnation = incarnation_;
  server_ = std::make_unique<node::NodeServer>(options_, LocalNow());
  next_tick_ = Timestamp{};
  accepts_ = true;
  Step();
}

void NodeHost::Kill() {
  MarkDead();
  server_.reset();
  stopped_ = nullptr;
}

void NodeHost::PlannedStop(std::function<void()> done) {
  stopped_ = std::move(done);
  stop_.Start(LocalNow());
  if (disabled_.contains("drain-before-exit")) {
    std::function<void()> stopped = std::move(stopped_);
    Kill();
    stopped();
  }
}

void NodeHost::Step() {
  server_->Tick(LocalNow());
  DispatchOutput();
  if (stopped_ != nullptr && MayExit()) {
    std::function<void()> stopped = std::move(stopped_);
    Kill();
    stopped();
    return;
  }
  ScheduleTick();
}

bool NodeHost::MayExit() {
  const server::StopPhase phase = stop_.Advance(LocalNow());
  // Callers keep a connection open until the node closes it.
  accepts_ = accepts_ && (phase != server::StopPhase::kClosingIdle || HasUnread());
  const size_t connections = accepts_ ? 1 : 0;
  return server::StopSequence::MayExit(phase, server_->Drained(), connections);
}

void NodeHost::ScheduleTick() {
  const Timestamp now = LocalNow();
  const Timestamp wake = std::max(server_->NextWake(now), now + kMinTickInterval);
  const bool already_scheduled = next_tick_ > now && next_tick_ <= wake;
  if (already_scheduled) {
    return;
  }
  next_tick_ = wake;
  RunAfter(wake - now, [this, wake] {
    if (next_tick_ == wake) {
      next_tick_ = Timestamp{};
      Step();
    }
  });
}

void NodeHost::DispatchOutput() {
  node::NodeOutput output = server_->TakeOutput();
  for (const query::LeafRequest& request : output.sends) {
    callbacks_.to_leaf(this, request);
  }
  for (const query::SubRequestCancel& cancel : output.cancels) {
    callbacks_.cancel(this, cancel);
  }
  for (const wire::Envelope& envelope : output.control) {
    callbacks_.to_control(this, server_->control(), envelope);
  }
  for (const node::CallerAnswer& answer : output.answers) {
    callbacks_.to_caller(this, answer.request, answer.answer);
  }
  callbacks_.after_step(this);
}

void NodeHost::Ask(RequestId id, const query::CallerRequest& request) {
  Run([this, id, request] {
    server_->OnCallerRequest(LocalNow(), id, request);
    DispatchOutput();
    ScheduleTick();
  });
}

void NodeHost::Reply(const query::LeafReply& reply) {
  Run([this, reply] {
    server_->OnLeafReply(LocalNow(), reply);
    DispatchOutput();
    ScheduleTick();
  });
}

void NodeHost::Health(const std::string& leaf, bool draining) {
  Run([this, leaf, draining] { server_->OnLeafHealth(LocalNow(), leaf, draining); });
}

void NodeHost::PlatformLeaving(const std::set<std::string>& leafs) {
  Run([this, leafs] { server_->OnPlatformLeaving(leafs); });
}

void NodeHost::ReceiveFromControl(const wire::Envelope& envelope) {
  Run([this, envelope] {
    server_->OnControlMessage(LocalNow(), envelope);
    DispatchOutput();
    ScheduleTick();
  });
}

void NodeHost::ControlClosed(size_t control) {
  Run([this, control] {
    if (server_->control() == control) {
      server_->OnControlDisconnected(LocalNow());
      Step();
    }
  });
}

}  // namespace pumicedyke::sim
