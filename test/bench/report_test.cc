// Tests that benchmark runs are deterministic for a seed, that comparisons of reports ignore noise,
// and that all scenario files are valid.
#include "bench/report.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace pumicedyke::bench {
namespace {

Report TwoSeeds(double first_p99, double second_p99) {
  Report report;
  for (const double p99 : {first_p99, second_p99}) {
    RunReport run;
    run.variant = "product";
    run.load = 0.6;
    run.p99_ms = p99;
    report.runs.push_back(run);
  }
  return report;
}

}  // namespace

class ReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportTest);
  CPPUNIT_TEST(SameSeedSameReport);
  CPPUNIT_TEST(NoiseIsNotReportedAsChange);
  CPPUNIT_TEST(EveryScenarioFileIsAccepted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SameSeedSameReport() {
    const auto scenario = ReadScenario(std::string(SOURCE_DIR) + "/bench/scenarios/transport.toml");
    CPPUNIT_ASSERT(scenario.ok());
    RunOptions options;
    options.length = Seconds(1);
    options.warm_up = Seconds(1);
    RunReport first = RunSimulated(*scenario, options);
    RunReport second = RunSimulated(*scenario, options);
    CPPUNIT_ASSERT(first.queries > 100);
    // CPU time is the only value not measured in simulated time.
    first.cpu_s = second.cpu_s = 0;
    CPPUNIT_ASSERT_EQUAL(Json(first).dump(), Json(second).dump());
    options.seed = 2;
    CPPUNIT_ASSERT(RunSimulated(*scenario, options).p99_ms != first.p99_ms);
  }

  void NoiseIsNotReportedAsChange() {
    const Report before = TwoSeeds(100, 110);
    CPPUNIT_ASSERT_EQUAL(std::string("no change beyond the noise\n"),
                         Compare(before, TwoSeeds(104, 112)));
    CPPUNIT_ASSERT(Compare(before, TwoSeeds(50, 52)).find("p99_ms") != std::string::npos);
    CPPUNIT_ASSERT(Compare(before, Report{}).starts_with("nothing to compare"));
  }

  void EveryScenarioFileIsAccepted() {
    for (const std::string site : {"lookup-desk", "form-mailer", "reprint-room", "collector-roster",
                                   "dyspozytor", "darczyncy", "klasyfikacja", "transport"}) {
      for (const std::string reading : {"", "-single"}) {
        const std::string path =
            std::string(SOURCE_DIR).append("/bench/scenarios/").append(site).append(reading);
        const auto scenario = ReadScenario(path + ".toml");
        CPPUNIT_ASSERT_MESSAGE(std::string(scenario.status().message()), scenario.ok());
        CPPUNIT_ASSERT_EQUAL(site + reading, scenario->name);
      }
    }
    CPPUNIT_ASSERT(!ReadScenario(std::string(SOURCE_DIR) + "/README.md").ok());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReportTest);

}  // namespace pumicedyke::bench
