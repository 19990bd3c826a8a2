// Merging the greatest records of several shard results.
#include "gateway/record_merge.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace pumicedyke::gateway {

class RecordMergeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordMergeTest);
  CPPUNIT_TEST(BytesCompareUnsignedAndDuplicatesCount);
  CPPUNIT_TEST(RemainderIsIgnored);
  CPPUNIT_TEST(SameAsSortingEverything);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BytesCompareUnsignedAndDuplicatesCount() {
    const std::string high(kRecordBytes, '\xff');
    const std::string low(kRecordBytes, '\x01');
    CPPUNIT_ASSERT_EQUAL(high + high + low, MergeGreatest({low + high, high + low}, 3));
  }

  void RemainderIsIgnored() {
    const std::string record(kRecordBytes, 'a');
    CPPUNIT_ASSERT_EQUAL(record, MergeGreatest({record + "zzz", "zzz", ""}, 10));
    CPPUNIT_ASSERT_EQUAL(std::string(), MergeGreatest({}, 10));
  }

  void SameAsSortingEverything() {
    const bool held = rc::check("merge equals sort", [] {
      std::vector<std::string> parts;
      std::vector<std::string> records;
      const int count = *rc::gen::inRange(0, 6);
      for (int i = 0; i < count; ++i) {
        std::string part;
        const int size = *rc::gen::inRange(0, 12);
        for (int j = 0; j < size; ++j) {
          // Few different byte values, so that equal records are common.
          const auto record = *rc::gen::container<std::string>(
              kRecordBytes, rc::gen::element('\x00', '\x7f', '\x80'));
          records.push_back(record);
          part += record;
        }
        parts.push_back(part + std::string(static_cast<size_t>(*rc::gen::inRange(0, 16)), 'x'));
      }
      const auto top = static_cast<size_t>(*rc::gen::inRange(0, 20));
      std::sort(records.rbegin(), records.rend());
      std::string expected;
      for (size_t i = 0; i < std::min(top, records.size()); ++i) {
        expected += records[i];
      }
      RC_ASSERT(MergeGreatest({parts.begin(), parts.end()}, top) == expected);
    });
    CPPUNIT_ASSERT(held);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RecordMergeTest);

}  // namespace pumicedyke::gateway
