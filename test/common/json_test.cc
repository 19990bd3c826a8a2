// Parsing and encoding of JSON text of any origin.
#include "common/json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "common/result_code.h"

namespace pumicedyke {

class JsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonTest);
  CPPUNIT_TEST(TextWithSurplusBytesIsUnreadable);
  CPPUNIT_TEST(ReadableTextCanBeEncoded);
  CPPUNIT_TEST(InvalidTextIsAnError);
  CPPUNIT_TEST(DeeplyNestedTextIsRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against text that is read although only its beginning is JSON.
  void TextWithSurplusBytesIsUnreadable() {
    const std::string text = R"({"a":[1,"b"]})";
    CPPUNIT_ASSERT(ParseJson(text).is_object());
    CPPUNIT_ASSERT(ParseJson(" \r\n" + text + " \t\n").is_object());
    for (size_t at = 0; at <= text.size(); ++at) {
      std::string broken = text;
      broken.insert(at, 1, '\0');
      CPPUNIT_ASSERT(ParseJson(broken).is_discarded());
      CPPUNIT_ASSERT(!ParseObject(broken, "it").ok());
    }
    CPPUNIT_ASSERT(ParseJson("").is_discarded());
    CPPUNIT_ASSERT(ParseJson(std::string(1, '\0')).is_discarded());
  }

  /// What is kept as received is encoded as a string later.
  void ReadableTextCanBeEncoded() {
    const bool held = rc::check("readable text is valid UTF-8", [](const std::string& bytes) {
      for (const std::string& text : {bytes, "{}" + bytes, "[\"" + bytes + "\"]"}) {
        RC_ASSERT(ParseJson(text).is_discarded() || EncodeJson(text).ok());
      }
    });
    CPPUNIT_ASSERT(held);
  }

  void InvalidTextIsAnError() {
    for (const char* text : {"\xff", "\xc0\xaf", "a\xe4", "\xed\xa0\x80", "\xf5\x80\x80\x80"}) {
      const absl::StatusOr<std::string> encoded = EncodeJson(Json{{"name", text}});
      CPPUNIT_ASSERT_EQUAL(ResultCode::kMalformedRequest, CodeOf(encoded.status()));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("\"\u00e4\""), *EncodeJson("\u00e4"));
  }

  /// Guards against text whose depth exhausts the stack.
  void DeeplyNestedTextIsRead() {
    constexpr size_t kDepth = 4 << 20;
    const std::string open(kDepth, '[');
    CPPUNIT_ASSERT(ParseJson(open).is_discarded());
    CPPUNIT_ASSERT(ParseJson(open + std::string(kDepth, ']')).is_array());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);

}  // namespace pumicedyke
