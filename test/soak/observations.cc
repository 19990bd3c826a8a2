#include "soak/observations.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace pumicedyke::soak {
namespace {

/// A shard of one request may be answered for by so many leafs: the routes' `max_attempts`.
constexpr int kMostRuns = 2;
/// Word of a fatal request is everywhere this long after the third leaf ended; gateways that were
/// stopped meanwhile may each send one more.
constexpr Duration kWordEverywhere = Seconds(8);
constexpr size_t kLateAttempts = 3;
constexpr size_t kMostBrokenTold = 20;

std::string Value(const http::ClientResponse& response, const std::string& name) {
  const std::string* value = http::FindHeader(response.headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

void Observations::Break(const std::string& what) {
  if (broken_.size() < kMostBrokenTold) {
    broken_.push_back(what);
  }
}

void Observations::Fail(const std::string& what) {
  const std::lock_guard lock(mutex_);
  Break(what);
}

void Observations::OnResponse(const SentRequest& request, const http::ClientResponse& response) {
  const std::lock_guard lock(mutex_);
  ++statuses_[response.ok() ? std::to_string(response.status) : "none"];
  const bool quarantined = response.body.find("quarantined") != std::string::npos;
  fatal_refused_ += request.fatal && quarantined ? 1 : 0;
  if (quarantined && !request.fatal) {
    Break(request.id + ": a harmless request is stopped");
  }
  constexpr int kOk = 200;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  if (response.status == kOk) {
    CheckSuccess(request, response);
  } else if (response.status == kTooMany || response.status == kUnavailable) {
    refused_as_not_run_.insert(request.id);
    if (Value(response, "Retry-After").empty()) {
      Break(request.id + ": refused without a time to come back");
    }
  }
}

void Observations::CheckSuccess(const SentRequest& request, const http::ClientResponse& response) {
  if (Value(response, "X-Request-Id") != request.id) {
    Break(request.id + ": got the answer to " + Value(response, "X-Request-Id"));
  }
  if (request.fatal) {
    Break(request.id + ": answered though it ends every leaf");
  } else if (request.gathers) {
    CheckGathered(request, response);
  } else if (!Value(response, "X-Server-Stamp").ends_with("." + request.id)) {
    Break(request.id + ": signed for another request");
  }
}

void Observations::CheckGathered(const SentRequest& request, const http::ClientResponse& response) {
  const std::vector<std::string> parts =
      absl::StrSplit(Value(response, "X-Part-Stamps"), ", ", absl::SkipEmpty());
  size_t missing = 0;
  const std::string told = Value(response, "X-Missing-Parts");
  if (!absl::SimpleAtoi(told, &missing) || parts.size() + missing != shards_) {
    Break(
        absl::StrCat(request.id, ": ", parts.size(), " parts and ", told, " missing of ", shards_));
  }
  const std::set<std::string> distinct(parts.begin(), parts.end());
  const bool own = std::all_of(parts.begin(), parts.end(), [&](const std::string& part) {
    return part.ends_with("." + request.id);
  });
  if (distinct.size() != parts.size() || !own) {
    Break(request.id + ": a part stands twice or belongs to another request");
  }
}

void Observations::OnRan(const std::string& service, const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  ++runs_[{request_id, service}];
}

void Observations::OnLeafEnded(Timestamp now, const std::string& request_id) {
  constexpr uint64_t kThird = 3;
  const std::lock_guard lock(mutex_);
  if (++leafs_ended_ == kThird) {
    third_end_ = now;
  }
  if (leafs_ended_ > kThird && now - third_end_ > kWordEverywhere) {
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
    Break(absl::StrCat("version ", version, " was read after ", acknowledged_before,
                       " had been acknowledged"));
  }
}

void Observations::OnGatewayFault() {
  const std::lock_guard lock(mutex_);
  ++gateway_faults_;
}

void Observations::CheckAtEnd() {
  const std::lock_guard lock(mutex_);
  for (const auto& [run, count] : runs_) {
    const auto& [request, service] = run;
    if (refused_as_not_run_.contains(request)) {
      Break(absl::StrCat(request, ": refused as not run, but ", service, " ran it"));
    }
    if (count > kMostRuns) {
      Break(absl::StrCat(request, ": ", service, " ran it ", count, " times"));
    }
  }
  if (late_fatal_.size() > kLateAttempts + gateway_faults_) {
    Break(absl::StrCat("a request that ends leafs reached some in ", late_fatal_.size(),
                       " attempts after the third had ended, beside ", gateway_faults_,
                       " faults of gateways"));
  }
}

bool Observations::held() const {
  const std::lock_guard lock(mutex_);
  return broken_.empty();
}

Json Observations::Summary() const {
  const std::lock_guard lock(mutex_);
  return {{"answers", statuses_},
          {"broken", broken_},
          {"acknowledged", acknowledged_},
          {"reads", reads_},
          {"gateway_faults", gateway_faults_},
          {"leafs_ended", leafs_ended_},
          {"late_fatal_attempts", late_fatal_.size()},
          {"fatal_refused", fatal_refused_}};
}

}  // namespace pumicedyke::soak
