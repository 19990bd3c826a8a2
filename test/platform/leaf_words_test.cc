// What leafs say of themselves, and what others say in their place.
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

Json Word() {
  return {
      {"backend", "s1"},      {"address", "10.0.0.9:80"}, {"zone", "north"}, {"version", "v1"},
      {"slots", 2},           {"state", "ready"},         {"seq", 4},        {"cold_left_ms", 0},
      {"born", 1765432100123}};
}

Json With(const char* field, const Json& value) {
  Json word = Word();
  word[field] = value;
  return word;
}

Json Without(const char* field) {
  Json word = Word();
  word.erase(field);
  return word;
}

}  // namespace

class LeafWordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeafWordsTest);
  CPPUNIT_TEST(LifeIsReadWhereItIsSaid);
  CPPUNIT_TEST(FieldsThatMayBeMissing);
  CPPUNIT_TEST(WordsThatNameNoLeaf);
  CPPUNIT_TEST(ServicesThatNoDocumentNamesAreKept);
  CPPUNIT_TEST(FiguresAreBounded);
  CPPUNIT_TEST(CallsThatNameNoLeaf);
  CPPUNIT_TEST(AnyWordsAreHarmless);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LifeIsReadWhereItIsSaid() {
    const auto beat = Read(kHeartbeat, Word().dump());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1765432100123},
                         std::get<control::ReportLeaf>(*beat).report.record.born_ms);
    const auto leave = Read(kDeregister, Json{{"born", 1765432100123}}.dump());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1765432100123}, std::get<control::RetireLeaf>(*leave).born_ms);
  }

  void FieldsThatMayBeMissing() {
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

  void WordsThatNameNoLeaf() {
    const std::string words[] = {
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
    for (const std::string& word : words) {
      const auto command = Read(kHeartbeat, word);
      CPPUNIT_ASSERT_MESSAGE(word, !command.ok());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(word, 400,
                                   ControlDialect().WriteRefusal(command.status()).status);
    }
    for (const std::string& word : {std::string("{"), std::string("[]"), std::string("\xff"),
                                    Json{{"born", "x"}}.dump(), Json{{"born", -1}}.dump()}) {
      CPPUNIT_ASSERT_MESSAGE(word, !Read(kDeregister, word).ok());
    }
  }

  /// A document that names it may be on its way.
  void ServicesThatNoDocumentNamesAreKept() {
    CPPUNIT_ASSERT(Read(kHeartbeat, With("backend", "not-yet-there").dump()).ok());
  }

  void FiguresAreBounded() {
    const uint64_t most = std::numeric_limits<uint64_t>::max();
    Json word = Word();
    word["slots"] = (uint64_t{1} << 32);
    word["cold_left_ms"] = most;
    const auto beat = Read(kHeartbeat, word.dump());
    CPPUNIT_ASSERT(beat.ok());
    const wire::LeafRecord& record = std::get<control::ReportLeaf>(*beat).report.record;
    CPPUNIT_ASSERT(record.slots > 0);
    CPPUNIT_ASSERT(Milliseconds(static_cast<int64_t>(record.cold_milliseconds)) > Duration(0));
  }

  void CallsThatNameNoLeaf() {
    for (const std::string& id :
         {std::string(), std::string("a/b"), std::string("a b"), std::string("\xff"),
          std::string("a\n"), std::string(10000, 'a')}) {
      CPPUNIT_ASSERT_MESSAGE(id, !Read("/v1/instances/" + id + "/heartbeat", Word().dump()).ok());
      CPPUNIT_ASSERT_MESSAGE(id, !Read("/v1/instances/" + id + "/deregister", "").ok());
    }
  }

  /// Whatever is read can be committed, written down and read again.
  void AnyWordsAreHarmless() {
    const bool held = rc::check("any words are harmless", [] {
      const auto value = rc::gen::element<Json>(
          Json(), Json(0), Json(-1), Json(1.5), Json(uint64_t{1} << 63), Json("x"),
          Json("10.0.0.9:80"), Json("ready"), Json("draining"), Json(""), Json("\u00e9"),
          Json::array(), Json::object(), Json(true));
      Json word = Word();
      for (const auto& field : *rc::gen::container<std::vector<std::string>>(
               rc::gen::element<std::string>("backend", "address", "zone", "slots", "state", "seq",
                                             "cold_left_ms", "born", "other"))) {
        word[field] = *value;
      }
      std::string text = word.dump();
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
CPPUNIT_TEST_SUITE_REGISTRATION(LeafWordsTest);

}  // namespace pumicedyke::platform
