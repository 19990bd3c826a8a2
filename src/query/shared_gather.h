// A request over many shards that several gateways execute together. The shards are divided into
// groups, each group is sent as a partial query to one merging gateway, and the partial answers are
// combined. This is the side of the gateway that the client is connected to. Events in, actions
// out; no socket, clock or thread.
//
// The limit on attempts per shard holds although a merger may stop, pause or be slow at any time.
// The first merger of a group accepts its partial query and sends once to each shard; it sends
// again only after its acceptance was confirmed. If it does not answer, other mergers are put on
// standby: they accept as well, but send nothing before they are confirmed, so that any number of
// them may get the query without using up an attempt. The group is assigned to whichever answers
// first. If that is the first merger, it continues with all attempts. If it is one on standby, it
// is confirmed with one attempt less, and the first merger can no longer be confirmed. After a
// confirmation all attempts count as used.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/result_code.h"
#include "common/types.h"
#include "policy/policy_program.h"
#include "query/answer_timing.h"
#include "query/messages.h"
#include "wire/messages.h"

namespace pumicedyke::query {

/// Consecutive shards of a request, by their index in its document.
struct ShardRange {
  size_t first = 0;
  size_t count = 0;
};

struct SharedGatherOptions {
  /// A merger that has not accepted the partial query within this time is slow or stopped: another
  /// one is put on standby.
  Duration accept_timeout = Milliseconds(20);
  /// A merger that has accepted and then sends nothing for this long is abandoned. Mergers send a
  /// message at least every GatewayKnobs::progress_interval.
  Duration silence_limit = Milliseconds(200);
  /// Maximum number of mergers tried for one group.
  size_t max_mergers = 5;
};

/// Partial query for one group, to be sent to one merger.
struct OutgoingPartialQuery {
  uint64_t id = 0;
  size_t group = 0;
  std::string merger;
  uint32_t max_attempts = 1;
  /// Another merger received the group before and may have sent sub-requests.
  bool reassigned = false;
  /// Nothing may be sent before the confirmation.
  bool await_confirmation = false;
};

struct GroupCancel {
  uint64_t id = 0;
  std::string merger;
  bool stop_work = false;
};

struct GroupConfirmation {
  uint64_t id = 0;
  std::string merger;
};

/// The combined answer.
struct SharedOutcome {
  ResultCode code = ResultCode::kInternal;
  RunState run = RunState::kNotRun;
  std::vector<std::string> signatures;
  /// The top records of each partial answer.
  std::vector<std::string> records;
  std::vector<MissingShard> missing;
  uint32_t extra = 0;
};

struct SharedGatherActions {
  std::vector<OutgoingPartialQuery> partial_queries;
  /// Partial queries that were accepted in time.
  std::vector<GroupConfirmation> confirmations;
  std::vector<GroupCancel> cancels;
  /// Mergers that were abandoned because they did not answer.
  std::vector<std::string> abandoned_mergers;
  std::optional<SharedOutcome> outcome;
};

/// Outcome of one partial query, for logs and diagnostics.
struct PartialQueryRecord {
  size_t group = 0;
  std::string merger;
  Duration sent{};
  /// Time until the first message of the merger; unset: none arrived.
  std::optional<Duration> accepted_after;
  /// "asked", "accepted", "done", "refused", "unused" or "lost".
  const char* state = "";
};

/// Used on the event loop's thread only.
class SharedGather {
 public:
  /// @return the merger for a group, none of `tried`; unset: none is available.
  using ChooseCb = std::function<std::optional<std::string>(Timestamp now, size_t group,
                                                            const std::set<std::string>& tried)>;
  using NextIdCb = std::function<uint64_t()>;
  /// @return when an answer with missing shard results is sent, since the start, if `covered`
  /// shards are covered after `elapsed` and no more results arrive.
  using AnswerTimeCb = std::function<Duration(Duration elapsed, size_t covered)>;

  /// @param groups cover every shard once.
  SharedGather(const policy::QueryPlan& plan, const std::vector<ShardRange>& groups,
               SharedGatherOptions options, ChooseCb choose, NextIdCb next_id, Timestamp started);

  /// Sets the callback that is called whenever shard results have arrived. Without it, partial
  /// answers are sent at the end of the wait of the plan.
  void SetAnswerTimeCallback(AnswerTimeCb due) { due_ = std::move(due); }

