#include "platform/heartbeat.h"

#include "common/json.h"
#include "e2e/fleet.h"

namespace pumicedyke::platform {

int PostHeartbeat(const std::string& control, const Heartbeat& heartbeat) {
  const Json body{{"backend", heartbeat.service},
                  {"address", heartbeat.address},
                  {"zone", "north"},
                  {"version", "v1"},
                  {"slots", 2},
                  {"state", heartbeat.state},
                  {"cold_left_ms", 0},
                  {"seq", heartbeat.sequence}};
  return e2e::Post(control, "/v1/instances/" + heartbeat.leaf + "/heartbeat", body.dump()).status;
}

}  // namespace pumicedyke::platform
