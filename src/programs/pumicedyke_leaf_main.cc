// Test back end for tests, demos and benchmarks. Not part of the product.
#include <gflags/gflags.h>

#include "common/log.h"
#include "net/event_loop.h"
#include "server/leaf_process.h"
#include "server/process.h"

DEFINE_string(name, "leaf", "id of this leaf");
DEFINE_string(listen, "127.0.0.1:0", "IP:port");
DEFINE_string(port_file, "", "file to write the port to");
DEFINE_uint32(slots, 2, "requests that run at once");
DEFINE_double(median_ms, 4, "median service time");
DEFINE_double(sigma, 0.4, "sigma of the log-normal service time");
DEFINE_double(straggler_share, 0.01, "fraction of sub-requests that are stragglers");
DEFINE_double(pause_ms, 0, "length of a pause every ten seconds");
DEFINE_double(cold_s, 0, "seconds of a cold start");
DEFINE_uint64(seed, 1, "seed of the model");

int main(int argc, char** argv) {
  using namespace pumicedyke;  // NOLINT
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  StartLog("pumicedyke-leaf");
  emulator::LeafModelOptions options;
  options.name = FLAGS_name;
  options.slots = FLAGS_slots;
  options.median_ms = FLAGS_median_ms;
  options.sigma = FLAGS_sigma;
  options.straggler_share = FLAGS_straggler_share;
  options.pause = Duration(static_cast<int64_t>(FLAGS_pause_ms * 1000));
  options.cold_time = Duration(static_cast<int64_t>(FLAGS_cold_s * 1e6));
  options.seed = FLAGS_seed;
  net::EventLoop loop;
  server::LeafProcess process(options, &loop);
  if (absl::Status status = process.Start(FLAGS_listen, FLAGS_port_file); !status.ok()) {
    return server::ReportFailure("pumicedyke-leaf", status);
  }
  server::InstallSignals(&loop, [&process] { process.Stop(); });
  process.Run();
  return 0;
}
