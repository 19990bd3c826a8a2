// A gateway's decisions, without sockets: routes, attempts, failures, partial answers, leaving
// leafs.
#include "gateway/gateway_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include "common/json.h"
#include "config/config_state.h"
#include "gateway/record_merge.h"

namespace pumicedyke::gateway {
namespace {

constexpr Timestamp kStart{Seconds(100)};
constexpr char kControl[] = "10.0.0.1:7100";
constexpr char kHost[] = "desk.example";

/// Documents are JSON lists of [name, prefix, repeatable, shards...] here; one shard means a plain
/// route.
class TestReader : public routing::DocumentReader {
 public:
  absl::StatusOr<routing::RouteSet> Read(std::string_view text) const override {
    routing::RouteSet set;
    for (const Json& item : Json::parse(text)) {
      routing::Route route;
      route.name = item[0].get<std::string>();
      route.host = kHost;
      route.prefix = item[1].get<std::string>();
      route.repeatable = item[2].get<bool>();
      route.timeout = Seconds(2);
      route.objective = Milliseconds(100);
      route.max_attempts = 2;
      route.min_coverage = 0.5;
      route.top_records = 2;
      for (size_t i = 3; i < item.size(); ++i) {
        const auto service = item[i].get<std::string>();
        set.services.push_back({service, 26, ""});
        route.shards.push_back(service);
      }
      if (route.shards.size() == 1) {
        route.services = {{route.shards.front(), 1}};
        route.shards.clear();
      }
      set.routes.push_back(std::move(route));
    }
    return set;
  }
};

/// A gateway with the words of one control machine.
class Harness {
 public:
  Harness() : server(Options(), &reader_, kStart) {}

  static GatewayOptions Options() {
    GatewayOptions options;
    options.cluster = "test";
    options.node = "g1";
    options.address = "10.0.0.9:80";
    options.incarnation = 5;
    options.control = {kControl};
    return options;
  }

  void Put(uint64_t version, const std::string& text) {
    config::Change change;
    change.kind = config::ChangeKind::kPutDocument;
    change.document = {version, text};
    Apply(change);
  }
  void Retire(const std::string& leaf) {
    config::Change change;
    change.kind = config::ChangeKind::kRetireLeaf;
    change.leaf = leaf;
    Apply(change);
  }
  void Report(std::vector<wire::LeafRecord> records) {
    server.OnControlMessage(now, kControl,
                            {"test", 0, wire::LeafFeed{0, ++leaf_version_, records, {}, {}, 1}});
  }
  static wire::LeafRecord Leaf(const std::string& id, const std::string& service) {
    return {id, service, id + ":80", "north", 2, false, 0};
  }

  /// @return the request's id.
  RequestId Ask(const std::string& target, Duration deadline = Seconds(1)) {
    auto request = std::make_shared<PayloadRequest>();
    request->request_id = "r" + std::to_string(++asked_);
    request->method = "GET";
    request->target = target;
    request->host = kHost;
    request->deadline = deadline;
    const RequestId id{asked_};
    server.OnRequest(now, id, std::move(request));
    Take();
    return id;
  }
  void Reply(const LeafSend& send, query::LeafStatus status, const std::string& body = "",
             int http_status = 200) {
    query::LeafReply reply;
    reply.id = send.id;
    reply.leaf = send.leaf;
    reply.shard = send.shard;
    reply.status = status;
    if (!body.empty()) {
      auto payload = std::make_shared<query::LeafPayload>();
      payload->status = http_status;
      payload->body = body;
      payload->signature = "sig-" + send.leaf;
      reply.payload = std::move(payload);
    }
    server.OnLeafReply(now, reply);
    Take();
  }
  void Pass(Duration time) {
    const Timestamp end = now + time;
    while (now < end) {
      now = std::min(end, std::max(now + Milliseconds(1), server.NextWake(now)));
      server.Tick(now);
      Take();
    }
  }
  void Take() {
    GatewayOutput output = server.TakeOutput();
    for (LeafSend& send : output.sends) {
      sends.push_back(std::move(send));
    }
    for (GatewayAnswer& answer : output.answers) {
      answers.push_back(std::move(answer));
    }
    for (const LeafCancel& cancel : output.cancels) {
      cancels.push_back(cancel);
    }
    for (ControlMessage& message : output.control) {
      control.push_back(std::move(message));
    }
  }

  Timestamp now = kStart;

 private:
  void Apply(const config::Change& change) {
    state_.Apply(change);
    wire::ConfigFeed feed;
    feed.version = state_.version().value;
    feed.full = true;
    feed.state = state_.Serialize();
    server.OnControlMessage(now, kControl, {"test", feed.version, feed});
    Take();
  }

  TestReader reader_;
  config::ConfigState state_;
  uint64_t leaf_version_ = 0;
  uint64_t asked_ = 0;

