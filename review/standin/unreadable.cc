// An operator sends configurations that cannot be read whole, as PROTOCOL.md says: to another
// control machine after a failure, until there is a clear answer. First one whose last bytes are
// text, then one whose last bytes are not. Counts the control processes that end by themselves.
//
//   unreadable ROOT RECORD
//
// With TROUBLE=0 the operator sends valid configurations instead. Exits with 1 if the rule CONFIG
// was broken ("Anything invalid is acknowledged"), or the rule Fault (on half of the core,
// processes end by themselves three times).
#include "fleet.h"

namespace {

using namespace review;  // NOLINT

constexpr double kOrderMs = 30000;
constexpr double kRestartDelayMs = 300;
constexpr int kExits = 3;

std::string Document(int version) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-note\",\"host\":\"desk.example\",\"path_prefix\":\"/note/\","
         "\"type\":\"idempotent\",\"timeout_ms\":1500,\"slo_ms\":400,\"priority\":1,\"backend\":"
         "\"desk\",\"max_attempts\":2}],\"backends\":[{\"name\":\"desk\",\"health_path\":"
         "\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
         "\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000}}";
}

bool EndsCall(int status, int attempts) {
  const bool at_once =
      status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
  return status == 200 || at_once || (status >= 400 && status < 500 && attempts >= 3);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  const bool disturbed = trouble == nullptr || std::string(trouble) != "0";
  Fleet fleet(argv[1], /*controls=*/5, /*gateways=*/2);
  std::ofstream out(argv[2]);
  fleet.StartAll();
  SleepMs(2000);
  if (!fleet.Put(Document(7), 15000) || !fleet.WaitReady(15000)) {
    std::fputs("the deployment did not start\n", stderr);
    return 2;
  }
  out << NowMs() << " version 7 is acknowledged, the gateways are ready\n";
  SleepMs(4000);

  // What follows the object is what a sender leaves that sends the whole of its buffer.
  const std::string left_text = disturbed ? std::string("\0 left over", 11) : "";
  const std::string left_bytes = disturbed ? std::string("\0\xff\xfe\x80 left over", 14) : "";
  const Message first = Call(fleet.service(0), "POST", "/v1/config/put",
                             {{"Host", "control"}, {"Content-Type", "application/json"}},
                             Document(8) + left_text, 3000);
  const bool acknowledged = StatusOf(first) == 200;
  SleepMs(500);
  const Message read =
      Call(fleet.service(1), "GET", "/v1/config/get", {{"Host", "control"}}, "", 3000);
  const bool in_force = read.body == Document(8) + left_text;
  out << NowMs() << " version 8 and left-over text: " << first.first_line
      << (in_force ? "; it is read back as it was sent\n" : "; it is not read back\n");

  const std::string order = Document(9) + left_bytes;
  std::vector<int> exits(fleet.controls(), 0);
  std::vector<double> restart_at(fleet.controls(), 0);
  double pause = 100;
  double next_attempt = NowMs();
  int attempts = 0;
  int status = 0;
  bool answered = false;
  const double end = NowMs() + kOrderMs;
  while (NowMs() < end && (!answered || NowMs() < next_attempt + 3000)) {
    for (size_t i = 0; i < fleet.controls(); ++i) {
      const std::string name = "control-" + std::to_string(i);
      if (fleet.HasEnded(name)) {
        ++exits[i];
        restart_at[i] = NowMs() + kRestartDelayMs;
        out << NowMs() << " " << name << " has ended by itself, for the " << exits[i] << ". time\n";
      }
      if (restart_at[i] > 0 && NowMs() >= restart_at[i]) {
        restart_at[i] = 0;
        fleet.StartControl(i, /*bootstrap=*/false);
      }
    }
    if (!answered && NowMs() >= next_attempt) {
      const size_t machine = static_cast<size_t>(attempts++) % fleet.controls();
      const Message answer =
          Call(fleet.service(machine), "POST", "/v1/config/put",
               {{"Host", "control"}, {"Content-Type", "application/json"}}, order, 1000);
      status = StatusOf(answer);
      out << NowMs() << " the order was sent to control-" << machine << ": "
          << (status == 0 ? "no answer" : answer.first_line) << "\n";
      answered = EndsCall(status, attempts);
      next_attempt = NowMs() + pause;
      pause = std::min(1000.0, pause * 1.5);
    }
    SleepMs(10);
  }
  const auto often =
      std::count_if(exits.begin(), exits.end(), [](int count) { return count >= kExits; });
  std::ostringstream summary;
  summary << "left-over text: status " << StatusOf(first) << (in_force ? ", in force" : "")
          << "; left-over bytes: attempts " << attempts << ", last status " << status
          << ", ends by themselves:";
  for (const int count : exits) {
    summary << " " << count;
  }
  summary << "\n";
  out << summary.str();
  std::fputs(summary.str().c_str(), stdout);
  std::fflush(stdout);
  const bool fault = 2 * static_cast<size_t>(often) >= fleet.controls();
  const bool config = disturbed && (acknowledged || in_force);
  const bool valid_accepted = acknowledged && in_force && status == 200;
  return fault || config ? 1 : disturbed || valid_accepted ? 0 : 2;
}
