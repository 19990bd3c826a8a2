// Random histories of one gateway: requests, replies of every kind in any order, leafs that come,
// retire and fall silent, clients that leave, documents that change. What must hold, holds after
// each.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "gateway/gateway_harness.h"
#include "gateway/record_merge.h"

namespace pumicedyke::gateway {
namespace {

constexpr char kFirstDocument[] =
    R"([["one", "/one/", true, "s0"], ["job", "/job/", false, "s1"], ["all", "/all/", true, "s0", "s1", "s2"]])";
constexpr char kSecondDocument[] =
    R"([["one", "/one/", true, "s2"], ["job", "/job/", false, "s0"], ["all", "/all/", true, "s1", "s2"]])";
constexpr uint32_t kMaxAttempts = 2;
constexpr Duration kTimeout = Seconds(2);
/// Told by a leaf that refuses for lack of room.
constexpr uint32_t kFullLoad = 50;
/// Sends are looked at this late at most.
constexpr Duration kSlice = Milliseconds(5);

struct Asked {
  std::string kind;
  Timestamp at;
  bool left = false;
  int answers = 0;
  /// Sub-requests by shard that ran or may have, and leafs by shard that it was sent to.
  std::map<uint64_t, uint32_t> runs;
  std::map<uint64_t, std::set<std::string>> leafs;
  std::map<uint64_t, uint32_t> attempts;
  /// Services that got it.
  std::set<std::string> sent_to;
  int may_have_run = 0;
};

/// A random history and what an observer outside sees of it.
class History {
 public:
  History() {
    h_.Put(1, kFirstDocument);
    Report();
  }

  void Step() {
    h_.now += Milliseconds(*rc::gen::element(0, 0, 1, 5, 40, 300));
    switch (*rc::gen::weightedElement<int>({{6, 0}, {10, 1}, {1, 2}, {1, 3}, {1, 4}, {3, 5}})) {
      case 0:
        Ask();
        break;
      case 1:
        Reply();
        break;
      case 2:
        ClientLeaves();
        break;
      case 3:
        Retire();
        break;
      case 4:
        ++version_;
        h_.Put(version_, version_ % 2 == 0 ? kSecondDocument : kFirstDocument);
        break;
      default:
        h_.server.Tick(h_.now);
        h_.Take();
    }
    Observe();
  }

  void Finish() {
    for (Duration passed{}; passed < kTimeout + Milliseconds(100); passed += kSlice) {
      h_.Pass(kSlice);
      Observe();
    }
    for (const auto& [id, asked] : asked_) {
      RC_ASSERT(asked.answers == (asked.left ? 0 : 1) || (asked.left && asked.answers <= 1));
    }
    RC_ASSERT(h_.server.Drained());
  }

 private:
  void Report() {
    std::vector<wire::LeafRecord> records;
    for (const char* service : {"s0", "s1", "s2"}) {
      for (const char* replica : {"a", "b"}) {
        records.push_back(GatewayHarness::Leaf(std::string(service) + replica, service));
      }
    }
    h_.Report(records);
  }

  void Ask() {
    const std::string kind = *rc::gen::element<std::string>("one", "job", "all");
    // What the call sends and answers at once is observed with it.
    asked_[next_].kind = kind;
    asked_[next_].at = h_.now;
    ++next_;
    h_.Ask("/" + kind + "/x", Seconds(10));
  }

  void Reply() {
    if (open_.empty()) {
      return;
    }
    const size_t pick = static_cast<size_t>(*rc::gen::inRange(0, static_cast<int>(open_.size())));
    const LeafSend send = open_[pick];
    open_.erase(open_.begin() + static_cast<long>(pick));
    using query::LeafStatus;
    const LeafStatus status =
        *rc::gen::element(LeafStatus::kOk, LeafStatus::kOk, LeafStatus::kOk, LeafStatus::kShed,
                          LeafStatus::kFailed, LeafStatus::kNotSent, LeafStatus::kDraining);
    if (query::ProvesNotRun(status)) {
      Asked& asked = asked_.at(RequestOf(send));
      --asked.may_have_run;
      --asked.runs[send.shard.value];
    }
    const bool full = status == LeafStatus::kShed && *rc::gen::arbitrary<bool>();
    Asked& refused = asked_.at(RequestOf(send));
    const bool passing = status == LeafStatus::kShed && !full && refused.kind == "all";
    refused.attempts[send.shard.value] -= passing ? 1 : 0;
    h_.Reply(send, status, status == LeafStatus::kOk ? std::string(kRecordBytes, 'r') : "", 200,
             full ? kFullLoad : 0);
  }

