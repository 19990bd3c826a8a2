// Random histories of one gateway: requests, replies of every kind in any order, leafs that start,
// retire and stop responding, clients that disconnect, and changes of the document. The invariants
// are checked after each step.
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
/// Load reported by a leaf that refuses for lack of capacity.
constexpr uint32_t kFullLoad = 50;
/// Maximum delay before sends are checked.
constexpr Duration kSlice = Milliseconds(5);

struct ObservedRequest {
  std::string kind;
  Timestamp at;
  bool client_left = false;
  int answers = 0;
  /// Sub-requests that ran or may have run, and leafs used, by shard.
  std::map<uint64_t, uint32_t> runs;
  std::map<uint64_t, std::set<std::string>> leafs;
  std::map<uint64_t, uint32_t> attempts;
  /// Services that the request was sent to.
  std::set<std::string> sent_to;
  int may_have_run = 0;
};

/// A random history and the state that an outside observer derives from it.
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
        DisconnectClient();
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
    for (const auto& [id, observed] : requests_) {
      RC_ASSERT(observed.answers == (observed.client_left ? 0 : 1) ||
                (observed.client_left && observed.answers <= 1));
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
    // Registered before the call, because sends and answers may occur during it.
    requests_[next_].kind = kind;
    requests_[next_].at = h_.now;
    ++next_;
    h_.Ask("/" + kind + "/x", Seconds(10));
  }

  void Reply() {
    if (pending_.empty()) {
      return;
    }
    const size_t pick =
        static_cast<size_t>(*rc::gen::inRange(0, static_cast<int>(pending_.size())));
    const LeafSend send = pending_[pick];
    pending_.erase(pending_.begin() + static_cast<long>(pick));
    using query::LeafStatus;
    const LeafStatus status =
        *rc::gen::element(LeafStatus::kOk, LeafStatus::kOk, LeafStatus::kOk, LeafStatus::kShed,
                          LeafStatus::kFailed, LeafStatus::kNotSent, LeafStatus::kDraining);
    if (query::ProvesNotRun(status)) {
      ObservedRequest& observed = requests_.at(RequestOf(send));
      --observed.may_have_run;
      --observed.runs[send.shard.value];
    }
    const bool full = status == LeafStatus::kShed && *rc::gen::arbitrary<bool>();
    ObservedRequest& refused = requests_.at(RequestOf(send));
    const bool has_room = status == LeafStatus::kShed && !full && refused.kind == "all";
    refused.attempts[send.shard.value] -= has_room ? 1 : 0;
    h_.Reply(send, status, status == LeafStatus::kOk ? std::string(kRecordBytes, 'r') : "", 200,
             full ? kFullLoad : 0);
  }

  void DisconnectClient() {
    const uint64_t id = static_cast<uint64_t>(*rc::gen::inRange(1, static_cast<int>(next_) + 1));
    const auto it = requests_.find(id);
    if (it != requests_.end() && it->second.answers == 0) {
      it->second.client_left = true;
      h_.server.OnClientDisconnected(h_.now, RequestId{id});
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
      ObservedRequest& observed = requests_.at(RequestOf(send));
      RC_ASSERT(!retired_.contains(send.leaf));
      RC_ASSERT(!observed.client_left);
      RC_ASSERT(++observed.runs[send.shard.value] <= kMaxAttempts);
      // Beyond the limit of attempts only refused sub-requests are sent again, and never to the
      // same leaf. Refusals of gathers by leafs with free capacity don't count.
      const bool new_leaf = observed.leafs[send.shard.value].insert(send.leaf).second;
      RC_ASSERT(++observed.attempts[send.shard.value] <= kMaxAttempts || new_leaf);
      // Histories last at most about one window of the budget, so twice the bound holds.
      const std::string service = send.leaf.substr(0, 2);
      const bool first = observed.sent_to.insert(service).second;
      ++(first ? regular_ : extra_)[service];
      RC_ASSERT(extra_[service] <= 2 * GatewayOptions{}.extra_load.burst + regular_[service]);
      RC_ASSERT(h_.now + send.budget <= observed.at + kTimeout + kSlice);
      ++observed.may_have_run;
      RC_ASSERT(observed.kind != "job" || observed.may_have_run <= 1);
      pending_.push_back(send);
    }
    for (const GatewayAnswer& answer : std::exchange(h_.answers, {})) {
      ObservedRequest& observed = requests_.at(answer.id.value);
      RC_ASSERT(++observed.answers == 1);
      RC_ASSERT(!observed.client_left);
      RC_ASSERT(answer.run != query::RunState::kNotRun || observed.may_have_run == 0);
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
  std::map<uint64_t, ObservedRequest> requests_;
  std::vector<LeafSend> pending_;
  std::set<std::string> retired_;
  std::map<std::string, double> regular_;
  std::map<std::string, double> extra_;
};

}  // namespace

class GatewayPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayPropertyTest);
  CPPUNIT_TEST(InvariantsHold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvariantsHold() {
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
