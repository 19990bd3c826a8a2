// Runs one case: review-standin CASE RECORD. The environment's TROUBLE=0 leaves the disruption out.
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

#include "cases.h"

int main(int argc, char** argv) {
  using namespace standin;  // NOLINT
  const std::map<std::string, std::function<int(Record*, bool)>> cases = {
      {"split", RunSplitCase},
      {"bodies", RunBodiesCase},
      {"body-limit", RunBodyLimitCase},
      {"replaced-controls", RunReplacedControlsCase},
      {"ready-path", RunReadyPathCase}};
  const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
  if (found == cases.end()) {
    std::fprintf(stderr, "usage: review-standin CASE RECORD\n");
    return kCouldNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  Record record(argv[2]);
  const int result = found->second(&record, trouble == nullptr || std::string(trouble) != "0");
  record.Add("result: " + std::to_string(result));
  return result;
}
