// Sends requests of a mutating route through gateways to two leafs that are at times full, and
// compares each answer with what the leafs have run.
//
//   mutating ROOT RECORD
//
// The leafs send a second copy of some answers, late; with TROUBLE=0 they send none. Exits with 1
// if the rule TWICE was broken.
#include "fleet.h"

namespace {

using namespace review;  // NOLINT

struct Sent {
  std::string id;
  std::string path;
  double at = 0;
  double answered = 0;
  int status = 0;
  std::string stamp;
};

constexpr int kClients = 7;
constexpr double kTrafficMs = 60000;
constexpr int kMaxAttempts = 4;
/// One answer in twenty has a second copy.
constexpr double kSecondAnswers = 0.05;
constexpr double kSecondAnswerAfterMs = 25;
constexpr double kRouteTimeoutMs = 1500;
constexpr double kClientDeadlineMs = 1500;

std::string Document() {
  return "{\"version\":7,\"routes\":[{\"name\":\"r-reserve\",\"host\":\"desk.example\","
         "\"path_prefix\":\"/reserve/\",\"type\":\"mutating\",\"timeout_ms\":" +
         std::to_string(static_cast<int>(kRouteTimeoutMs)) +
         ",\"slo_ms\":400,\"priority\":1,\"backend\":\"desk\",\"max_attempts\":" +
         std::to_string(kMaxAttempts) +
         "}],\"backends\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":110,"
         "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

bool PromisesNotRun(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const std::string root = argv[1];
  const char* trouble = std::getenv("TROUBLE");
  const bool disturbed = trouble == nullptr || std::string(trouble) != "0";

  // The leafs' threads outlive main().
  auto* record = new RunRecord;
  auto* fleet = new Fleet(root, /*controls=*/5, /*gateways=*/2);
  fleet->StartAll();
  for (int i = 0; i < 2; ++i) {
    LeafOptions options;
    options.id = "i-review-" + std::to_string(i);
    options.service = "desk";
    options.zone = i == 0 ? "hala-ostroleka" : "hala-siedlce";
    if (disturbed) {
      options.second_answers = kSecondAnswers;
      options.second_answer_after_ms = kSecondAnswerAfterMs;
    }
    (new Leaf(options, "127.0.0." + std::to_string(31 + i), record))->StartHeartbeats(fleet);
  }
  SleepMs(2000);
  const bool started = fleet->Put(Document(), 15000) && fleet->WaitReady(15000);
  if (!started || !fleet->AllRun()) {
    std::fprintf(stderr, "the deployment did not start; see %s\n", fleet->folder().c_str());
    ::setenv("KEEP", "1", 1);
    delete fleet;
    std::_Exit(2);
  }
  SleepMs(2000);

  std::mutex mutex;
  std::vector<Sent> all;
  std::vector<std::thread> clients;
  const double end = NowMs() + kTrafficMs;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      std::mt19937 random(std::random_device{}());
      std::uniform_real_distribution<double> pause(0, 60);
      for (int n = 0; NowMs() < end; ++n) {
        Sent sent;
        sent.id = RandomId();
        sent.path = "/reserve/" + std::to_string(i) + "-" + std::to_string(n);
        sent.at = NowMs();
        const Message answer =
            Call(fleet->front(static_cast<size_t>(i) % fleet->gateways()), "POST", sent.path,
                 {{"Host", "desk.example"},
                  {"X-Request-Id", sent.id},
                  {"X-Deadline-Ms", std::to_string(static_cast<int>(kClientDeadlineMs))}},
                 "stack " + sent.path, kClientDeadlineMs + 1000);
        sent.answered = NowMs();
        sent.status = StatusOf(answer);
        sent.stamp = answer.header("x-server-stamp");
        {
          const std::lock_guard<std::mutex> lock(mutex);
          all.push_back(sent);
        }
        SleepMs(pause(random));
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  SleepMs(3000);
  const bool all_run = fleet->AllRun();

  int refused = 0;
  int twice = 0;
  std::map<int, int> statuses;
  std::ofstream out(argv[2]);
  out << "times in ms; an answer of 503, 429, 421 or 408 promises that the request has not run\n";
  for (const Sent& sent : all) {
    const std::vector<Run> runs = record->Of(sent.id);
    ++statuses[sent.status];
    const bool breaks_refused = PromisesNotRun(sent.status) && !runs.empty();
    const bool breaks_twice = runs.size() > 1;
    refused += breaks_refused ? 1 : 0;
    twice += breaks_twice ? 1 : 0;
    out << (breaks_refused ? "REFUSED "
            : breaks_twice ? "TWICE "
                           : "ok ")
        << "request " << sent.id << " " << sent.path << " sent " << sent.at << " answered "
        << sent.answered << " status " << sent.status << " stamp '" << sent.stamp
        << "' refused by [";
    for (const std::string& leaf : record->RefusalsOf(sent.id)) {
      out << " " << leaf;
    }
    out << " ] run by [";
    for (const Run& run : runs) {
      out << " " << run.leaf << "@" << run.at;
    }
    out << " ]\n";
  }
  std::ostringstream summary;
  summary << "requests " << all.size() << ", statuses";
  for (const auto& [status, count] : statuses) {
    summary << " " << status << ":" << count;
  }
  summary << ", answered as not run though they ran: " << refused << ", run twice: " << twice
          << (all_run ? "" : ", a process ended") << "\n";
  out << summary.str();
  std::fputs(summary.str().c_str(), stdout);
  std::fflush(stdout);
  const bool served = statuses.count(200) > 0;
  delete fleet;
  out.close();
  if (!all_run || !served) {
    std::_Exit(2);
  }
  std::_Exit(twice > 0 ? 1 : 0);
}
