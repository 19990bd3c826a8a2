// The gateway program: runs one gateway, which forwards clients' requests to leafs. See
// docs/OPERATIONS.md.
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

#include "common/log.h"
#include "net/event_loop.h"
#include "platform/gateway_dialect.h"
#include "server/gateway_process.h"
#include "server/process.h"

DEFINE_string(settings, "", "settings file (TOML)");
DEFINE_string(port_file, "", "file to write the ports to");
DEFINE_bool(check_settings, false, "check the settings and exit");

int main(int argc, char** argv) {
  using namespace pumicedyke;  // NOLINT
  gflags::SetUsageMessage("runs one pumicedyke gateway");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  StartLog("pumicedyke-gateway");
  auto settings = server::ReadGatewaySettings(server::SettingsPath(FLAGS_settings));
  if (!settings.ok()) {
    return server::ReportFailure("pumicedyke-gateway", settings.status());
  }
  if (FLAGS_check_settings) {
    std::cout << "settings are fine\n";
    return 0;
  }
  const platform::GatewayDialect dialect;
  net::EventLoop loop;
  server::GatewayProcess process(*settings, &dialect, &loop);
  if (absl::Status status = process.Start(); !status.ok()) {
    return server::ReportFailure("pumicedyke-gateway", status);
  }
  server::InstallSignals(&loop, [&process] { process.Stop(); });
  loop.OnSignal(SIGHUP, [&process] { process.Reload(); });
  process.Run();
  return 0;
}
