// A request over many shards that several gateways work on together: the shards are cut into
// groups, each is asked of one merging gateway, and the partial answers make one. This is the side
// of the gateway that the client reached. Events in, actions out; no socket, clock or thread.
//
// Why nothing runs too often although a merger may die, freeze or be slow at any moment: the first
// merger of a group accepts its question, and sends to each shard once; it sends again only after
// it was confirmed that its word has come. While it is not heard of, others are asked to be ready:
// they accept, too, but send nothing before they are confirmed, so that as many may be asked as
// there are and none costs an attempt. The first that speaks gets the group: the one that was asked
// first goes on with all attempts; one that stands ready is confirmed with an attempt less, and the
// first is never confirmed any more. After a confirmation all attempts count as used.
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
#include "query/answer_moment.h"
#include "query/messages.h"
#include "wire/messages.h"

namespace pumicedyke::query {

/// Consecutive shards of a request, by their place in its document.
struct ShardRange {
  size_t first = 0;
  size_t count = 0;
};

struct SharedGatherOptions {
  /// A merger that has not accepted the question by then is slow or gone: another is asked to be
  /// ready.
  Duration accept_patience = Milliseconds(20);
  /// One that has, and then says nothing for this long, is given up on, too. Mergers speak at least
  /// every GatewayKnobs::sign_of_life.
  Duration silence_limit = Milliseconds(200);
  /// Mergers asked in turn for one group.
  size_t most_mergers = 5;
};

/// One group, asked of one merger.
struct GroupQuestion {
  uint64_t id = 0;
  size_t group = 0;
  std::string merger;
  uint32_t max_attempts = 1;
  /// Another merger was asked before and may have sent.
  bool again = false;
  /// Nothing may be sent before the confirmation.
  bool stand_by = false;
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

/// The whole answer, once there is one.
struct SharedOutcome {
  ResultCode code = ResultCode::kInternal;
  RunState run = RunState::kNotRun;
  std::vector<std::string> signatures;
  /// Greatest records of each partial answer.
  std::vector<std::string> records;
  std::vector<MissingShard> missing;
  uint32_t extra = 0;
};

struct SharedGatherActions {
  std::vector<GroupQuestion> questions;
  /// Questions that were accepted in time.
  std::vector<GroupConfirmation> confirmations;
  std::vector<GroupCancel> cancels;
  /// Mergers that were given up on.
  std::vector<std::string> silent;
  std::optional<SharedOutcome> outcome;
};

/// What became of one question, for whoever explains the request afterwards.
struct QuestionRecord {
  size_t group = 0;
  std::string merger;
  Duration sent{};
  /// After what its first word came; unset: none came.
  std::optional<Duration> accepted_after;
  /// "asked", "accepted", "done", "refused", "unused" or "lost".
  const char* state = "";
};

/// Lives on the event loop's thread.
class SharedGather {
 public:
  /// @return who is to merge a group, none of `tried`; unset: nobody can.
  using ChooseCb = std::function<std::optional<std::string>(Timestamp now, size_t group,
                                                            const std::set<std::string>& tried)>;
  using NextIdCb = std::function<uint64_t()>;
  /// @return when an answer goes out that may and lacks parts, counted from the start, if so many
  /// shards are covered `elapsed` after it and nothing more comes.
  using DueCb = std::function<Duration(Duration elapsed, size_t covered)>;

  /// @param groups cover every shard once.
  SharedGather(const policy::QueryPlan& plan, const std::vector<ShardRange>& groups,
               SharedGatherOptions options, ChooseCb choose, NextIdCb next_id, Timestamp started);

  /// Asked whenever parts have come. Without it, answers that lack parts go out when the plan's
  /// wait is over.
  void SetDue(DueCb due) { due_ = std::move(due); }