  /// Sends partial queries, abandons silent mergers, and answers when it is due.
  void Advance(Timestamp now);
  /// Ignores messages that belong to no open partial query.
  void OnPartialAnswer(Timestamp now, const wire::PartialAnswer& answer);
  /// Handles a lost connection to a merger.
  void OnMergerLost(Timestamp now, const std::string& merger);
  /// The process stops: the request is answered by `answer_by`. Has an effect at the next
  /// Advance().
  void OnStopping(Timestamp answer_by);
  /// Cancels all partial queries because the client has disconnected.
  void AbandonAll();

  SharedGatherActions TakeActions();
  /// Returns when Advance() must be called next if no message arrives before.
  Timestamp NextWake(Timestamp now) const;
  Timestamp started() const { return started_; }
  Timestamp deadline() const { return deadline_; }
  /// Returns the latest computed time for sending a partial answer.
  Timestamp answer_due() const { return started_ + answer_due_; }
  /// Returns the arrivals of shard results, in order of time.
  const std::vector<ShardArrivals>& arrivals() const { return arrivals_; }
  /// Returns all partial queries so far.
  std::vector<PartialQueryRecord> PartialQueries() const;

 private:
  enum class PartialQueryState { kSent, kAccepted, kDone, kRefused, kUnused, kLost };
  struct PartialQuery {
    uint64_t id = 0;
    size_t group = 0;
    std::string merger;
    uint32_t max_attempts = 1;
    Timestamp sent{};
    Timestamp last_contact{};
    PartialQueryState state = PartialQueryState::kSent;
    /// The merger sends no sub-requests before it is confirmed.
    bool await_confirmation = false;
    /// Arrival of the first message of the merger.
    std::optional<Timestamp> accepted = {};
    bool open() const {
      return state == PartialQueryState::kSent || state == PartialQueryState::kAccepted;
    }
  };
  struct Group {
    ShardRange shards;
    std::vector<PartialQuery> partial_queries;
    std::set<std::string> tried;
    /// Attempts per shard that may have been made.
    uint32_t attempts_used = 0;
    /// No further results are expected.
    bool ended = false;
  };
  struct Shard {
    bool covered = false;
    /// Its merger has reported that no result will arrive.
    bool missing = false;
    MissingReason reason = MissingReason::kNotSent;
  };

  void AdvanceGroup(Timestamp now, size_t index);
  /// @return false if no merger is available.
  bool SendPartialQuery(Timestamp now, size_t index);
  /// Returns the partial query whose merger may send sub-requests; null: none.
  static PartialQuery* WorkingQuery(Group* group);
  /// Returns the partial query whose merger is on standby; null: none.
  static PartialQuery* StandbyQuery(Group* group);
  void MarkLost(Group* group, PartialQuery* partial_query);
  /// Abandons a merger that does not answer, and stops its work in case it is only slow.
  void AbandonMerger(Group* group, PartialQuery* partial_query);
  /// Assigns the group to a merger after its first message.
  void Accept(Timestamp now, Group* group, PartialQuery* partial_query);
  void EndGroup(Group* group);
  void MarkMissing(Shard* shard);
  void MarkCovered(Shard* shard);
  void MergePartialAnswer(Timestamp now, const Group& group, const wire::PartialAnswer& answer);
  bool IsSilent(Timestamp now, const PartialQuery& partial_query) const;
  /// Returns when the group must be advanced next.
  Timestamp GroupWake(Timestamp now, const Group& group) const;
  PartialQuery* FindOpen(uint64_t id);
  void Evaluate(Timestamp now);
  void Finish(ResultCode failure);
  bool HasMinCoverage() const;
  /// Returns whether a partial answer is to be sent now.
  bool IsDue(Timestamp now);

  policy::QueryPlan plan_;
  SharedGatherOptions options_;
  ChooseCb choose_;
  NextIdCb next_id_;
  Timestamp started_;
  Timestamp deadline_;
  /// What the request fails with at the deadline.
  ResultCode deadline_code_ = ResultCode::kDeadlineExceeded;
  AnswerTimeCb due_;
  Duration answer_due_;
  /// Shards covered when `answer_due_` was last computed; unset: not computed yet.
  std::optional<size_t> covered_when_due_;
  std::vector<ShardArrivals> arrivals_;
  std::vector<Group> groups_;
  std::vector<Shard> shards_;
  std::map<uint64_t, size_t> group_of_;
  size_t covered_ = 0;
  /// Shards without a result whose merger has abandoned them or whose group has ended.
  size_t missing_ = 0;
  bool ran_ = false;
  bool unknown_ = false;
  bool answered_ = false;
  SharedOutcome outcome_;
  SharedGatherActions actions_;
};

}  // namespace pumicedyke::query
