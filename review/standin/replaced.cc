// A control process is killed and comes back after some seconds, while another machine is replaced
// as planned by an empty one. Later a configuration is acknowledged, two machines lose their disks,
// and the other processes are killed at the same moment. Then the configuration is read back.
//
//   replaced ROOT RECORD
//
// With TROUBLE=0 no control process is killed beside the replacement. Exits with 1 if the rule
// CONFIG was broken: the acknowledged configuration is not read back.
#include "fleet.h"

namespace {

using namespace review;  // NOLINT

constexpr size_t kKilled = 2;
constexpr size_t kReplaced = 3;
constexpr size_t kSuccessor = 5;
constexpr size_t kFirstLostDisk = 0;
constexpr size_t kSecondLostDisk = 4;
/// The site file names 3.5 s for control processes that are killed; twice that is allowed.
constexpr double kDownMs = 4500;
constexpr double kGraceMs = 6000;
/// Calm time before the final fault. A machine that returns counts as lost for 4 s more.
constexpr double kCalmMs = 12000;
/// `recovery_s` and `contact_ms` of the site, and a margin.
constexpr double kReadBackMs = 30000;

std::string Document(int version) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-note\",\"host\":\"desk.example\",\"path_prefix\":\"/note/\","
         "\"type\":\"idempotent\",\"timeout_ms\":1500,\"slo_ms\":400,\"priority\":1,\"backend\":"
         "\"desk\",\"max_attempts\":2}],\"backends\":[{\"name\":\"desk\",\"health_path\":"
         "\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
         "\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000}}";
}

std::string Name(size_t i) { return "control-" + std::to_string(i); }

/// Asks the machines in turn until one returns `document`.
bool IsReadBack(const Fleet& fleet, const std::string& document, double timeout_ms) {
  const double end = NowMs() + timeout_ms;
  for (size_t i = 0; NowMs() < end; ++i) {
    const size_t machine = i % fleet.controls();
    if (machine == kReplaced) {
      continue;
    }
    const Message answer =
        Call(fleet.service(machine), "GET", "/v1/config/get", {{"Host", "control"}}, "", 1000);
    if (StatusOf(answer) == 200 && answer.body == document) {
      return true;
    }
    SleepMs(100);
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  const bool disturbed = trouble == nullptr || std::string(trouble) != "0";
  Fleet fleet(argv[1], /*controls=*/6, /*gateways=*/1);
  std::ofstream out(argv[2]);
  const auto note = [&out](const std::string& what) { out << NowMs() << " " << what << std::endl; };
  for (size_t i = 0; i < kSuccessor; ++i) {
    fleet.StartControl(i, /*bootstrap=*/true);
  }
  fleet.StartGateway(0);
  SleepMs(2000);
  if (!fleet.Put(Document(7), 15000) || !fleet.WaitReady(15000)) {
    std::fputs("the deployment did not start\n", stderr);
    return 2;
  }
  note("version 7 is acknowledged");
  SleepMs(4000);

  const double killed_at = NowMs();
  if (disturbed) {
    fleet.Kill(Name(kKilled));
    note(Name(kKilled) + " is killed");
  }
  SleepMs(3400);
  fleet.StartControl(kSuccessor, /*bootstrap=*/false);
  note(Name(kSuccessor) + ", an empty machine at another address, is started");
  SleepMs(std::max(0.0, killed_at + kDownMs - NowMs()));
  if (disturbed) {
    fleet.StartControl(kKilled, /*bootstrap=*/false);
    note(Name(kKilled) + " is back, with its disk");
  }
  fleet.Signal(Name(kReplaced), SIGTERM);
  note(Name(kReplaced) + " gets SIGTERM and leaves for good");
  const double grace_end = NowMs() + kGraceMs;
  bool ended = false;
  while (!ended && NowMs() < grace_end) {
    SleepMs(50);
    ended = fleet.HasEnded(Name(kReplaced));
  }
  if (!ended) {
    fleet.Kill(Name(kReplaced));
  }
  SleepMs(kCalmMs);
  if (!fleet.AllRun() || !fleet.Put(Document(8), 5000)) {
    std::fputs("version 8 was not acknowledged\n", stderr);
    return 2;
  }
  note("version 8 is acknowledged");

  std::vector<size_t> machines;
  for (size_t i = 0; i < fleet.controls(); ++i) {
    if (i != kReplaced) {
      machines.push_back(i);
    }
  }
  for (const size_t i : machines) {
    fleet.Kill(Name(i));
  }
  fleet.LoseDisk(kFirstLostDisk);
  fleet.LoseDisk(kSecondLostDisk);
  note("all control processes are killed; " + Name(kFirstLostDisk) + " and " +
       Name(kSecondLostDisk) + " lose their disks");
  SleepMs(1500);
  for (const size_t i : machines) {
    fleet.StartControl(i, /*bootstrap=*/false);
  }
  note("all control processes are started again");
  const bool read_back = IsReadBack(fleet, Document(8), kReadBackMs);
  const std::string result = read_back ? "version 8 is read back" : "version 8 is not read back";
  note(result);
  std::puts(result.c_str());
  std::fflush(stdout);
  return read_back ? 0 : 1;
}
