// Tests the parsing of heartbeats and deregistrations of leafs, including malformed ones.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <limits>

#include "common/json.h"
#include "config/config_state.h"
#include "platform/control_dialect.h"

namespace pumicedyke::platform {
namespace {

constexpr char kHeartbeat[] = "/v1/instances/i-7/heartbeat";
constexpr char kDeregister[] = "/v1/instances/i-7/deregister";

absl::StatusOr<control::Command> Read(const std::string& path, const std::string& body) {
  http::HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.body = body;
  return ControlDialect().ReadCommand(request);
}

Json HeartbeatBody() {
  return {
      {"backend", "s1"},      {"address", "10.0.0.9:80"}, {"zone", "north"}, {"version", "v1"},
      {"slots", 2},           {"state", "ready"},         {"seq", 4},        {"cold_left_ms", 0},
      {"born", 1765432100123}};
}

Json With(const char* field, const Json& value) {
  Json body = HeartbeatBody();
  body[field] = value;
  return body;
}

Json Without(const char* field) {
  Json body = HeartbeatBody();
  body.erase(field);
  return body;
}

}  // namespace

class LeafMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeafMessagesTest);
  CPPUNIT_TEST(IncarnationIsReadWhereGiven);
  CPPUNIT_TEST(OptionalFieldsMayBeMissing);
  CPPUNIT_TEST(MalformedMessagesAreRefused);
  CPPUNIT_TEST(ServicesInNoDocumentAreAccepted);
  CPPUNIT_TEST(NumbersAreBounded);
  CPPUNIT_TEST(InvalidLeafIdsAreRefused);
  CPPUNIT_TEST(AnyAcceptedReportCanBeStored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IncarnationIsReadWhereGiven() {
    const auto heartbeat = Read(kHeartbeat, HeartbeatBody().dump());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1765432100123},
                         std::get<control::ReportLeaf>(*heartbeat).report.record.born_ms);
    const auto leave = Read(kDeregister, Json{{"born", 1765432100123}}.dump());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1765432100123}, std::get<control::RetireLeaf>(*leave).born_ms);
  }

  void OptionalFieldsMayBeMissing() {
    for (const char* field : {"zone", "version", "slots", "state", "cold_left_ms", "born"}) {
      CPPUNIT_ASSERT_MESSAGE(field, Read(kHeartbeat, Without(field).dump()).ok());
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                         std::get<control::ReportLeaf>(*Read(kHeartbeat, Without("born").dump()))
                             .report.record.born_ms);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                         std::get<control::RetireLeaf>(*Read(kDeregister, "")).born_ms);
    CPPUNIT_ASSERT(Read(kDeregister, "{}").ok());
  }

  void MalformedMessagesAreRefused() {
    const std::string bodies[] = {
        "",
        "{",
        "[]",
        "7",
        "null",
        "\xff\xfe",
        "{\"backend\":\"\xff\",\"address\":\"10.0.0.9:80\",\"seq\":1}",
        Without("backend").dump(),
        Without("address").dump(),
        Without("seq").dump(),
        With("backend", 7).dump(),
        With("backend", "").dump(),
        With("address", Json::array({"10.0.0.9", 80})).dump(),
        With("address", "").dump(),
        With("address", "10.0.0.9").dump(),
        With("address", "10.0.0.9:").dump(),
        With("address", "10.0.0.9:0").dump(),
        With("address", "10.0.0.9:65536").dump(),
        With("address", "10.0.0.9:8o").dump(),
        With("address", "10.0.0:80").dump(),
        With("address", "hall.example:80").dump(),
        With("zone", 7).dump(),
        With("slots", "2").dump(),
        With("slots", -1).dump(),
        With("slots", 1.5).dump(),
        With("state", "starting").dump(),
        With("state", 7).dump(),
        With("cold_left_ms", "0").dump(),
        With("seq", "4").dump(),
        With("seq", -4).dump(),
        With("born", "1765432100123").dump(),
        With("born", -1).dump(),
        With("born", 1765432100123.5).dump(),
        With("born", Json::object()).dump(),
    };
    for (const std::string& body : bodies) {
      const auto command = Read(kHeartbeat, body);
      CPPUNIT_ASSERT_MESSAGE(body, !command.ok());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400,
                                   ControlDialect().WriteRefusal(command.status()).status);
    }
    for (const std::string& body : {std::string("{"), std::string("[]"), std::string("\xff"),
                                    Json{{"born", "x"}}.dump(), Json{{"born", -1}}.dump()}) {
      CPPUNIT_ASSERT_MESSAGE(body, !Read(kDeregister, body).ok());
    }
  }

  /// The document that names the service may arrive later.
  void ServicesInNoDocumentAreAccepted() {
    CPPUNIT_ASSERT(Read(kHeartbeat, With("backend", "not-yet-there").dump()).ok());
  }

  void NumbersAreBounded() {
    const uint64_t max = std::numeric_limits<uint64_t>::max();
    Json body = HeartbeatBody();
    body["slots"] = (uint64_t{1} << 32);
    body["cold_left_ms"] = max;
    const auto heartbeat = Read(kHeartbeat, body.dump());
    CPPUNIT_ASSERT(heartbeat.ok());
    const wire::LeafRecord& record = std::get<control::ReportLeaf>(*heartbeat).report.record;
    CPPUNIT_ASSERT(record.slots > 0);
    CPPUNIT_ASSERT(Milliseconds(static_cast<int64_t>(record.cold_milliseconds)) > Duration(0));
  }

  void InvalidLeafIdsAreRefused() {
    for (const std::string& id :
         {std::string(), std::string("a/b"), std::string("a b"), std::string("\xff"),
          std::string("a\n"), std::string(10000, 'a')}) {
      CPPUNIT_ASSERT_MESSAGE(
          id, !Read("/v1/instances/" + id + "/heartbeat", HeartbeatBody().dump()).ok());
      CPPUNIT_ASSERT_MESSAGE(id, !Read("/v1/instances/" + id + "/deregister", "").ok());
    }
  }

  /// Any report that is accepted can be committed, serialized and read again.
  void AnyAcceptedReportCanBeStored() {
    const bool held = rc::check("any accepted report can be stored", [] {
      const auto value = rc::gen::element<Json>(
          Json(), Json(0), Json(-1), Json(1.5), Json(uint64_t{1} << 63), Json("x"),
          Json("10.0.0.9:80"), Json("ready"), Json("draining"), Json(""), Json("\u00e9"),
          Json::array(), Json::object(), Json(true));
      Json body = HeartbeatBody();
      for (const auto& field : *rc::gen::container<std::vector<std::string>>(
               rc::gen::element<std::string>("backend", "address", "zone", "slots", "state", "seq",
                                             "cold_left_ms", "born", "other"))) {
        body[field] = *value;
      }
      std::string text = body.dump();
      const auto cut = *rc::gen::inRange<size_t>(0, 4);
      if (cut == 0) {
        text.resize(*rc::gen::inRange<size_t>(0, text.size()));
      } else if (cut == 1) {
        text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
      }
      const auto id = *rc::gen::arbitrary<std::string>();
      Read("/v1/instances/" + id + "/deregister", text).status().IgnoreError();
      const auto command = Read("/v1/instances/" + id + "/heartbeat", text);
      if (!command.ok()) {
        return;
      }
      const wire::LeafRecord& record = std::get<control::ReportLeaf>(*command).report.record;
      config::Change change;
      change.kind = config::ChangeKind::kReportLeafs;
      change.reported = {{record.leaf, record.service, record.address, record.zone, record.slots, 1,
                          record.born_ms}};
      config::ConfigState state;
      const auto read = config::ParseChange(Json::parse(Json(change).dump()));
      RC_ASSERT(read.ok());
      state.Apply(*read);
      RC_ASSERT(config::ConfigState::Deserialize(state.Serialize()).ok());
    });
    CPPUNIT_ASSERT(held);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeafMessagesTest);

}  // namespace pumicedyke::platform
