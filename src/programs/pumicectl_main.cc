// The operators' tool. `pumicectl help` lists the commands; docs/OPERATIONS.md explains them.
#include <gflags/gflags.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "common/json.h"
#include "common/result_code.h"
#include "common/text_file.h"
#include "http/http_client.h"
#include "net/event_loop.h"
#include "policy/policy_program.h"
#include "query/messages.h"
#include "server/process.h"

DEFINE_string(control, "127.0.0.1:7200",
              "operator addresses of the control machines, separated by commas");
DEFINE_string(node, "127.0.0.1:7300", "address of a node, for the command query");
DEFINE_string(token_file, "", "file with the operators' token");
DEFINE_bool(json, false, "print the answer as JSON");
DEFINE_int64(expect, -1, "revision of the service that the change is based on; -1: any");
DEFINE_string(submission_id, "", "id of this submission; a resend under the same id is safe");
DEFINE_string(request_class, "", "class of the query");
DEFINE_string(key, "", "Idempotency-Key of the query");
DEFINE_string(continuation, "", "continuation token of an earlier partial answer");
DEFINE_double(deadline_ms, 0, "deadline of the query");
DEFINE_bool(stop, false, "evacuate: ends the evacuation of the zone");
DEFINE_double(timeout_s, 15, "how long to try the control machines");

