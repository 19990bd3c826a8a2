// The control program: runs one control machine. See docs/OPERATIONS.md.
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

#include "common/log.h"
#include "net/event_loop.h"
#include "platform/control_dialect.h"
#include "server/control_process.h"
#include "server/process.h"

DEFINE_string(settings, "", "settings file (TOML)");
DEFINE_bool(check_settings, false, "check the settings and exit");
DEFINE_bool(format, false, "prepare the data folder of a new cluster and exit");
DEFINE_string(cluster, "", "name of the cluster");
DEFINE_string(machine, "", "name of this machine");
DEFINE_string(listen, "", "IP:port for peers and nodes");
DEFINE_string(operator_listen, "", "IP:port for operators");
DEFINE_string(operator_token_file, "", "file with the operators' token");
DEFINE_string(data_folder, "", "folder of this machine's state");
DEFINE_string(port_file, "", "file to write the ports to");
DEFINE_string(machines, "", "name=IP:port of every control machine, separated by commas");
DEFINE_string(snapshot_log_bytes, "", "log size that triggers a snapshot");
DEFINE_string(election_timeout_ms, "", "shortest election timeout");
DEFINE_string(drain_grace_ms, "", "minimum time that a stopping machine continues to serve");
DEFINE_string(kill_after_ms, "", "time after which a stopping machine is killed; 0: never");

int main(int argc, char** argv) {
  using namespace pumicedyke;  // NOLINT
  gflags::SetUsageMessage("runs one control machine of a pumicedyke cluster");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  StartLog("pumicedyke-control");
  auto settings = server::ReadControlSettings(server::SettingsPath(FLAGS_settings));
  if (!settings.ok()) {
    return server::ReportFailure("pumicedyke-control", settings.status());
  }
  if (FLAGS_check_settings) {
    std::cout << "settings are fine\n";
    return 0;
  }
  if (FLAGS_format) {
    const absl::Status status = server::FormatControl(*settings);
    return status.ok() ? 0 : server::ReportFailure("pumicedyke-control", status);
  }
  const platform::ControlDialect dialect;
  net::EventLoop loop;
  server::ControlProcess process(*settings, &dialect, &loop);
  if (absl::Status status = process.Start(); !status.ok()) {
    return server::ReportFailure("pumicedyke-control", status);
  }
  server::InstallSignals(&loop, [&process] { process.Stop(); });
  loop.OnSignal(SIGHUP, [&process] { process.Reload(); });
  if (absl::Status status = process.Run(); !status.ok()) {
    LogError("data_folder_failed", {{"error", std::string(status.message())}});
    return server::ReportFailure("pumicedyke-control", status);
  }
  return 0;
}