  void ClientLeaves() {
    const uint64_t id = static_cast<uint64_t>(*rc::gen::inRange(1, static_cast<int>(next_) + 1));
    const auto it = asked_.find(id);
    if (it != asked_.end() && it->second.answers == 0) {
      it->second.left = true;
      h_.server.OnClientGone(h_.now, RequestId{id});
      h_.Take();
    }
  }

  void Retire() {
    const std::string leaf = *rc::gen::element<std::string>("s0a", "s1a", "s2a");
    h_.Retire(leaf);
    retired_.insert(leaf);
  }

  static uint64_t RequestOf(const LeafSend& send) {
    return std::stoull(send.request->request_id.substr(1));
  }

  void Observe() {
    for (const LeafSend& send : std::exchange(h_.sends, {})) {
      Asked& asked = asked_.at(RequestOf(send));
      RC_ASSERT(!retired_.contains(send.leaf));
      RC_ASSERT(!asked.left);
      RC_ASSERT(++asked.runs[send.shard.value] <= kMaxAttempts);
      // Beyond the cap only what was refused goes on, and to no leaf a second time. Refusals of
      // gathers by leafs that have room don't count.
      const bool fresh = asked.leafs[send.shard.value].insert(send.leaf).second;
      RC_ASSERT(++asked.attempts[send.shard.value] <= kMaxAttempts || fresh);
      // All histories are shorter than a window of the budget, or nearly so: twice the bound.
      const std::string service = send.leaf.substr(0, 2);
      const bool first = asked.sent_to.insert(service).second;
      ++(first ? regular_ : extra_)[service];
      RC_ASSERT(extra_[service] <= 2 * GatewayOptions{}.extra_load.allowance + regular_[service]);
      RC_ASSERT(h_.now + send.budget <= asked.at + kTimeout + kSlice);
      ++asked.may_have_run;
      RC_ASSERT(asked.kind != "job" || asked.may_have_run <= 1);
      open_.push_back(send);
    }
    for (const GatewayAnswer& answer : std::exchange(h_.answers, {})) {
      Asked& asked = asked_.at(answer.id.value);
      RC_ASSERT(++asked.answers == 1);
      RC_ASSERT(!asked.left);
      RC_ASSERT(answer.run != query::RunState::kNotRun || asked.may_have_run == 0);
      if (answer.gathered) {
        const size_t shards = answer.signatures.size() + answer.missing_shards;
        RC_ASSERT(shards == 2U || shards == 3U);
        RC_ASSERT(2 * answer.signatures.size() >= shards);
        const std::set<std::string> distinct(answer.signatures.begin(), answer.signatures.end());
        RC_ASSERT(distinct.size() == answer.signatures.size());
      }
    }
  }

  GatewayHarness h_;
  uint64_t version_ = 1;
  uint64_t next_ = 1;
  std::map<uint64_t, Asked> asked_;
  std::vector<LeafSend> open_;
  std::set<std::string> retired_;
  std::map<std::string, double> regular_;
  std::map<std::string, double> extra_;
};

}  // namespace

class GatewayPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayPropertyTest);
  CPPUNIT_TEST(WhatMustHoldHolds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WhatMustHoldHolds() {
    const bool held = rc::check("what must hold, holds", [] {
      History history;
      const int steps = *rc::gen::inRange(1, 150);
      for (int i = 0; i < steps; ++i) {
        history.Step();
      }
      history.Finish();
    });
    CPPUNIT_ASSERT(held);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayPropertyTest);

}  // namespace pumicedyke::gateway
