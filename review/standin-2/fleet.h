// Control machines and gateways as separate processes on loopback addresses, with the commands of
// the deploy file and settings as its templates give them for a small deployment.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sockets.h"

namespace standin {

struct FleetOptions {
  /// Cores of the small deployments of the users' pages.
  int controls = 5;
  int gateways = 1;
  /// Lines added to the settings of gateways, as the template gives them for further bounds.
  std::string gateway_bounds;
  std::string control_zone = "north";
  std::string gateway_zone = "north";
  /// Names of the gateways; empty: names made of their zone and number.
  std::vector<std::string> gateway_names = {};
};

/// Used by the main thread only: its processes end with the thread that starts them.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  /// Kills the processes and removes the temporary folder.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Addresses that serve `control`, of the machines that run.
  std::vector<std::string> Controls() const;
  /// Addresses that serve `edge`.
  std::string Gateway(int index) const;
  /// Address at which the platform asks whether a gateway is ready.
  std::string Ready(int index) const;
  /// Sends a configuration until it is acknowledged. @return whether it was, within `timeout`.
  bool Put(const std::string& document, milliseconds timeout = milliseconds(15000));
  /// Waits until every gateway says that it is ready.
  bool WaitUntilReady(milliseconds timeout = milliseconds(15000));
  void Signal(const std::string& process, int signal);
  /// Ends a control machine for good.
  void RemoveControl(int index);
  /// Starts an empty control machine at an address of its own. Its seeds are the first running
  /// ones.
  /// @return its index.
  int AddControl();
  /// Whether the process has not ended.
  bool Runs(const std::string& process);

 private:
  void Start(const std::string& name, const std::string& program, const std::string& settings);
  /// @param first_start whether it belongs to the first start of the whole system.
  void StartControl(int index, bool first_start);
  void StartGateway(int index);
  std::string SeedList() const;
  /// The settings' line with the region of each zone.
  std::string Regions() const;
  std::string GatewayName(int index) const;

  FleetOptions options_;
  std::string folder_;
  uint16_t control_port_ = FreePort();
  uint16_t directory_port_ = FreePort();
  uint16_t internal_port_ = FreePort();
  uint16_t front_port_ = FreePort();
  uint16_t ready_port_ = FreePort();
  uint16_t metrics_port_ = FreePort();
  std::map<std::string, pid_t> processes_;
  /// Indexes of the control machines that run.
  std::vector<int> controls_;
  int next_control_ = 0;
};

}  // namespace standin
