#include "soak/observations.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "net/event_loop.h"
#include "soak/hostile_leaf.h"

namespace pumicedyke::soak {
namespace {

/// Maximum number of leafs that may run a shard of a request: the routes' `max_attempts`.
constexpr int kMaxRuns = 2;
/// All gateways refuse the fatal request this long after the third crash. Each gateway that was
/// paused or stopped in that time may send it once more.
constexpr Duration kQuarantineDelay = Seconds(8);
constexpr size_t kMaxLateAttempts = 3;
constexpr size_t kMaxViolations = 20;
/// The body of an answer of a leaf without bad spells.
constexpr char kPlainBody[] = "sixteen bytes...";
/// A client may notice the end of a process this much later.
constexpr Duration kNoticed = Seconds(1);

std::string Value(const http::ClientResponse& response, const std::string& name) {
  const std::string* value = http::FindHeader(response.headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

void Observations::AddViolation(const std::string& what) {
  if (violations_.size() < kMaxViolations) {
    violations_.push_back(what);
  }
}

void Observations::Fail(const std::string& what) {
  const std::lock_guard lock(mutex_);
  AddViolation(what);
}

void Observations::OnResponse(const SentRequest& request, const http::ClientResponse& response) {
  const std::lock_guard lock(mutex_);
  const std::string status = response.ok() ? std::to_string(response.status) : "none";
  ++(request.patient ? patient_statuses_ : statuses_)[status];
  const Timestamp now = net::EventLoop::Now();
  if (!response.ok() && !response.not_sent && now - request.sent < request.timeout) {
    unanswered_.push_back({request, now, !response.connection_lost});
  }
  const bool quarantined = response.body.find("quarantined") != std::string::npos;
  fatal_refused_ += request.fatal && quarantined ? 1 : 0;
  if (quarantined && !request.fatal) {
    AddViolation(request.id + ": a harmless request is quarantined");
  }
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirection = 300;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  if (response.status >= kFirstSuccess && response.status < kFirstRedirection) {
    CheckSuccess(request, response);
  } else if (response.status == kTooMany || response.status == kUnavailable) {
    refused_as_not_run_.insert(request.id);
    if (Value(response, "Retry-After").empty()) {
      AddViolation(request.id + ": refused without a Retry-After header");
    }
  }
}

void Observations::CheckSuccess(const SentRequest& request, const http::ClientResponse& response) {
  if (Value(response, "X-Request-Id") != request.id) {
    AddViolation(request.id + ": got the answer to " + Value(response, "X-Request-Id"));
  }
  if (request.fatal) {
    AddViolation(request.id + ": answered although it crashes every leaf");
  } else if (request.gathers) {
    CheckGathered(request, response);
  } else if (!Value(response, "X-Server-Stamp").ends_with("." + request.id)) {
    AddViolation(request.id + ": has the signature of another request");
  } else if (response.body != (request.patient ? HostileBody(request.id) : kPlainBody)) {
    AddViolation(absl::StrCat(request.id, ": ", response.status, " from ", request.gateway,
                              " without the leaf's whole body: ", response.body.size(), " bytes"));
  }
}

void Observations::CheckGathered(const SentRequest& request, const http::ClientResponse& response) {
  const std::vector<std::string> parts =
      absl::StrSplit(Value(response, "X-Part-Stamps"), ", ", absl::SkipEmpty());
  size_t missing = 0;
  const std::string missing_text = Value(response, "X-Missing-Parts");
  if (!absl::SimpleAtoi(missing_text, &missing) || parts.size() + missing != shards_) {
    AddViolation(absl::StrCat(request.id, ": ", parts.size(), " parts and ", missing_text,
                              " missing of ", shards_));
  }
  const std::set<std::string> distinct(parts.begin(), parts.end());
  const bool own = std::all_of(parts.begin(), parts.end(), [&](const std::string& part) {
    return part.ends_with("." + request.id);
  });
  if (distinct.size() != parts.size() || !own) {
    AddViolation(request.id + ": a part is duplicated or belongs to another request");
  }
}

void Observations::OnRan(const std::string& service, const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  ++runs_[{request_id, service}];
}

void Observations::OnArrival(const std::string& service, const std::string& request_id) {
  arrivals_.OnArrival(service, request_id);
  const std::lock_guard lock(mutex_);
  arrived_.insert(request_id);
}

void Observations::OnLeafCrashed(Timestamp now, const std::string& request_id) {
  constexpr uint64_t kThird = 3;
  const std::lock_guard lock(mutex_);
  if (++leaf_crashes_ == kThird) {
    third_crash_time_ = now;
  }
  if (leaf_crashes_ > kThird && now - third_crash_time_ > kQuarantineDelay) {
    late_fatal_.insert(request_id);
  }
}

void Observations::OnAcknowledged(uint64_t version) {
  const std::lock_guard lock(mutex_);
  acknowledged_ = std::max(acknowledged_, version);
}

uint64_t Observations::acknowledged() const {
  const std::lock_guard lock(mutex_);
  return acknowledged_;
}

void Observations::OnRead(uint64_t version, uint64_t acknowledged_before) {
  const std::lock_guard lock(mutex_);
  ++reads_;
  if (version < acknowledged_before) {
    AddViolation(absl::StrCat("version ", version, " was read after ", acknowledged_before,
                              " had been acknowledged"));
  }
}

void Observations::OnGatewayFault() {
  const std::lock_guard lock(mutex_);
  ++gateway_faults_;
}

void Observations::OnDisruption(const std::string& gateway, Timestamp from, Timestamp to) {
  const std::lock_guard lock(mutex_);
  disruptions_[gateway].push_back({from, to});
}

void Observations::OnStopping(const std::string& process, Timestamp now) {
  const std::lock_guard lock(mutex_);
  stops_[process].push_back({now});
}

void Observations::OnStopped(const std::string& process, Timestamp now, StopEnd end) {
  const std::lock_guard lock(mutex_);
  stops_[process].back().to = now;
  ++(end == StopEnd::kByItself ? stops_by_themselves_ : stops_by_kill_);
}

bool Observations::WasDisrupted(const Unanswered& unanswered) const {
  const auto it = disruptions_.find(unanswered.request.gateway);
  return it != disruptions_.end() &&
         std::any_of(it->second.begin(), it->second.end(), [&](const Period& disruption) {
           return disruption.from <= unanswered.ended && unanswered.request.sent <= disruption.to;
         });
}

void Observations::CheckStops() {
  for (const Unanswered& unanswered : unanswered_) {
    const SentRequest& request = unanswered.request;
    // A request that nobody read may have crossed the close of an idle connection.
    const bool was_read = unanswered.begun || arrived_.contains(request.id);
    if (!was_read || WasDisrupted(unanswered)) {
      continue;
    }
    for (const Period& stop : stops_[request.gateway]) {
      if (unanswered.ended >= stop.from && unanswered.ended - kNoticed <= stop.to) {
        ++lost_;
        AddViolation(absl::StrCat(request.id, ": lost by the stopping ", request.gateway, ", sent ",
                                  (request.sent - stop.from) / Milliseconds(1), " ms and ended ",
                                  (unanswered.ended - stop.from) / Milliseconds(1),
                                  " ms after SIGTERM"));
      }
    }
  }
}

void Observations::CheckAtEnd() {
  const std::lock_guard lock(mutex_);
  CheckStops();
  if (const double excess = arrivals_.MaxExcess(repeat_limit_); excess > 0) {
    AddViolation(absl::StrCat("repeats beyond the limit of all gateways: ", excess));
  }
  for (const auto& [run, count] : runs_) {
    const auto& [request, service] = run;
    if (refused_as_not_run_.contains(request)) {
      AddViolation(absl::StrCat(request, ": refused as not run, but ", service, " ran it"));
    }
    if (count > kMaxRuns) {
      AddViolation(absl::StrCat(request, ": ", service, " ran it ", count, " times"));
    }
  }
  if (late_fatal_.size() > kMaxLateAttempts + gateway_faults_) {
    AddViolation(absl::StrCat("a request that crashes leafs reached some in ", late_fatal_.size(),
                              " attempts after the third crash, with ", gateway_faults_,
                              " gateway faults"));
  }
}

bool Observations::held() const {
  const std::lock_guard lock(mutex_);
  return violations_.empty();
}

Json Observations::Summary() const {
  const std::lock_guard lock(mutex_);
  return {{"answers", statuses_},
          {"patient_answers", patient_statuses_},
          {"broken", violations_},
          {"repeats", arrivals_.Repeats()},
          {"acknowledged", acknowledged_},
          {"reads", reads_},
          {"gateway_faults", gateway_faults_},
          {"stops_by_themselves", stops_by_themselves_},
          {"stops_by_kill", stops_by_kill_},
          {"lost_by_stops", lost_},
          {"leafs_ended", leaf_crashes_},
          {"late_fatal_attempts", late_fatal_.size()},
          {"fatal_refused", fatal_refused_}};
}

}  // namespace pumicedyke::soak
