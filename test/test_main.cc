// Runs every registered CppUnit test; `--only NAME` runs those whose path contains NAME.
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include "common/log.h"

namespace {

/// Prints each test's name, so that a run says what it ran.
class NameListener : public CppUnit::TestListener {
 public:
  void startTest(CppUnit::Test* test) override {  // NOLINT(readability-identifier-naming)
    std::cout << "  " << test->getName() << std::endl;
    ++started;
  }
  int started = 0;
};

void AddMatching(CppUnit::Test* test, const std::string& only, CppUnit::TestRunner* runner) {
  if (test->getChildTestCount() == 0) {
    if (test->getName().find(only) != std::string::npos) {
      runner->addTest(test);
    }
    return;
  }
  for (int i = 0; i < test->getChildTestCount(); ++i) {
    AddMatching(test->getChildTestAt(i), only, runner);
  }
}

}  // namespace

int main(int argc, char** argv) {
  pumicedyke::StartLog("pumicedyke-tests");
  // Properties are tried on the same cases every run.
  constexpr char kPropertySeed[] = "seed=20261202 max_success=200";
  setenv("RC_PARAMS", kPropertySeed, /*overwrite=*/0);
  std::cout << "rapidcheck: " << getenv("RC_PARAMS") << std::endl;
  const std::string only = argc == 3 && std::string(argv[1]) == "--only" ? argv[2] : "";
  CppUnit::Test* all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  CppUnit::TestRunner runner;
  AddMatching(all, only, &runner);
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  NameListener names;
  result.addListener(&collector);
  result.addListener(&names);
  runner.run(result);
  CppUnit::CompilerOutputter(&collector, std::cout).write();
  const int failed = collector.testErrors() + collector.testFailures();
  std::cout << (names.started - failed) << " passed, " << failed << " failed" << std::endl;
  return failed == 0 && names.started > 0 ? 0 : 1;
}
