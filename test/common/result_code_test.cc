// Tests that the tables of result codes in the docs and in the code are the same.
#include "common/result_code.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace pumicedyke {

class ResultCodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResultCodeTest);
  CPPUNIT_TEST(DocsListEveryCodeAndNoOther);
  CPPUNIT_TEST(StatusCarriesItsCode);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DocsListEveryCodeAndNoOther() {
    std::set<std::string> documented;
    std::ifstream page(std::string(SOURCE_DIR) + "/docs/RESULT_CODES.md");
    for (std::string line; std::getline(page, line);) {
      const bool is_row = line.size() > 2 && line[0] == '|' && std::isdigit(line[2]) != 0;
      if (is_row) {
        documented.insert(line);
      }
    }
    std::set<std::string> coded;
    for (const ResultCodeInfo& info : AllResultCodes()) {
      coded.insert(absl::StrCat("| ", static_cast<int>(info.code), " | `", std::string(info.name),
                                "` | ", info.http_status, " | ", std::string(info.meaning), " |"));
    }
    for (const std::string& row : coded) {
      CPPUNIT_ASSERT_MESSAGE("not in the docs: " + row, documented.contains(row));
    }
    CPPUNIT_ASSERT_EQUAL(coded.size(), documented.size());
  }

  void StatusCarriesItsCode() {
    for (const ResultCodeInfo& info : AllResultCodes()) {
      if (info.code != ResultCode::kOk) {
        CPPUNIT_ASSERT(CodeOf(MakeStatus(info.code, "why")) == info.code);
      }
    }
    CPPUNIT_ASSERT(CodeOf(absl::InternalError("other")) == ResultCode::kInternal);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ResultCodeTest);

}  // namespace pumicedyke