namespace pumicedyke {
namespace {

using server::ExitCode;
using Arguments = std::vector<std::string>;

struct Command {
  std::string usage;
  std::string help;
  size_t arguments;
  std::function<int(const Arguments&)> run;
};

int Fail(ExitCode code, const std::string& message) {
  std::cerr << "pumicectl: " << message << "\n";
  return static_cast<int>(code);
}

/// More than any document that control machines accept.
constexpr size_t kMaxFileBytes = size_t{64} << 20;

std::string ReadFile(const std::string& path, bool* ok) {
  const absl::StatusOr<std::string> content = ReadTextFile(path, kMaxFileBytes);
  *ok = content.ok();
  return content.value_or("");
}

std::string Authorization() {
  if (FLAGS_token_file.empty()) {
    return "";
  }
  bool ok = false;
  return "Bearer " + std::string(absl::StripAsciiWhitespace(ReadFile(FLAGS_token_file, &ok)));
}

std::string NewSubmissionId() {
  std::random_device device;
  std::ostringstream id;
  id << "cli-" << std::hex << device() << device() << device();
  return id.str();
}

/// Whether another control machine, or a later retry, may give a definite answer.
bool IsRetryable(const http::ClientResponse& response) {
  const Json json = ParseJson(response.body);
  const int code = json.is_object() ? json.value("code", 0) : -1;
  return !response.ok() || code == static_cast<int>(ResultCode::kNoQuorum) ||
         code == static_cast<int>(ResultCode::kNotLeader) ||
         code == static_cast<int>(ResultCode::kShuttingDown);
}

/// Sends a request to the control machines in turn until one gives a definite answer. A change is
/// resent under its submission id, so that it takes effect only once.
http::ClientResponse CallControl(const std::string& path, const std::string& body) {
  const Arguments addresses = absl::StrSplit(FLAGS_control, ',', absl::SkipEmpty());
  const Timestamp retry_until =
      net::EventLoop::Now() + Milliseconds(static_cast<int64_t>(FLAGS_timeout_s * 1000));
  http::ClientResponse response;
  while (net::EventLoop::Now() < retry_until) {
    for (const std::string& address : addresses) {
      http::ClientRequest request;
      request.address = address;
      request.path = path;
      request.body = body;
      request.authorization = Authorization();
      response = http::FetchBlocking(request);
      if (!IsRetryable(response)) {
        return response;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return response;
}

int ExitCodeOf(const http::ClientResponse& response, const Json& json) {
  if (!response.ok() || IsRetryable(response)) {
    return static_cast<int>(ExitCode::kUnavailable);
  }
  const int code = json.value("code", 0);
  return static_cast<int>(code <= static_cast<int>(ResultCode::kPartial) ? ExitCode::kOk
                                                                         : ExitCode::kRefused);
}

int PrintChange(const http::ClientResponse& response) {
  Json json = ParseJson(response.body);
  if (!json.is_object()) {
    return Fail(ExitCode::kUnavailable,
                "no control machine answered: " +
                    (response.error.empty() ? "not an answer" : response.error));
  }
  if (FLAGS_json) {
    std::cout << json.dump() << "\n";
  } else if (json.value("code", 0) == 0) {
    std::cout << "accepted: configuration version " << json.value("version", 0)
              << ", service revision " << json.value("revision", 0) << "\n";
  } else {
    const auto code = static_cast<ResultCode>(json.value("code", 0));
    std::cerr << "refused: " << InfoOf(code).name << " (" << json.value("code", 0)
              << "): " << json.value("message", "") << "\n";
  }
  return ExitCodeOf(response, json);
}

int Submit(Json change) {
  change["submission_id"] = FLAGS_submission_id.empty() ? NewSubmissionId() : FLAGS_submission_id;
  if (FLAGS_expect >= 0) {
    change["expected_revision"] = FLAGS_expect;
  }
  return PrintChange(CallControl("/v1/changes", change.dump()));
}

int SubmitFromFile(const std::string& kind, const std::string& service, const std::string& path) {
  bool ok = false;
  const std::string text = ReadFile(path, &ok);
  if (!ok) {
    return Fail(ExitCode::kUsage, "cannot read " + path);
  }
  absl::StatusOr<Json> json = ParseObject(text, path);
  if (!json.ok()) {
    return Fail(ExitCode::kUsage, std::string(json.status().message()));
  }
  (*json)["kind"] = kind;
  (*json)["service"] = service;
  return Submit(*std::move(json));
}

int PutPolicy(const Arguments& arguments) {
  bool ok = false;
  const std::string text = ReadFile(arguments[1], &ok);
  if (!ok) {
    return Fail(ExitCode::kUsage, "cannot read " + arguments[1]);
  }
  return Submit({{"kind", "put_policy"}, {"service", arguments[0]}, {"policy", text}});
}

int CheckPolicy(const Arguments& arguments) {
  bool ok = false;
  const std::string text = ReadFile(arguments[0], &ok);
  if (!ok) {
    return Fail(ExitCode::kUsage, "cannot read " + arguments[0]);
  }
  const absl::Status status = policy::PolicyProgram::Check(text);
  if (!status.ok()) {
    return Fail(ExitCode::kRefused, std::string(status.message()));
  }
  std::cout << "policy is fine\n";
  return 0;
}

int ShowStatus(const Arguments& /*arguments*/) {
  const Arguments addresses = absl::StrSplit(FLAGS_control, ',', absl::SkipEmpty());
  int answered = 0;
  Json all = Json::array();
  for (const std::string& address : addresses) {
    http::ClientRequest request;
    request.address = address;
    request.path = "/v1/status";
    request.timeout = Seconds(2);
    request.authorization = Authorization();
    const http::ClientResponse response = http::FetchBlocking(request);
    const Json json = ParseJson(response.body);
    if (!json.is_object()) {
      std::cerr << address << ": no answer\n";
      continue;
    }
    ++answered;
    all.push_back(json);
    if (!FLAGS_json) {
      std::cout << json.value("machine", "?") << (json.value("leads", false) ? " (leads)" : "")
                << ": version " << json.value("version", 0) << ", commit "
                << json.value("commit_index", 0) << ", term " << json.value("term", 0) << ", nodes "
                << json["nodes"].size();
      for (const Json& zone : json.value("evacuated_zones", Json::array())) {
        std::cout << ", evacuated: " << zone.get<std::string>();
      }
      if (json.value("leads", false)) {
        std::cout << ", fully redundant: " << (json.value("fully_redundant", false) ? "yes" : "no");
      }
      std::cout << "\n";
    }
  }
  if (FLAGS_json) {
    std::cout << all.dump() << "\n";
  }
  return static_cast<int>(answered > 0 ? ExitCode::kOk : ExitCode::kUnavailable);
}

int ShowConfig(const Arguments& /*arguments*/) {
  const http::ClientResponse response = CallControl("/v1/config", "");
  const Json json = ParseJson(response.body);
  if (!json.is_object()) {
    return Fail(ExitCode::kUnavailable, "no control machine answered");
  }
  if (FLAGS_json || !json.contains("services")) {
    std::cout << json.dump() << "\n";
    return ExitCodeOf(response, json);
  }
  std::cout << "configuration version " << json["version"] << "\n";
  for (const auto& [name, service] : json["services"].items()) {
    const Json& snapshots = service["snapshots"];
    std::cout << name << ": revision " << service["revision"] << ", " << service["leafs"].size()
              << " leafs, snapshot " << (snapshots.empty() ? Json("none") : snapshots.back()["id"])
              << ", policy " << (service["policy"].get<std::string>().empty() ? "built-in" : "set")
              << "\n";
  }
  for (const auto& [zone, state] : json["zones"].items()) {
    std::cout << "zone " << zone << ": "
              << (state.value("evacuated", false) ? "evacuated" : "in use") << "\n";
  }
  for (const auto& [request, record] : json["quarantine"].items()) {
    std::cout << "request " << request << ": "
              << (record.value("stopped", false) ? "stopped" : "on parole") << ", "
              << record.value("times", 0) << " times\n";
  }
  for (const Json& leaf : json["leaving"]) {
    std::cout << "leaving: " << leaf.get<std::string>() << "\n";
  }
  return 0;
}

int PutTenants(const Arguments& arguments) {
  if (arguments[0] == "none") {
    return Submit({{"kind", "put_tenants"}, {"tenants", nullptr}});
  }
  bool ok = false;
  const std::string text = ReadFile(arguments[0], &ok);
  if (!ok) {
    return Fail(ExitCode::kUsage, "cannot read " + arguments[0]);
  }
  const Json tenants = ParseJson(text);
  if (!tenants.is_array()) {
    return Fail(ExitCode::kUsage, arguments[0] + " does not contain a JSON list");
  }
  return Submit({{"kind", "put_tenants"}, {"tenants", tenants}});
}

int ShowTenants(const Arguments& /*arguments*/) {
  const http::ClientResponse response = CallControl("/v1/config", "");
  const Json json = ParseJson(response.body);
  if (!json.is_object()) {
    return Fail(ExitCode::kUnavailable, "no control machine answered");
  }
  if (!json.contains("services")) {
    std::cout << json.dump() << "\n";
    return ExitCodeOf(response, json);
  }
  const Json tenants = json.value("tenants", Json());
  if (FLAGS_json) {
    std::cout << tenants.dump() << "\n";
    return 0;
  }
  if (tenants.is_null()) {
    std::cout << "there are no tenants: no key is required\n";
    return 0;
  }
  for (const Json& tenant : tenants) {
    const double limit = tenant["requests_per_second"].get<double>();
    std::cout << tenant["name"].get<std::string>() << ": " << tenant["keys"] << " keys, ";
    if (limit > 0) {
      std::cout << limit << " requests a second and " << tenant["burst"] << " at once";
    } else {
      std::cout << "no limit";
    }
    if (!tenant["priority"].is_null()) {
      std::cout << ", priority " << tenant["priority"];
    }
    for (const Json& region : tenant["regions"]) {
      std::cout << ", " << region.get<std::string>();
    }
    std::cout << "\n";
  }
  return 0;
}

void PrintAnswer(const query::Answer& answer) {
  std::cout << InfoOf(answer.code).name << " (" << static_cast<int>(answer.code) << ")"
            << (answer.message.empty() ? "" : ": " + answer.message) << "\n";
  if (answer.snapshot.value != 0) {
    std::cout << "  snapshot " << answer.snapshot.value << ", configuration version "
              << answer.config_version.value << "\n  coverage " << answer.coverage.included.size()
              << " of " << answer.coverage.total() << " shards, " << answer.sub_requests
              << " sub-requests (" << answer.extra_sub_requests << " extra)\n";
  }
  for (const query::MissingShard& shard : answer.coverage.missing) {
    std::cout << "  missing shard " << shard.shard.value << ": " << query::ReasonName(shard.reason)
              << "\n";
  }
  for (const query::ResultItem& item : answer.results) {
    std::cout << "  " << item.score << "  " << item.id << "  " << item.text << "\n";
  }
  const bool refused = answer.code != ResultCode::kOk && answer.code != ResultCode::kPartial;
  if (refused) {
    std::cout << "  run: " << query::RunStateName(answer.run) << ", retry after "
              << ToMilliseconds(answer.retry_after) << " ms\n";
  }
  if (!answer.continuation.empty()) {
    std::cout << "  continuation " << answer.continuation << "\n";
  }
}

int Query(const Arguments& arguments) {
  Json body{{"service", arguments[0]}, {"query", arguments[1]}};
  if (!FLAGS_request_class.empty()) {
    body["class"] = FLAGS_request_class;
  }
  if (!FLAGS_continuation.empty()) {
    body["continuation"] = FLAGS_continuation;
  }
  if (FLAGS_deadline_ms != 0) {
    body["deadline_ms"] = FLAGS_deadline_ms;
  }
  http::ClientRequest request;
  request.address = FLAGS_node;
  request.path = "/v1/query";
  request.body = body.dump();
  request.timeout = Seconds(700);
  request.idempotency_key = FLAGS_key;
  request.unrepeatable = !FLAGS_key.empty();
  const http::ClientResponse response = http::FetchBlocking(request);
  absl::StatusOr<query::Answer> answer = query::AnswerFromJson(response.body);
  const Json json = ParseJson(response.body);
  if (!json.is_object()) {
    return Fail(ExitCode::kUnavailable, "the node did not answer: " + response.error);
  }
  if (FLAGS_json) {
    std::cout << response.body << "\n";
  } else if (answer.ok()) {
    PrintAnswer(*answer);
  } else {
    std::cout << json.value("result", "?") << ": " << json.value("message", "") << "\n";
  }
  return ExitCodeOf(response, json);
}

int Mark(const std::string& kind, const std::string& leaf) {
  return Submit({{"kind", kind}, {"leaf", leaf}});
}

int Evacuate(const Arguments& arguments) {
  return Submit({{"kind", FLAGS_stop ? "restore_zone" : "evacuate_zone"}, {"zone", arguments[0]}});
}

int Quarantine(const Arguments& arguments) {
  return Submit({{"kind", "quarantine_request"}, {"request", arguments[0]}});
}

int Release(const Arguments& arguments) {
  return Submit({{"kind", "release_request"}, {"request", arguments[0]}, {"on_parole", false}});
}

const std::map<std::string, Command>& Commands() {
  static const auto* const commands = new std::map<std::string, Command>{
      {"put-service",
       {"put-service SERVICE FILE", "creates a service or replaces its leafs (JSON)", 2,
        [](const Arguments& a) { return SubmitFromFile("put_service", a[0], a[1]); }}},
      {"remove-service",
       {"remove-service SERVICE", "removes a service", 1,
        [](const Arguments& a) {
          return Submit({{"kind", "remove_service"}, {"service", a[0]}});
        }}},
      {"publish",
       {"publish SERVICE FILE", "publishes a snapshot with its partition map (JSON)", 2,
        [](const Arguments& a) { return SubmitFromFile("publish_snapshot", a[0], a[1]); }}},
      {"put-policy",
       {"put-policy SERVICE FILE", "sets the policy program of a service", 2, &PutPolicy}},
      {"check-policy", {"check-policy FILE", "checks a policy program locally", 1, &CheckPolicy}},
      {"mark-leaving",
       {"mark-leaving LEAF", "sends no new work to a leaf", 1,
        [](const Arguments& a) { return Mark("mark_leaving", a[0]); }}},
      {"clear-leaving",
       {"clear-leaving LEAF", "removes the mark of mark-leaving", 1,
        [](const Arguments& a) { return Mark("clear_leaving", a[0]); }}},
      {"evacuate",
       {"evacuate [--stop] ZONE", "sends no more requests to the leafs of a zone", 1, &Evacuate}},
      {"quarantine",
       {"quarantine IDENTITY", "sends a request (see 'identity' in the logs) to no leaf", 1,
        &Quarantine}},
      {"release", {"release IDENTITY", "lets a stopped request run again", 1, &Release}},
      {"status", {"status", "shows the control machines", 0, &ShowStatus}},
      {"config", {"config", "shows the configuration, read from a quorum", 0, &ShowConfig}},
      {"put-tenants",
       {"put-tenants FILE|none", "sets the tenants of nodes (JSON list); none: no keys needed", 1,
        &PutTenants}},
      {"tenants", {"tenants", "shows tenants and their limits, never their keys", 0, &ShowTenants}},
      {"query", {"query SERVICE TEXT", "sends a query to a node (--node)", 2, &Query}},
  };
  return *commands;
}

int PrintHelp(std::ostream& out) {
  out << "usage: pumicectl [flags] COMMAND ...\n\n";
  for (const auto& [name, command] : Commands()) {
    out << "  " << command.usage
        << std::string(28 - std::min<size_t>(27, command.usage.size()), ' ') << command.help
        << "\n";
  }
  out << "\nflags: --control, --node, --token_file, --json, --expect, --submission_id,\n"
         "       --request_class, --key, --continuation, --deadline_ms, --timeout_s, --stop\n"
         "exit codes: 0 done, 2 usage, 4 no answer, 5 refused\n";
  return 0;
}

int RunCommand(const Arguments& command_line) {
  if (command_line.empty()) {
    PrintHelp(std::cerr);
    return static_cast<int>(ExitCode::kUsage);
  }
  if (command_line[0] == "help") {
    return PrintHelp(std::cout);
  }
  const auto command = Commands().find(command_line[0]);
  if (command == Commands().end()) {
    return Fail(ExitCode::kUsage, "no command '" + command_line[0] + "'; see pumicectl help");
  }
  const Arguments arguments(command_line.begin() + 1, command_line.end());
  if (arguments.size() != command->second.arguments) {
    return Fail(ExitCode::kUsage, "usage: pumicectl " + command->second.usage);
  }
  return command->second.run(arguments);
}

}  // namespace
}  // namespace pumicedyke

int main(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    if (std::string(argv[i]) == "--help") {
      return pumicedyke::PrintHelp(std::cout);
    }
  }
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return pumicedyke::RunCommand(std::vector<std::string>(argv + 1, argv + argc));
}