 public:
  GatewayServer server;
  std::vector<LeafSend> sends;
  std::vector<GatewayAnswer> answers;
  std::vector<LeafCancel> cancels;
  std::vector<ControlMessage> control;
};

constexpr char kPlain[] = R"([["one", "/one/", true, "desk"], ["job", "/job/", false, "desk"]])";
constexpr char kGather[] = R"([["all", "/all/", true, "s0", "s1", "s2", "s3"]])";

std::string Record(char byte) { return std::string(kRecordBytes, byte); }

}  // namespace

class GatewayServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayServerTest);
  CPPUNIT_TEST(KnowsNothingAtFirst);
  CPPUNIT_TEST(PassesOneAnswerOn);
  CPPUNIT_TEST(UnknownPathIsSaid);
  CPPUNIT_TEST(RepeatableIsTriedAgainButNotMoreThanAllowed);
  CPPUNIT_TEST(UnrepeatableIsNeverSentAfterItMayHaveRun);
  CPPUNIT_TEST(UnrepeatableMayFollowARefusal);
  CPPUNIT_TEST(LeafsOwnFailureIsPassedOn);
  CPPUNIT_TEST(GathersTheGreatest);
  CPPUNIT_TEST(AnswersBeforeTheObjectiveWithEnoughShards);
  CPPUNIT_TEST(TooFewShardsAreNoSuccess);
  CPPUNIT_TEST(RetiredLeafGetsNothing);
  CPPUNIT_TEST(ClientGoneStopsItsWork);
  CPPUNIT_TEST(RunningRequestKeepsItsShards);
  CPPUNIT_TEST(OlderDocumentChangesNothing);
  CPPUNIT_TEST(DrainingTellsControlAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KnowsNothingAtFirst() {
    Harness h;
    CPPUNIT_ASSERT(!h.server.ready());
    h.Ask("/one/1");
    CPPUNIT_ASSERT(h.answers.at(0).code == ResultCode::kNotReady);
    CPPUNIT_ASSERT(h.answers.at(0).run == query::RunState::kNotRun);
    CPPUNIT_ASSERT(h.answers.at(0).retry_after > Duration(0));
  }

  void PassesOneAnswerOn() {
    Harness h;
    h.Put(1, kPlain);
    h.Report({Harness::Leaf("a", "desk")});
    h.Ask("/one/1?x=y");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a:80"), h.sends[0].address);
    CPPUNIT_ASSERT_EQUAL(std::string("/one/1?x=y"), h.sends[0].request->target);
    CPPUNIT_ASSERT(h.sends[0].budget < Seconds(1));
    h.Reply(h.sends[0], query::LeafStatus::kOk, "hello");
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), h.answers.at(0).payload->body);
    CPPUNIT_ASSERT(h.server.Drained());
  }

  void UnknownPathIsSaid() {
    Harness h;
    h.Put(1, kPlain);
    h.Ask("/nowhere/1");
    CPPUNIT_ASSERT(h.answers.at(0).code == ResultCode::kUnknownPath);
  }

  void RepeatableIsTriedAgainButNotMoreThanAllowed() {
    Harness h;
    h.Put(1, kPlain);
    h.Report({Harness::Leaf("a", "desk"), Harness::Leaf("b", "desk"), Harness::Leaf("c", "desk")});
    h.Ask("/one/1");
    h.Reply(h.sends.at(0), query::LeafStatus::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.sends.size());
    CPPUNIT_ASSERT(h.sends[0].leaf != h.sends[1].leaf);
    h.Reply(h.sends.at(1), query::LeafStatus::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.sends.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
    CPPUNIT_ASSERT(h.answers[0].payload == nullptr);
    CPPUNIT_ASSERT(h.answers[0].run == query::RunState::kUnknown);
  }

  void UnrepeatableIsNeverSentAfterItMayHaveRun() {
    Harness h;
    h.Put(1, kPlain);
    h.Report({Harness::Leaf("a", "desk"), Harness::Leaf("b", "desk")});
    h.Ask("/job/1");
    h.Reply(h.sends.at(0), query::LeafStatus::kFailed);
    h.Pass(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
    CPPUNIT_ASSERT(h.answers.at(0).run == query::RunState::kUnknown);
  }

  void UnrepeatableMayFollowARefusal() {
    Harness h;
    h.Put(1, kPlain);
    h.Report({Harness::Leaf("a", "desk"), Harness::Leaf("b", "desk")});
    h.Ask("/job/1");
    h.Reply(h.sends.at(0), query::LeafStatus::kShed);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.sends.size());
    h.Reply(h.sends.at(1), query::LeafStatus::kShed);
    CPPUNIT_ASSERT(h.answers.at(0).run == query::RunState::kNotRun);
  }

  void LeafsOwnFailureIsPassedOn() {
    Harness h;
    h.Put(1, kPlain);
    h.Report({Harness::Leaf("a", "desk")});
    h.Ask("/job/1");
    h.Reply(h.sends.at(0), query::LeafStatus::kFailed, "broken", 500);
    CPPUNIT_ASSERT_EQUAL(500, h.answers.at(0).payload->status);
  }

  void GathersTheGreatest() {
    Harness h;
    StartGathering(&h);
    h.Ask("/all/1");
    CPPUNIT_ASSERT_EQUAL(size_t{4}, h.sends.size());
    for (size_t i = 0; i < 4; ++i) {
      h.Reply(h.sends[i], query::LeafStatus::kOk, Record(static_cast<char>('a' + i)));
    }
    CPPUNIT_ASSERT_EQUAL(Record('d') + Record('c'), h.answers.at(0).records);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, h.answers[0].signatures.size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, h.answers[0].missing_shards);
  }

  void AnswersBeforeTheObjectiveWithEnoughShards() {
    Harness h;
    StartGathering(&h);
    h.Ask("/all/1");
    h.Reply(h.sends[0], query::LeafStatus::kOk, Record('a'));
    h.Reply(h.sends[1], query::LeafStatus::kOk, Record('b'));
    h.Pass(Milliseconds(85));
    CPPUNIT_ASSERT(h.answers.empty());
    h.Pass(Milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
    CPPUNIT_ASSERT(h.answers[0].gathered);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.answers[0].missing_shards);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.answers[0].signatures.size());
  }

  void TooFewShardsAreNoSuccess() {
    Harness h;
    StartGathering(&h);
    h.Ask("/all/1", Milliseconds(500));
    h.Reply(h.sends[0], query::LeafStatus::kOk, Record('a'));
    h.Pass(Milliseconds(480));
    CPPUNIT_ASSERT(h.answers.empty());
    h.Pass(Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
    CPPUNIT_ASSERT(!h.answers[0].gathered);
  }

  void RetiredLeafGetsNothing() {
    Harness h;
    h.Put(1, kPlain);
    h.Report({Harness::Leaf("a", "desk"), Harness::Leaf("b", "desk")});
    h.Retire("a");
    for (int i = 0; i < 4; ++i) {
      h.Ask("/one/1");
      h.Reply(h.sends.back(), query::LeafStatus::kOk, "x");
    }
    for (const LeafSend& send : h.sends) {
      CPPUNIT_ASSERT_EQUAL(std::string("b"), send.leaf);
    }
    // A late word of a control machine that has not heard of it changes nothing.
    h.Report({Harness::Leaf("a", "desk")});
    h.Ask("/one/1");
    CPPUNIT_ASSERT_EQUAL(std::string("b"), h.sends.back().leaf);
  }

  void ClientGoneStopsItsWork() {
    Harness h;
    StartGathering(&h);
    const RequestId id = h.Ask("/all/1");
    h.server.OnClientGone(h.now, id);
    h.Take();
    CPPUNIT_ASSERT_EQUAL(size_t{4}, h.cancels.size());
    for (const LeafCancel& cancel : h.cancels) {
      CPPUNIT_ASSERT(cancel.stop_work);
    }
    CPPUNIT_ASSERT(h.server.Drained());
    h.Reply(h.sends[0], query::LeafStatus::kOk, Record('a'));
    CPPUNIT_ASSERT(h.answers.empty());
  }

  /// A document that names other shards comes while a request runs.
  void RunningRequestKeepsItsShards() {
    Harness h;
    StartGathering(&h);
    h.Ask("/all/1");
    h.Put(2, R"([["all", "/all/", true, "s2", "s3"]])");
    for (size_t i = 0; i < 4; ++i) {
      h.Reply(h.sends[i], query::LeafStatus::kOk, Record('a'));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4}, h.answers.at(0).signatures.size());
    h.Ask("/all/2");
    CPPUNIT_ASSERT_EQUAL(size_t{6}, h.sends.size());
  }

  void OlderDocumentChangesNothing() {
    Harness h;
    h.Put(5, kPlain);
    h.Put(4, kGather);
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, h.server.document_version());
  }

  void DrainingTellsControlAtOnce() {
    Harness h;
    h.Put(1, kPlain);
    CPPUNIT_ASSERT(h.server.ready());
    h.control.clear();
    h.server.StartDraining(h.now);
    h.Take();
    CPPUNIT_ASSERT(!h.server.ready());
    const auto& presence = std::get<wire::GatewayPresence>(h.control.at(0).envelope.body);
    CPPUNIT_ASSERT(!presence.serving);
  }

 private:
  static void StartGathering(Harness* harness) {
    harness->Put(1, kGather);
    std::vector<wire::LeafRecord> leafs;
    for (const char* service : {"s0", "s1", "s2", "s3"}) {
      leafs.push_back(Harness::Leaf(std::string(service) + "-a", service));
    }
    harness->Report(leafs);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayServerTest);

}  // namespace pumicedyke::gateway
