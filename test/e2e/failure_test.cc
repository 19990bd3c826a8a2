// Tests of failures on real processes, injected with signals, proxies and deleted data folders.
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "common/result_code.h"
#include "e2e/fleet.h"
#include "e2e/tcp_proxy.h"

namespace pumicedyke::e2e {
namespace {

constexpr char kReadPolicy[] =
    "function plan(r) return { deadline_ms = 5000, coverage = 1, extra_load = 0.3 } end";
constexpr char kJobPolicy[] =
    "function plan(r) return { deadline_ms = 10000, repeatable = false } end";

int Number(ResultCode code) { return static_cast<int>(code); }

Json PolicyChange(int number) {
  return {{"kind", "put_policy"},
          {"service", "desk"},
          {"policy", absl::StrCat("-- ", number, "\n", kReadPolicy)}};
}

}  // namespace

class FailureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailureTest);
  CPPUNIT_TEST(ServiceSurvivesKilledProcesses);
  CPPUNIT_TEST(PausedLeaderDoesNotServeStaleConfiguration);
  CPPUNIT_TEST(SecondDiskLossRightAfterRepair);
  CPPUNIT_TEST(RestartAfterHundredsOfChanges);
  CPPUNIT_TEST(PlannedStopOfNodesUnderLoadFailsNothing);
  CPPUNIT_TEST(PlannedStopOfTheLeaderUnderLoadFailsNothing);
  CPPUNIT_TEST(OneOfTwoRacingOperatorsWins);
  CPPUNIT_TEST(ResentChangeGetsTheFirstResult);
  CPPUNIT_TEST(PartitionedNodeRefusesAndCatchesUp);
  CPPUNIT_TEST(UnrepeatableWorkRunsOnce);
  CPPUNIT_TEST(LeavingLeafGetsNoWork);
  CPPUNIT_TEST(ControlSurvivesAFullDisk);
  CPPUNIT_TEST(ControlWaitsForAFailedDisk);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A replica whose disk fails keeps running without a vote and serves no stale data. It takes
  /// part again once the disk accepts writes.
  void ControlSurvivesAFullDisk() {
    Fleet fleet({.controls = 3, .nodes = 0, .leafs = 2});
    fleet.CreateService(kReadPolicy);
    const int full = (fleet.WaitForLeader() + 1) % 3;
    const auto& process = fleet.processes.at(absl::StrCat("c", full));
    process->LimitFileSize(0);
    CPPUNIT_ASSERT_EQUAL(0, fleet.Submit(PolicyChange(1))["code"].get<int>());
    WaitFor("the failed replica to report its disk",
            [&] { return fleet.Status(full)["storage_works"] == false; });
    const Json accepted = fleet.Submit(PolicyChange(2));
    CPPUNIT_ASSERT_EQUAL(0, accepted["code"].get<int>());
    CPPUNIT_ASSERT(fleet.Status(full)["version"] < accepted["version"]);
    process->LimitFileSize(std::nullopt);
    WaitFor("the replica to take part again",
            [&] { return fleet.Status(full)["version"] == accepted["version"]; });
    // The replica counts again: with one other machine killed, it completes the quorum.
    fleet.KillControl((full + 1) % 3);
    CPPUNIT_ASSERT_EQUAL(0, fleet.Submit(PolicyChange(3))["code"].get<int>());
  }

  void ControlWaitsForAFailedDisk() {
    Fleet fleet({.controls = 3, .nodes = 0, .leafs = 0});
    fleet.WaitForLeader();
    fleet.KillControl(0);
    const std::string folder = fleet.DataFolder(0);
    const std::string backup = folder + "-kept";
    std::filesystem::rename(folder, backup);
    // A file in place of the folder makes every write fail.
    std::ofstream(folder) << "no folder";
    std::thread repair_thread([&] {
      WaitFor("the process to report the failed folder",
              [&] { return fleet.LogOf("c0").find("data_folder_failed") != std::string::npos; });
      std::filesystem::remove(folder);
      std::filesystem::rename(backup, folder);
    });
    fleet.StartControl(0);
    repair_thread.join();
    WaitFor("the machine to know the leader",
            [&] { return fleet.Status(0).value("leader", "") != ""; });
  }

  void ServiceSurvivesKilledProcesses() {
    Fleet fleet({.controls = 3, .nodes = 2, .leafs = 2});
    fleet.StartNode(0);
    fleet.StartNode(1);
    fleet.CreateService(kReadPolicy);
    const auto complete = [&](int node) {
      return fleet.Query(node, {{"service", "desk"}, {"query", "x"}})["code"] == 0;
    };
    const int leader = fleet.WaitForLeader();
    fleet.KillControl(leader);
    CPPUNIT_ASSERT(complete(0));
    const Json accepted = fleet.Submit(PolicyChange(1));
    CPPUNIT_ASSERT_EQUAL(0, accepted["code"].get<int>());
    fleet.WaitForVersion(accepted["version"]);
    fleet.StartControl(leader);
    fleet.processes.at("platform")->Kill();
    CPPUNIT_ASSERT(complete(0));
    fleet.processes.at("leaf0")->Kill();
    WaitFor("complete answers from the other replicas", [&] { return complete(0); });
    fleet.processes.at("node0")->Kill();
    CPPUNIT_ASSERT(complete(1));
    fleet.processes.at("leaf1")->Kill();
    const Json answer = fleet.Query(1, {{"service", "desk"}, {"query", "x"}});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, answer["coverage"]["missing"].size());
    CPPUNIT_ASSERT(answer["results"].empty());
  }

  void PausedLeaderDoesNotServeStaleConfiguration() {
    Fleet fleet({.controls = 3, .nodes = 1, .leafs = 2});
    fleet.StartNode(0);
    fleet.CreateService(kReadPolicy);
    const int old_leader = fleet.WaitForLeader();
    Process& paused = *fleet.processes.at(absl::StrCat("c", old_leader));
    const std::string old_address = paused.Address("operator");
    paused.Signal(SIGSTOP);
    // This read is pending in the paused process when it resumes.
    std::atomic<int> version_read{-2};
    std::thread reader([&] {
      const auto response = Get(old_address, "/v1/config");
      const Json json = Json::parse(response.body, nullptr, /*allow_exceptions=*/false);
      version_read = json.is_object() ? json.value("version", -1) : -1;
    });
    int accepted = 0;
    WaitFor("acceptance by another leader", [&] {
      const int other = (old_leader + 1) % 3;
      Json change = PolicyChange(1);
      change["submission_id"] = "while-frozen";
      const Json result = fleet.Call(other, "/v1/changes", change.dump());
      accepted = result.value("version", 0);
      return result.value("code", -1) == 0;
    });
    paused.Signal(SIGCONT);
    reader.join();
    // -1: the read was refused.
    CPPUNIT_ASSERT(version_read == -1 || version_read >= accepted);
    fleet.WaitForVersion(static_cast<uint64_t>(accepted));
    WaitFor("the old leader to follow", [&] {
      return fleet.Status(old_leader).value("version", 0) >= accepted &&
             !fleet.Status(old_leader).value("leads", true);
    });
  }

  void SecondDiskLossRightAfterRepair() {
    Fleet fleet({.controls = 3, .nodes = 1, .leafs = 2});
    fleet.StartNode(0);
    fleet.CreateService(kReadPolicy);
    const auto replace = [&](int machine) {
      fleet.KillControl(machine);
      std::filesystem::remove_all(fleet.DataFolder(machine));
      fleet.StartControl(machine);
    };
    const auto repaired = [&] {
      for (int i = 0; i < 3; ++i) {
        if (fleet.Status(i).value("fully_redundant", false)) {
          return true;
        }
      }
      return false;
    };
    WaitFor("full redundancy", repaired);
    replace(fleet.WaitForLeader());
    WaitFor("the repair", repaired);
    // Immediately after the repair a second disk is lost.
    const int second = fleet.WaitForLeader();
    fleet.KillControl(second);
    std::filesystem::remove_all(fleet.DataFolder(second));
    const Json accepted = fleet.Submit(PolicyChange(2));
    CPPUNIT_ASSERT_EQUAL(0, accepted["code"].get<int>());
    CPPUNIT_ASSERT_EQUAL(4, accepted["version"].get<int>());
    fleet.StartControl(second);
    WaitFor("the second repair", repaired);
  }

  void RestartAfterHundredsOfChanges() {
    constexpr int kChanges = 500;
    Fleet fleet({.controls = 3, .nodes = 1, .leafs = 2});
    fleet.StartNode(0);
    fleet.CreateService(kReadPolicy);
    uint64_t version = 0;
    for (int i = 0; i < kChanges; ++i) {
      const Json result = fleet.Submit(PolicyChange(i));
      CPPUNIT_ASSERT_EQUAL(0, result["code"].get<int>());
      version = result["version"];
    }
    for (int i = 0; i < 3; ++i) {
      fleet.KillControl(i);
    }
    fleet.processes.at("node0")->Kill();
    for (int i = 0; i < 3; ++i) {
      fleet.StartControl(i);
    }
    fleet.StartNode(0);
    fleet.WaitForVersion(version);
    WaitFor("the same configuration at every machine", [&] {
      for (int i = 0; i < 3; ++i) {
        if (fleet.Status(i).value("version", uint64_t{0}) != version) {
          return false;
        }
      }
      return true;
    });
    CPPUNIT_ASSERT_EQUAL(0,
                         fleet.Query(0, {{"service", "desk"}, {"query", "x"}})["code"].get<int>());
  }

  void PlannedStopOfNodesUnderLoadFailsNothing() {
    Fleet fleet({.controls = 3, .nodes = 2, .leafs = 2, .node_flags = {"--drain_grace_ms", "300"}});
    fleet.StartNode(0);
    fleet.StartNode(1);
    fleet.CreateService(kReadPolicy);
    Load load(&fleet, /*key_prefix=*/"");
    constexpr int kStops = 3;
    for (int i = 0; i < kStops; ++i) {
      const int index = i % 2;
      load.WaitForMore();
      load.SwitchTo(1 - index);
      Process& node = *fleet.processes.at(absl::StrCat("node", index));
      node.Signal(SIGTERM);
      CPPUNIT_ASSERT_EQUAL(0, node.Wait());
      load.WaitForMore();
      fleet.StartNode(index);
      WaitFor("the node to be ready",
              [&] { return fleet.NodeStatus(index).value("ready", false); });
    }
    load.Stop();
    CPPUNIT_ASSERT_EQUAL(0, load.failed());
  }

  void PlannedStopOfTheLeaderUnderLoadFailsNothing() {
    Fleet fleet({.controls = 3, .nodes = 1, .leafs = 2});
    fleet.StartNode(0);
    fleet.CreateService(kJobPolicy);
    Load load(&fleet, "job");
    for (int i = 0; i < 3; ++i) {
      load.WaitForMore();
      const int leader = fleet.WaitForLeader();
      Process& machine = *fleet.processes.at(absl::StrCat("c", leader));
      machine.Signal(SIGTERM);
      CPPUNIT_ASSERT_EQUAL(0, machine.Wait());
      load.WaitForMore();
      fleet.StartControl(leader);
      WaitFor("the machine to follow",
              [&] { return fleet.Status(leader).value("version", 0) >= 3; });
    }
    load.Stop();
    CPPUNIT_ASSERT_EQUAL(0, load.failed());
  }

  void OneOfTwoRacingOperatorsWins() {
    Fleet fleet({.controls = 3, .nodes = 1, .leafs = 2});
    fleet.StartNode(0);
    fleet.CreateService(kReadPolicy);
    constexpr int kRaces = 20;
    uint64_t revision = 3;
    for (int race = 0; race < kRaces; ++race) {
      std::vector<Json> results(2);
      std::vector<std::thread> operators;
      operators.reserve(results.size());
      for (int index = 0; index < 2; ++index) {
        operators.emplace_back([&, index] {
          Json change = PolicyChange(2 * race + index);
          change["submission_id"] = absl::StrCat("race-", race, "-", index);
          change["expected_revision"] = revision;
          WaitFor("a definite answer", [&] {
            results[index] = fleet.Call((race + index) % 3, "/v1/changes", change.dump());
            const int code = results[index].value("code", -1);
            return code == 0 || code == Number(ResultCode::kRevisionConflict);
          });
        });
      }
      for (std::thread& thread : operators) {
        thread.join();
      }
      std::multiset<int> codes = {results[0]["code"].get<int>(), results[1]["code"].get<int>()};
      CPPUNIT_ASSERT(codes == (std::multiset<int>{0, Number(ResultCode::kRevisionConflict)}));
      // The refusal contains the current revision.
      ++revision;
      CPPUNIT_ASSERT_EQUAL(revision, results[0]["revision"].get<uint64_t>());
      CPPUNIT_ASSERT_EQUAL(revision, results[1]["revision"].get<uint64_t>());
    }
  }

  void ResentChangeGetsTheFirstResult() {
    Fleet fleet({.controls = 3, .nodes = 1, .leafs = 2});
    fleet.StartNode(0);
    fleet.CreateService(kReadPolicy);
    Json change = PolicyChange(1);
    change["submission_id"] = "once";
    change["expected_revision"] = 3;
    const Json first = fleet.Submit(change);
    CPPUNIT_ASSERT_EQUAL(0, first["code"].get<int>());
    // As if the answer was lost: another change is accepted, and the leader changes.
    fleet.Submit(PolicyChange(2));
    const int leader = fleet.WaitForLeader();
    fleet.KillControl(leader);
    const Json again = fleet.Submit(change);
    CPPUNIT_ASSERT_EQUAL(first.dump(), again.dump());
  }

  void PartitionedNodeRefusesAndCatchesUp() {
    Fleet fleet(
        {.controls = 3, .nodes = 1, .leafs = 2, .node_flags = {"--max_config_age_ms", "1500"}});
    std::vector<std::unique_ptr<TcpProxy>> links;
    for (std::string& address : fleet.node_control_addresses) {
      links.push_back(std::make_unique<TcpProxy>(address));
      address = links.back()->address();
    }
    fleet.StartNode(0);
    fleet.CreateService(kReadPolicy);
    const auto code = [&] {
      return fleet.Query(0, {{"service", "desk"}, {"query", "x"}})["code"].get<int>();
    };
    CPPUNIT_ASSERT_EQUAL(0, code());
    for (const auto& link : links) {
      link->SetCut(true);
    }
    const Json accepted = fleet.Submit(PolicyChange(1));
    CPPUNIT_ASSERT_EQUAL(0, accepted["code"].get<int>());
    WaitFor("the node to refuse",
            [&] { return code() == Number(ResultCode::kStaleConfiguration); });
    for (const auto& link : links) {
      link->SetCut(false);
    }
    fleet.WaitForVersion(accepted["version"]);
    WaitFor("the node to serve again", [&] { return code() == 0; });
  }

  void UnrepeatableWorkRunsOnce() {
    Fleet fleet({.controls = 3, .nodes = 2, .leafs = 2});
    fleet.StartNode(0);
    fleet.StartNode(1);
    fleet.CreateService(kJobPolicy);
    const Json body{{"service", "desk"}, {"query", "reprint"}};
    CPPUNIT_ASSERT_EQUAL(Number(ResultCode::kMissingIdempotencyKey),
                         fleet.Query(0, body)["code"].get<int>());
    // Repeated requests with one key reach both nodes, and one node is killed.
    constexpr int kRepeats = 8;
    std::vector<std::thread> repeats;
    repeats.reserve(kRepeats);
    for (int i = 0; i < kRepeats; ++i) {
      repeats.emplace_back([&, i] { fleet.Query(i % 2, body, "job-1"); });
    }
    for (std::thread& repeat : repeats) {
      repeat.join();
    }
    fleet.processes.at("node0")->Kill();
    const Json outcome = fleet.Query(1, body, "job-1");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome.dump(), 0, outcome["code"].get<int>());
    const Json other{{"service", "desk"}, {"query", "something else"}};
    CPPUNIT_ASSERT_EQUAL(Number(ResultCode::kIdempotencyKeyReused),
                         fleet.Query(1, other, "job-1")["code"].get<int>());
    std::multiset<int> shards_run;
    std::string seen;
    for (int leaf = 0; leaf < 2; ++leaf) {
      const Json report = fleet.LeafRuns(leaf);
      for (const Json& run : report.at("runs")) {
        shards_run.insert(run["shard"].get<int>());
        seen += run.dump() + "\n";
      }
    }
    CPPUNIT_ASSERT_MESSAGE(seen, shards_run == (std::multiset<int>{1, 2}));
  }

  void LeavingLeafGetsNoWork() {
    Fleet fleet({.controls = 3, .nodes = 1, .leafs = 2});
    fleet.StartNode(0);
    fleet.CreateService(kReadPolicy);
    const auto received = [&] { return fleet.LeafRuns(0)["received"].get<int>(); };
    const auto send_query = [&] {
      const Json answer = fleet.Query(0, {{"service", "desk"}, {"query", "x"}});
      CPPUNIT_ASSERT_EQUAL(0, answer["code"].get<int>());
    };
    const std::string platform = fleet.processes.at("platform")->Address("http");
    const std::string leaf = fleet.processes.at("leaf0")->Address("http");
    const std::vector<std::pair<std::function<void()>, std::function<void()>>> cases = {
        {[&] {
           fleet.Submit({{"kind", "mark_leaving"}, {"leaf", "leaf0"}});
         },
         [&] {
           fleet.Submit({{"kind", "clear_leaving"}, {"leaf", "leaf0"}});
         }},
        {[&] { Post(platform, "/v1/machines", R"({"live":[],"leaving":["leaf0"]})"); },
         [&] { Post(platform, "/v1/machines", R"({"live":[],"leaving":[]})"); }},
        {[&] { Post(leaf, "/v1/admin", R"({"draining":true})"); },
         [&] { Post(leaf, "/v1/admin", R"({"draining":false})"); }}};
    for (const auto& [leave, undo] : cases) {
      const int initial = received();
      WaitFor("work at the leaf", [&] {
        send_query();
        return received() > initial;
      });
      leave();
      constexpr int kIdleQueries = 60;
      int queries_without_work = 0;
      WaitFor("the leaf to get no requests", [&] {
        const int before = received();
        send_query();
        queries_without_work = received() == before ? queries_without_work + 1 : 0;
        return queries_without_work >= kIdleQueries;
      });
      const int before = received();
      for (int i = 0; i < kIdleQueries; ++i) {
        send_query();
      }
      CPPUNIT_ASSERT_EQUAL(before, received());
      undo();
    }
  }

 private:
  /// Callers that send requests without pause. A request counts as failed if it was sent and not
  /// answered successfully.
  class Load {
   public:
    Load(Fleet* fleet, std::string key_prefix) : fleet_(fleet), key_prefix_(std::move(key_prefix)) {
      for (int i = 0; i < fleet_->options.nodes; ++i) {
        addresses_.push_back(fleet_->NodeAddress(i));
      }
      constexpr int kCallers = 4;
      for (int i = 0; i < kCallers; ++i) {
        callers_.emplace_back([this, i] { SendRequests(i); });
      }
    }
    ~Load() { Stop(); }

    void SwitchTo(int node) { node_ = node; }
    void WaitForMore() {
      const int before = answered_;
      constexpr int kMore = 100;
      WaitFor("more answers", [&] { return answered_ >= before + kMore; });
      // A restarted node has another port.
      const std::lock_guard lock(mutex_);
      for (int i = 0; i < fleet_->options.nodes; ++i) {
        const auto& node = fleet_->processes.at(absl::StrCat("node", i));
        if (node->running()) {
          addresses_[static_cast<size_t>(i)] = node->Address("http");
        }
      }
    }
    void Stop() {
      stop_ = true;
      for (std::thread& caller : callers_) {
        caller.join();
      }
      callers_.clear();
    }
    int failed() const { return failed_; }

   private:
    void SendRequests(int caller) {
      const std::string body = R"({"service":"desk","query":"x"})";
      for (int i = 0; !stop_; ++i) {
        std::string address;
        {
          const std::lock_guard lock(mutex_);
          address = addresses_[static_cast<size_t>(node_)];
        }
        const std::string key =
            key_prefix_.empty() ? "" : absl::StrCat(key_prefix_, "-", caller, "-", i);
        const auto response = Post(address, "/v1/query", body, key);
        if (response.not_sent) {
          continue;  // The node has stopped; no request was interrupted.
        }
        const Json json = Json::parse(response.body, nullptr, /*allow_exceptions=*/false);
        const bool served = json.is_object() && json.value("code", -1) == 0;
        ++(served ? answered_ : failed_);
      }
    }

    Fleet* fleet_;
    std::string key_prefix_;
    std::mutex mutex_;
    std::vector<std::string> addresses_;
    std::atomic<int> node_{0};
    std::atomic<bool> stop_{false};
    std::atomic<int> answered_{0};
    std::atomic<int> failed_{0};
    std::vector<std::thread> callers_;
  };
};
CPPUNIT_TEST_SUITE_REGISTRATION(FailureTest);

}  // namespace pumicedyke::e2e
