// Tests that equal fields give the same request identity, and different fields a different one.
#include "common/request_identity.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke {

class RequestIdentityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestIdentityTest);
  CPPUNIT_TEST(SameFieldsGiveTheSameIdentity);
  CPPUNIT_TEST(FieldBoundariesCount);
  CPPUNIT_TEST(TextReadsBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SameFieldsGiveTheSameIdentity() {
    const RequestIdentity identity = IdentityOf({"GET", "/x"});
    CPPUNIT_ASSERT(identity.known());
    CPPUNIT_ASSERT(identity == IdentityOf({"GET", "/x"}));
    CPPUNIT_ASSERT(identity != IdentityOf({"GET", "/y"}));
    CPPUNIT_ASSERT(!RequestIdentity{}.known());
  }

  void FieldBoundariesCount() {
    CPPUNIT_ASSERT(IdentityOf({"ab", "c"}) != IdentityOf({"a", "bc"}));
    CPPUNIT_ASSERT(IdentityOf({"ab"}) != IdentityOf({"ab", ""}));
  }

  void TextReadsBack() {
    const RequestIdentity identity = IdentityOf({"GET", "/x"});
    const std::string text = ToText(identity);
    CPPUNIT_ASSERT_EQUAL(size_t{32}, text.size());
    CPPUNIT_ASSERT(RequestIdentityFrom(text) == identity);
    CPPUNIT_ASSERT(!RequestIdentityFrom("").has_value());
    CPPUNIT_ASSERT(!RequestIdentityFrom(text + "0").has_value());
    CPPUNIT_ASSERT(!RequestIdentityFrom(std::string(32, 'z')).has_value());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestIdentityTest);

}  // namespace pumicedyke
