#include "sim/actors.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "query/messages.h"

namespace pumicedyke::sim {
namespace {

constexpr int kMaxAttempts = 5;
constexpr int kMaxSends = 10;
constexpr Duration kAnswerTimeout = Milliseconds(1500);
constexpr Duration kOperatorTimeout = Milliseconds(1200);

}  // namespace

// ---- Callers ------------------------------------------------------------------------------------

Caller::Caller(World* world, size_t node, std::string name)
    : world_(world), node_(node), name_(std::move(name)) {}

void Caller::Start(Timestamp end) {
  end_ = end;
  Loop();
}

size_t Caller::AvailableNode() const {
  // The caller uses the other node while its own is stopping or down.
  const NodeHost& own = *world_->nodes[node_];
  const bool usable = own.alive() && !own.stopping();
  return usable ? node_ : (node_ + 1) % world_->nodes.size();
}

void Caller::Loop() {
  if (world_->clock.now() >= end_) {
    return;
  }
  constexpr double kJobShare = 0.15;
  if (world_->Uniform() < kJobShare) {
    StartJob();
  } else {
    SendRead();
  }
  world_->clock.After(Milliseconds(world_->Between(15, 60)), [this] { Loop(); });
}

void Caller::SendRead() {
  query::CallerRequest request;
  request.service = kReadService;
  request.query = absl::StrCat(name_, " read ", ++request_count_);
  request.request_class = world_->Uniform() < 0.4 ? "full" : "quick";
  world_->Ask(AvailableNode(), request, [this, request](const query::Answer& answer) {
    if (!answer.continuation.empty() && world_->Uniform() < 0.5) {
      FollowContinuation(request, answer);
    }
  });
}

// ---- A caller whose request crashes leafs -------------------------------------------------------

query::CallerRequest FatalCaller::Request() {
  query::CallerRequest request;
  request.service = kReadService;
  request.query = kFatalQuery;
  request.request_class = "full";
  return request;
}

void FatalCaller::Start(Timestamp end) {
  end_ = end;
  Loop();
}

void FatalCaller::Loop() {
  if (world_->clock.now() >= end_) {
    return;
  }
  if (options_.at_both_nodes) {
    SendToBothNodes();
    world_->clock.After(Milliseconds(world_->Between(20, 60)), [this] { SendToBothNodes(); });
  } else {
    const auto node = static_cast<size_t>(world_->Between(0, 1));
    world_->Ask(node, Request(), [](const query::Answer&) {});
  }
  const Duration pause(world_->Between(options_.min_pause.count(), options_.max_pause.count()));
  world_->clock.After(pause, [this] { Loop(); });
}

void FatalCaller::SendToBothNodes() {
  for (const size_t node : {size_t{0}, size_t{1}}) {
    world_->Ask(node, Request(), [](const query::Answer&) {});
  }
}

// ---- A caller that retries quickly --------------------------------------------------------------

void RetryingCaller::Start(Timestamp end) {
  end_ = end;
  Loop();
}

void RetryingCaller::Loop() {
  if (world_->clock.now() >= end_) {
    return;
  }
  constexpr int kTries = 12;
  SendUntilServed(absl::StrCat("impatient ", ++request_count_), kTries);
  world_->clock.After(Milliseconds(world_->Between(20, 80)), [this] { Loop(); });
}

void RetryingCaller::SendUntilServed(const std::string& query, int tries) {
  if (tries == 0) {
    return;
  }
  query::CallerRequest request;
  request.service = kReadService;
  request.query = absl::StrCat(query, " ", std::string(1, kAttemptMarker), tries);
  request.request_class = "full";
  const auto node = static_cast<size_t>(tries % 2);
  const auto again = [this, query, tries](const query::Answer& answer) {
    const bool served = answer.code == ResultCode::kOk || answer.code == ResultCode::kPartial;
    if (!served) {
      world_->clock.After(Milliseconds(world_->Between(10, 250)),
                          [this, query, tries] { SendUntilServed(query, tries - 1); });
    }
  };
  world_->Ask(node, request, again);
}

// ---- A caller that repeats completed jobs -------------------------------------------------------

void RepeatingCaller::Start(Timestamp end) {
  end_ = end;
  Loop();
}

void RepeatingCaller::Loop() {
  if (world_->clock.now() >= end_) {
    return;
  }
  query::CallerRequest request;
  request.service = kJobService;
  request.idempotency_key = absl::StrCat("repeated-", ++request_count_);
  request.query = "work of " + request.idempotency_key;
  const auto node = static_cast<size_t>(request_count_ % 2);
  world_->Ask(node, request, [this, request, node](const query::Answer& answer) {
    constexpr int kTimes = 3;
    if (answer.code == ResultCode::kOk) {
      RepeatRequest(request, 1 - node, kTimes);
    }
  });
  world_->clock.After(Milliseconds(world_->Between(5, 25)), [this] { Loop(); });
}

void RepeatingCaller::RepeatRequest(const query::CallerRequest& request, size_t node, int times) {
  if (times == 0) {
    return;
  }
  // Repeats spread over time also detect a permanently lost outcome if the first repeats could not
  // be answered.
  world_->clock.After(Milliseconds(world_->Between(1, 800)), [this, request, node, times] {
    world_->Ask(node, request, [](const query::Answer&) {});
    RepeatRequest(request, 1 - node, times - 1);
  });
}

void Caller::FollowContinuation(const query::CallerRequest& request, const query::Answer& answer) {
  const absl::StatusOr<query::Continuation> token = query::DecodeContinuation(answer.continuation);
  if (!token.ok()) {
    world_->history.Fail(Invariant::kOwnCompleteAnswer, world_->clock.now(),
                         request.query + ": the continuation token cannot be read");
    return;
  }
  query::CallerRequest rest = request;
  rest.query = request.query + " rest";
  rest.snapshot = token->snapshot;
  rest.shards = token->shards;
  world_->clock.After(Milliseconds(20), [this, rest] {
    world_->Ask(AvailableNode(), rest, [](const query::Answer&) {});
  });
}

void Caller::StartJob() {
  auto job = std::make_shared<Job>();
  job->key = absl::StrCat(name_, "-job-", ++request_count_);
  AttemptJob(job, AvailableNode());
  constexpr double kDoubleSubmitShare = 0.2;
  if (world_->Uniform() < kDoubleSubmitShare) {
    // Models a user who submits the same job twice, the second time through the other node.
    const size_t other = (node_ + 1) % world_->nodes.size();
    world_->clock.After(Milliseconds(world_->Between(0, 40)),
                        [this, job, other] { AttemptJob(job, other); });
  }
}

void Caller::AttemptJob(const std::shared_ptr<Job>& job, size_t node) {
  if (job->settled || ++job->attempts > kMaxAttempts) {
    return;
  }
  query::CallerRequest request;
  request.service = kJobService;
  request.query = "work of " + job->key;
  request.idempotency_key = job->key;
  auto answered = std::make_shared<bool>(false);
  world_->Ask(node, request, [this, job, answered, node](const query::Answer& answer) {
    *answered = true;
    if (answer.code == ResultCode::kOk) {
      job->settled = true;
      return;
    }
    world_->clock.After(Milliseconds(world_->Between(50, 400)),
                        [this, job, node] { AttemptJob(job, node); });
  });
  world_->clock.After(kAnswerTimeout, [this, job, answered, node] {
    if (!*answered) {
      AttemptJob(job, (node + 1) % world_->nodes.size());
    }
  });
}

// ---- Operators ----------------------------------------------------------------------------------

void Operators::Start(Timestamp end) {
  end_ = end;
  Loop();
}

void Operators::Loop() {
  if (world_->clock.now() >= end_) {
    return;
  }
  ReadThenSubmit("operator-0");
  if (options_.races) {
    ReadThenSubmit("operator-1");
  }
  constexpr double kRepartitionShare = 0.4;
  if (options_.repartitions && world_->Uniform() < kRepartitionShare) {
    world_->Repartition(world_->Uniform() < 0.7 ? kReadService : kJobService);
  }
  world_->clock.After(Milliseconds(world_->Between(150, options_.max_pause.count() / 1000)),
                      [this] { Loop(); });
}

void Operators::ReadThenSubmit(const std::string& operator_name) {
  const size_t control = static_cast<size_t>(world_->Between(0, 2));
  world_->ReadConfig(operator_name, control,
                     [this, operator_name](const config::ConfigState& config) {
                       const config::Service* service = config.FindService(kReadService);
                       if (service == nullptr) {
                         return;
                       }
                       config::Change change = world_->MakePolicyChange(
                           kReadService, absl::StrCat(operator_name, "-", ++submissions_));
                       change.expected_revision = service->revision;
                       SubmitUntilAnswered(operator_name, change, 0);
                     });
}

void Operators::SubmitUntilAnswered(const std::string& operator_name, const config::Change& change,
                                    int sends) {
  auto answered = std::make_shared<bool>(false);
  const auto on_result = [answered](const config::ChangeResult& result) {
    const auto code = static_cast<ResultCode>(result.code);
    *answered |= code != ResultCode::kNoQuorum && code != ResultCode::kShuttingDown;
  };
  const size_t control = static_cast<size_t>(world_->Between(0, 2));
  world_->Submit(operator_name, control, change, on_result);
  constexpr double kDoubleSendShare = 0.2;
  if (world_->Uniform() < kDoubleSendShare) {
    world_->Submit(operator_name, (control + 1) % world_->controls.size(), change, on_result);
  }
  world_->clock.After(kOperatorTimeout, [this, operator_name, change, answered, sends] {
    if (!*answered && sends < kMaxSends) {
      SubmitUntilAnswered(operator_name, change, sends + 1);
    }
  });
}

}  // namespace pumicedyke::sim
