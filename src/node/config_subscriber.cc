#include "node/config_subscriber.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "common/json.h"
#include "wire/packing.h"

namespace pumicedyke::node {

ConfigSubscriber::ConfigSubscriber(SubscriberOptions options, Timestamp now)
    : options_(std::move(options)),
      control_(std::hash<std::string>{}(options_.node) % options_.control_machines),
      last_feed_(now),
      started_(now),
      switched_at_(now),
      next_hello_(now) {}

std::optional<wire::Envelope> ConfigSubscriber::Tick(Timestamp now) {
  if (Silent(now) && now - switched_at_ > SilenceLimit()) {
    SwitchToNext(now);
  }
  if (now < next_hello_) {
    return std::nullopt;
  }
  next_hello_ = now + (ready_ ? options_.hello_interval : options_.starting_hello_interval);
  last_hello_ = now;
  const auto sent = static_cast<uint64_t>(now.time_since_epoch().count());
  wire::NodeHello hello{options_.node, options_.incarnation, config_.version().value, !ready_,
                        sent};
  return wire::Envelope{options_.cluster, config_.version().value, std::move(hello)};
}

void ConfigSubscriber::SwitchToNext(Timestamp now) {
  control_ = (control_ + 1) % options_.control_machines;
  switched_at_ = now;
  // If all machines are down or stopping, switching must not become a busy loop.
  next_hello_ = std::max(now, last_hello_ + options_.min_hello_interval);
}

void ConfigSubscriber::SwitchTo(Timestamp now, size_t control) {
  control_ = control;
  switched_at_ = now;
  next_hello_ = now;
}

void ConfigSubscriber::OnControlForgotten(size_t index) {
  --options_.control_machines;
  if (index < control_) {
    --control_;
  }
}

void ConfigSubscriber::OnDisconnected(Timestamp now) { SwitchToNext(now); }

bool ConfigSubscriber::OnFeed(Timestamp now, const wire::ConfigFeed& feed) {
  const uint64_t before = config_.version().value;
  if (feed.version < before && options_.monotone_version) {
    // A replica that restarted and is behind, whose proof does not cover the version of this node.
    return false;
  }
  if (feed.full) {
    const absl::StatusOr<std::string> text = wire::Unpack(feed.state);
    if (!text.ok()) {
      return false;
    }
    absl::StatusOr<config::ConfigState> state = config::ConfigState::Deserialize(*text);
    if (!state.ok()) {
      return false;
    }
    const bool older = state->version().value < before;
    if (older && options_.monotone_version) {
      return false;
    }
    config_ = *std::move(state);
    ready_ = true;
  } else if (!ready_ || !ApplyChanges(feed)) {
    next_hello_ = now;
    return config_.version().value != before;
  }
  last_feed_ = now;
  // Only the answer to a hello proves freshness, since a message may be delayed for long.
  if (feed.echo != 0) {
    const Timestamp hello_sent{Duration(static_cast<int64_t>(feed.echo))};
    proven_at_ = std::max(proven_at_, hello_sent - feed.proof_age);
  }
  return config_.version().value != before || feed.full;
}

bool ConfigSubscriber::ApplyChanges(const wire::ConfigFeed& feed) {
  for (const wire::ConfigChange& change : feed.changes) {
    const uint64_t version = config_.version().value;
    if (change.version <= version) {
      continue;
    }
    if (change.version != version + 1) {
      return false;  // A message was lost; the next hello asks for the missing changes.
    }
    const absl::StatusOr<std::string> command = wire::Unpack(change.command);
    if (!command.ok()) {
      return false;
    }
    absl::StatusOr<config::Change> parsed = config::ParseChange(ParseJson(*command));
    if (!parsed.ok()) {
      return false;
    }
    config_.Apply(*parsed);
    if (options_.record_changed_leafs) {
      RecordChangedLeafs(*parsed);
    }
  }
  return config_.version().value >= feed.version;
}

void ConfigSubscriber::RecordChangedLeafs(const config::Change& change) {
  if (change.kind == config::ChangeKind::kRetireLeaf) {
    changed_leafs_.push_back(change.leaf);
  }
  for (const config::ReportedLeaf& leaf : change.reported) {
    changed_leafs_.push_back(leaf.id);
  }
}

}  // namespace pumicedyke::node
