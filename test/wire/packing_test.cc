// Tests that unpacking restores packed texts and refuses damaged ones.
#include "wire/packing.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace pumicedyke::wire {

class PackingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PackingTest);
  CPPUNIT_TEST(PackedTextsAreRestored);
  CPPUNIT_TEST(RepetitiveTextShrinks);
  CPPUNIT_TEST(DamagedBytesAreRefused);
  CPPUNIT_TEST(LengthThatTheBytesCannotHaveIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PackedTextsAreRestored() {
    const bool held = rc::check("texts come back", [](const std::string& piece) {
      std::string text = "{";
      const int times = *rc::gen::inRange(0, 200);
      for (int i = 0; i < times; ++i) {
        text += piece;
      }
      const auto back = Unpack(Pack(text));
      RC_ASSERT(back.ok());
      RC_ASSERT(*back == text);
    });
    CPPUNIT_ASSERT(held);
  }

  void RepetitiveTextShrinks() {
    const std::string text(10000, 'x');
    CPPUNIT_ASSERT(Pack(text).size() < text.size() / 10);
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), Pack("{}"));
  }

  void DamagedBytesAreRefused() {
    std::string packed = Pack(std::string(10000, 'x'));
    CPPUNIT_ASSERT(!Unpack(packed.substr(0, packed.size() / 2)).ok());
    CPPUNIT_ASSERT(!Unpack(packed.substr(0, 3)).ok());
    // A length above the maximum frame size.
    packed[1] = '\xff';
    CPPUNIT_ASSERT(!Unpack(packed).ok());
  }

  /// Guards against memory allocated for the length that a few bytes announce.
  void LengthThatTheBytesCannotHaveIsRefused() {
    std::string packed = Pack(std::string(10000, 'x'));
    // 48 MB, below the maximum frame size.
    packed[1] = '\x03';
    const absl::Status status = Unpack(packed).status();
    CPPUNIT_ASSERT_EQUAL(std::string("packed bytes of a wrong length"),
                         std::string(status.message()));
    // The most that can be packed into so few bytes.
    const std::string zeros(size_t{32} << 20, '\0');
    CPPUNIT_ASSERT(Unpack(Pack(zeros)).value() == zeros);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PackingTest);

}  // namespace pumicedyke::wire
