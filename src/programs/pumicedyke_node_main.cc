// The node program: runs one node next to a caller. See docs/OPERATIONS.md.
#include <gflags/gflags.h>

#include <iostream>

#include "common/log.h"
#include "net/event_loop.h"
#include "server/node_process.h"
#include "server/process.h"

DEFINE_string(settings, "", "settings file (TOML)");
DEFINE_bool(check_settings, false, "check the settings and exit");
DEFINE_string(cluster, "", "name of the cluster");
DEFINE_string(node, "", "name of this node");
DEFINE_string(zone, "", "zone of this node");
DEFINE_string(listen, "", "IP:port for callers");
DEFINE_string(data_folder, "", "folder of this node's state");
DEFINE_string(port_file, "", "file to write the port to");
DEFINE_string(control, "", "IP:port of the control machines, separated by commas");
DEFINE_string(platform, "", "IP:port of the platform's list of machines");
DEFINE_string(max_connections_per_leaf, "", "maximum number of connections per leaf");
DEFINE_string(max_in_progress, "", "maximum number of requests in progress; more are refused");
DEFINE_string(max_config_age_ms, "",
              "configuration age above which requests are refused; 0: never");
DEFINE_string(drain_grace_ms, "", "minimum time that a stopping node continues to serve");
DEFINE_string(kill_after_ms, "", "time after which a stopping node is killed; 0: never");

int main(int argc, char** argv) {
  using namespace pumicedyke;  // NOLINT
  gflags::SetUsageMessage("runs one pumicedyke node");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  StartLog("pumicedyke-node");
  auto settings = server::ReadNodeSettings(server::SettingsPath(FLAGS_settings));
  if (!settings.ok()) {
    return server::ReportFailure("pumicedyke-node", settings.status());
  }
  if (FLAGS_check_settings) {
    std::cout << "settings are fine\n";
    return 0;
  }
  net::EventLoop loop;
  server::NodeProcess process(*settings, &loop);
  if (absl::Status status = process.Start(); !status.ok()) {
    return server::ReportFailure("pumicedyke-node", status);
  }
  server::InstallSignals(&loop, [&process] { process.Stop(); });
  process.Run();
  return 0;
}
