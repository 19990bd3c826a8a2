#include "emulator/leaf_model.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"

namespace pumicedyke::emulator {

using query::LeafReply;
using query::LeafRequest;
using query::LeafStatus;

LeafModel::LeafModel(LeafModelOptions options, Timestamp now)
    : options_(std::move(options)), random_(options_.seed), started_(now) {}

void LeafModel::SetHeldShards(const std::string& service, SnapshotId snapshot,
                              std::set<ShardId> shards) {
  held_[{service, snapshot}] = std::move(shards);
}

void LeafModel::RemoveSnapshot(const std::string& service, SnapshotId snapshot) {
  held_.erase({service, snapshot});
}

void LeafModel::Restart(Timestamp now) {
  started_ = now;
  draining_ = false;
  queue_.clear();
  running_.clear();
  replies_.clear();
}

SnapshotId LeafModel::NewestHeld(const LeafRequest& request) const {
  SnapshotId newest = request.snapshot;
  for (const auto& [key, shards] : held_) {
    if (key.first == request.service && shards.contains(request.shard)) {
      newest = std::max(newest, key.second);
    }
  }
  return newest;
}

Timestamp LeafModel::AfterPause(Timestamp time) const {
  if (options_.pause.count() == 0) {
    return time;
  }
  const Duration since = time.time_since_epoch() - options_.pause_offset;
  if (since.count() < 0) {
    return time;
  }
  const Duration into = since % options_.pause_every;
  return into < options_.pause ? time + (options_.pause - into) : time;
}

Timestamp LeafModel::FinishTime(Timestamp start, Duration service) const {
  Timestamp finish = AfterPause(start) + service;
  if (options_.pause.count() > 0) {
    // Work interrupted by a pause continues after it.
    const Duration since = AfterPause(start).time_since_epoch() - options_.pause_offset;
    if (since.count() >= 0) {
      const Duration until_next = options_.pause_every - since % options_.pause_every;
      if (service > until_next) {
        finish += options_.pause;
      }
    }
  }
  return finish;
}

Duration LeafModel::DrawService(Timestamp now) {
  std::lognormal_distribution<double> body(std::log(options_.median_ms), options_.sigma);
  std::uniform_real_distribution<double> uniform(0, 1);
  double ms = body(random_);
  if (uniform(random_) < options_.straggler_share) {
    std::uniform_real_distribution<double> factor(options_.straggler_min, options_.straggler_max);
    ms *= factor(random_);
  }
  if (now - started_ < options_.cold_time) {
    ms *= options_.cold_factor;
  }
  return Duration(static_cast<int64_t>(ms * 1000));
}

std::vector<query::ResultItem> LeafModel::ResultsOf(const std::string& service, ShardId shard,
                                                    SnapshotId snapshot, const std::string& query,
                                                    size_t count) {
  std::vector<query::ResultItem> items;
  for (size_t i = 0; i < count; ++i) {
    const std::string id = absl::StrCat(service, "/", shard.value, "/", i);
    const std::string seed = absl::StrCat(id, "/", query);
    const uint64_t hash = XXH64(seed.data(), seed.size(), 0);
    items.push_back({id, static_cast<double>(hash % 1000) / 1000.0,
                     "snapshot " + std::to_string(snapshot.value)});
  }
  return items;
}

LeafReply LeafModel::MakeReply(const LeafRequest& request, LeafStatus status) const {
  LeafReply reply;
  reply.origin = request.origin;
  reply.id = request.id;
  reply.leaf = options_.name;
  reply.shard = request.shard;
  reply.snapshot = request.snapshot;
  reply.status = status;
  reply.draining = draining_;
  reply.load = load();
  if (status == LeafStatus::kOk) {
    reply.results = ResultsOf(request.service, request.shard, request.snapshot, request.query,
                              options_.results_per_shard);
  }
  return reply;
}

void LeafModel::ReplyAt(Timestamp at, const LeafRequest& request, LeafStatus status) {
  replies_.emplace(at, MakeReply(request, status));
}

std::optional<LeafStatus> LeafModel::Refusal(const LeafRequest& request) const {
  if (draining_) {
    return LeafStatus::kDraining;
  }
  if (!options_.holds_everything) {
    const auto held = held_.find({request.service, request.snapshot});
    if (held == held_.end()) {
      return LeafStatus::kSnapshotNotHeld;
    }
    if (!held->second.contains(request.shard)) {
      return LeafStatus::kNotOwner;
    }
  }
  if (load() >= options_.slots * options_.shed_per_slot) {
    return LeafStatus::kShed;
  }
  return std::nullopt;
}

void LeafModel::Submit(Timestamp now, const LeafRequest& request) {
  ++received_;
  if (record_received_times_) {
    received_at_.push_back(now);
  }
  if (const std::optional<LeafStatus> refusal = Refusal(request)) {
    shed_ += *refusal == LeafStatus::kShed ? 1 : 0;
    ReplyAt(AfterPause(now), request, *refusal);
    return;
  }
  queue_.push_back({request, now});
  StartQueued(now);
}

void LeafModel::Cancel(Timestamp now, const std::string& origin, SubRequestId id) {
  const auto queued = std::find_if(queue_.begin(), queue_.end(), [&](const Job& job) {
    return job.request.id == id && job.request.origin == origin;
  });
  if (queued != queue_.end()) {
    ReplyAt(AfterPause(now), queued->request, LeafStatus::kCancelledBeforeStart);
    queue_.erase(queued);
  }
}

void LeafModel::RecordRun(const LeafRequest& request, Timestamp start) {
  runs_.push_back({request.origin, request.id, request.service, request.idempotency_key,
                   request.query, request.shard, request.snapshot, start});
}

void LeafModel::StartQueued(Timestamp now) {
  while (!queue_.empty() && running_.size() < options_.slots) {
    Job job = std::move(queue_.front());
    queue_.pop_front();
    const Timestamp start = AfterPause(now);
    if (start - job.received > job.request.budget) {
      ReplyAt(start, job.request, LeafStatus::kDeadlineBeforeStart);
      continue;
    }
    std::uniform_real_distribution<double> uniform(0, 1);
    if (options_.ignores_snapshot > 0 && uniform(random_) < options_.ignores_snapshot) {
      job.request.snapshot = NewestHeld(job.request);
    }
    if (options_.record_runs) {
      RecordRun(job.request, start);
    }
    running_.push_back({std::move(job), FinishTime(start, DrawService(start))});
  }
}

std::vector<LeafReply> LeafModel::Advance(Timestamp now) {
  std::vector<LeafReply> due;
  while (true) {
    const auto first =
        std::min_element(running_.begin(), running_.end(),
                         [](const Running& a, const Running& b) { return a.finish < b.finish; });
    if (first == running_.end() || first->finish > now) {
      break;
    }
    const Running done = std::move(*first);
    running_.erase(first);
    due.push_back(MakeReply(done.job.request, LeafStatus::kOk));
    StartQueued(done.finish);
  }
  while (!replies_.empty() && replies_.begin()->first <= now) {
    due.push_back(std::move(replies_.begin()->second));
    replies_.erase(replies_.begin());
  }
  return due;
}

std::optional<Timestamp> LeafModel::NextEvent() const {
  std::optional<Timestamp> next;
  for (const Running& running : running_) {
    next = next.has_value() ? std::min(*next, running.finish) : running.finish;
  }
  if (!replies_.empty()) {
    const Timestamp reply = replies_.begin()->first;
    next = next.has_value() ? std::min(*next, reply) : reply;
  }
  return next;
}

}  // namespace pumicedyke::emulator
