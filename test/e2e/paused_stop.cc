#include "e2e/paused_stop.h"

#include <cppunit/TestAssert.h>

#include <csignal>
#include <future>

#include "e2e/raw_connection.h"
#include "e2e/whole_response.h"
#include "net/event_loop.h"

namespace pumicedyke::e2e {
namespace {

void WaitUntil(Timestamp time) {
  WaitFor("a moment of the stop", [time] { return net::EventLoop::Now() >= time; });
}

PausedStopOutcome StopWithPause(const PausedStop& stop) {
  RawConnection connection(stop.address);
  connection.SendBytes(stop.first);
  std::string before;
  WaitFor("an answer before the stop", [&] {
    before += connection.ReadAvailable();
    return IsWholeResponse(before);
  });
  const Timestamp stopped = net::EventLoop::Now();
  stop.process->Signal(SIGTERM);
  WaitUntil(stopped + stop.moment);
  stop.process->Pause();
  const Timestamp paused = net::EventLoop::Now();
  connection.ReadAvailable();
  const bool closed_before = connection.closed();
  const size_t first_piece = stop.in_pieces ? stop.request.size() / 2 : stop.request.size();
  connection.SendBytes(stop.request.substr(0, first_piece));
  WaitUntil(paused + stop.pause);
  stop.process->Signal(SIGCONT);
  connection.SendBytes(stop.request.substr(first_piece));
  const std::string response = connection.ReadToEnd();
  CPPUNIT_ASSERT_EQUAL(0, stop.process->Wait());
  if (closed_before) {
    return PausedStopOutcome::kClosedBefore;
  }
  return IsWholeResponse(response) ? PausedStopOutcome::kAnswered : PausedStopOutcome::kLost;
}

}  // namespace

std::map<PausedStopOutcome, int> StopWithPauses(const std::vector<PausedStop>& stops) {
  std::vector<std::future<PausedStopOutcome>> outcomes;
  outcomes.reserve(stops.size());
  for (const PausedStop& stop : stops) {
    outcomes.push_back(std::async(std::launch::async, StopWithPause, stop));
  }
  std::map<PausedStopOutcome, int> counts;
  for (auto& outcome : outcomes) {
    ++counts[outcome.get()];
  }
  return counts;
}

}  // namespace pumicedyke::e2e
