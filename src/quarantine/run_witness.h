// What one process has seen of runs at leafs whose connection ended without an answer: it tells
// control which requests were running there, which of these have since succeeded, and which leafs
// live on after all. No clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/request_identity.h"
#include "common/types.h"
#include "query/messages.h"
#include "wire/messages.h"

namespace pumicedyke::quarantine {

struct WitnessOptions {
  /// What was seen is forgotten after this.
  Duration memory = Seconds(600);
  /// A warning counts for so long: it may be of a request that was merely there.
  Duration warning = Seconds(60);
  /// Requests and leafs that are remembered; the oldest are forgotten first.
  size_t most_suspects = 512;
  size_t most_leafs = 4096;
  /// A request that lost runs at this many leafs and never succeeded is tried at one leaf first.
  size_t suspicious_leafs = 3;
  /// A leaf's name is that of one life of it: one that answers again has not ended.
  bool names_are_lives = true;
};

/// One sub-request at a leaf.
struct Run {
  RequestIdentity identity;
  /// Tells the client's attempts at the same request apart.
  uint64_t attempt = 0;
  std::string leaf;
  std::string service;
  Timestamp sent{};
};

/// Lives on the event loop's thread.
class RunWitness {
 public:
  explicit RunWitness(WitnessOptions options) : options_(options) {}

  /// Runs of requests whose identity is not known are not watched.
  void OnSent(SubRequestId id, Run run);
  /// What became of a run; also of one whose result was no longer wanted.
  void OnEnded(Timestamp now, const query::LeafReply& reply);
  /// Nothing will be heard of the run any more.
  void OnDropped(SubRequestId id) { runs_.erase(id); }
  /// The fleet stops these requests now. @post one that has succeeded here after it lost runs is
  /// told of again.
  void OnQuarantined(const std::set<RequestIdentity>& requests);

  /// Control warns of these requests: others have seen them lose runs.
  void OnWarned(Timestamp now, const std::vector<RequestIdentity>& requests);

  /// Whether the request should be tried at one leaf before it goes to many.
  bool IsSuspect(Timestamp now, const RequestIdentity& identity) const;
  /// Whether earlier attempts at the request lost runs and none has succeeded since.
  bool IsAccused(const RequestIdentity& identity) const;
  /// @return what control has not been told yet, if anything.
  std::optional<wire::RunReport> TakeReport();
  bool has_report() const { return report_.has_value(); }

 private:
  struct Suspect {
    std::set<std::string> leafs;
    Timestamp last_lost{};
    /// It has succeeded since.
    bool harmless = false;
  };

  void NoteLost(Timestamp now, const Run& run);
  void NoteAnswer(const Run& run, bool succeeded);
  void NoteSuccess(const RequestIdentity& identity);
  void Forget(Timestamp now);
  wire::RunReport& Report();

  WitnessOptions options_;
  std::unordered_map<SubRequestId, Run> runs_;
  std::map<RequestIdentity, Suspect> suspects_;
  /// When control warned of each request last.
  std::map<RequestIdentity, Timestamp> warned_of_;
  /// When a run was lost last, by leaf.
  std::map<std::string, Timestamp> lost_at_;
  std::optional<wire::RunReport> report_;
};

}  // namespace pumicedyke::quarantine
