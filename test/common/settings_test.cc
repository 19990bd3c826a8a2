// Tests that all errors of a settings file are reported together.
#include "common/settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include "absl/strings/str_cat.h"
#include "common/result_code.h"

namespace pumicedyke {
namespace {

/// A file in the build folder that is removed by the destructor.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& content)
      : path_(std::string(BINARY_DIR) + "/settings_test.toml") {
    std::ofstream(path_) << content;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(EveryErrorIsReportedAtOnce);
  CPPUNIT_TEST(ValidFileIsRead);
  CPPUNIT_TEST(AnyTextIsRefusedOrRead);
  CPPUNIT_TEST(FileWithoutEndIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against memory taken by a settings file that never ends.
  void FileWithoutEndIsRefused() {
    Settings settings("/dev/zero");
    const absl::Status status = settings.Finish();
    CPPUNIT_ASSERT(CodeOf(status) == ResultCode::kInvalidConfig);
    CPPUNIT_ASSERT_EQUAL(std::string("/dev/zero: has more than 1048576 bytes"),
                         std::string(status.message()));
  }

  void EveryErrorIsReportedAtOnce() {
    const TemporaryFile file(
        "name = 7\n"
        "address = \"localhost:1\"\n"
        "count = 99\n"
        "colour = \"red\"\n");
    Settings settings(file.path());
    settings.Required("name", "a name");
    settings.Address("address", "");
    settings.Integer("count", 1, 1, 10);
    settings.Required("folder", "a folder");
    const absl::Status status = settings.Finish();
    CPPUNIT_ASSERT(CodeOf(status) == ResultCode::kInvalidConfig);
    const std::string message(status.message());
    for (const std::string part : {":1: field 'name'", ":2: field 'address'", ":3: field 'count'",
                                   ":4: field 'colour'", "field 'folder'"}) {
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(part, " is not in: ", message),
                             message.find(part) != std::string::npos);
    }
  }

  void ValidFileIsRead() {
    const TemporaryFile file("count = 3\nlist = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n");
    Settings settings(file.path());
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, settings.Integer("count", 1, 1, 10));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, settings.AddressList("list").size());
    CPPUNIT_ASSERT_EQUAL(std::string("x"), settings.String("other", "x"));
    CPPUNIT_ASSERT(settings.Finish().ok());
  }

  void AnyTextIsRefusedOrRead() {
    const bool held = rc::check("any text", [](const std::string& text) {
      const TemporaryFile file(text);
      Settings settings(file.path());
      settings.Integer("count", 1, 1, 10);
      // Any text gives a status; an empty file is valid.
      const absl::Status status = settings.Finish();
      RC_ASSERT(status.ok() || !status.message().empty());
    });
    CPPUNIT_ASSERT(held);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace pumicedyke