  /// Asks what can be asked, gives up on silent mergers, and answers if it is time.
  void Advance(Timestamp now);
  /// Words that answer no open question are ignored.
  void OnWord(Timestamp now, const wire::PartialAnswer& word);
  /// The connection to the merger broke.
  void OnMergerLost(Timestamp now, const std::string& merger);
  /// The client has left.
  void AbandonAll();

  SharedGatherActions TakeActions();
  /// When Advance() must be called next, if nothing comes before.
  Timestamp NextWake(Timestamp now) const;
  Timestamp started() const { return started_; }
  /// When an answer that lacks parts was last thought to be due.
  Timestamp answer_due() const { return started_ + answer_due_; }
  /// When parts came, in the order of time.
  const std::vector<PartsArrival>& arrivals() const { return arrivals_; }
  /// Every question so far.
  std::vector<QuestionRecord> Questions() const;

 private:
  enum class QuestionState { kAsked, kAccepted, kDone, kRefused, kUnused, kLost };
  struct Question {
    uint64_t id = 0;
    size_t group = 0;
    std::string merger;
    uint32_t max_attempts = 1;
    Timestamp sent{};
    Timestamp heard{};
    QuestionState state = QuestionState::kAsked;
    /// Nothing is sent for it yet, and nothing will be unless it is confirmed.
    bool stand_by = false;
    /// When its first word came.
    std::optional<Timestamp> accepted = {};
    bool open() const {
      return state == QuestionState::kAsked || state == QuestionState::kAccepted;
    }
  };
  struct Group {
    ShardRange shards;
    std::vector<Question> questions;
    std::set<std::string> tried;
    /// Attempts per shard that may have been made.
    uint32_t attempts_used = 0;
    /// Nothing more is to come.
    bool ended = false;
  };
  struct Shard {
    bool covered = false;
    /// Its merger has said that no part will come.
    bool lost = false;
    MissingReason reason = MissingReason::kNotSent;
  };

  void AdvanceGroup(Timestamp now, size_t index);
  /// @return false if nobody can be asked.
  bool Ask(Timestamp now, size_t index);
  /// The question that a merger may work on; null: there is none.
  static Question* WorkingOf(Group* group);
  /// The question whose merger stands ready to begin; null: there is none.
  static Question* StandByOf(Group* group);
  void GiveUpOn(Group* group, Question* question);
  /// Gives up on a merger that is not heard of, and stops it in case it is only slow.
  void Replace(Group* group, Question* question);
  /// A merger has spoken for the first time: the group is its own.
  void Accept(Timestamp now, Group* group, Question* question);
  void End(Group* group);
  void Lose(Shard* shard);
  void Cover(Shard* shard);
  void TakeParts(Timestamp now, const Group& group, const wire::PartialAnswer& word);
  bool Silent(Timestamp now, const Question& question) const;
  /// When something has to be decided about a group.
  Timestamp GroupWake(Timestamp now, const Group& group) const;
  Question* FindOpen(uint64_t id);
  void Evaluate(Timestamp now);
  void Finish(ResultCode failure);
  bool Enough() const;
  /// Whether an answer that lacks parts goes out now.
  bool IsDue(Timestamp now);

  policy::QueryPlan plan_;
  SharedGatherOptions options_;
  ChooseCb choose_;
  NextIdCb next_id_;
  Timestamp started_;
  Timestamp deadline_;
  DueCb due_;
  Duration answer_due_;
  /// Shards that were covered when that was thought; unset: nobody was asked.
  std::optional<size_t> covered_when_due_;
  std::vector<PartsArrival> arrivals_;
  std::vector<Group> groups_;
  std::vector<Shard> shards_;
  std::map<uint64_t, size_t> group_of_;
  size_t covered_ = 0;
  /// Shards that get no part: their merger gave them up, or their group has ended.
  size_t lost_ = 0;
  bool ran_ = false;
  bool unknown_ = false;
  bool answered_ = false;
  SharedOutcome outcome_;
  SharedGatherActions actions_;
};

}  // namespace pumicedyke::query
