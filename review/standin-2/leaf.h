// A leaf that follows the users' pages: it works on `slots` requests at once, queues a few more,
// refuses others without running them, checks X-Expect-Instance, stops at its deadline, drops a
// request whose connection closes, and sends heartbeats.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "record.h"
#include "sockets.h"

namespace standin {

struct LeafOptions {
  std::string id;
  std::string service;
  std::string zone = "north";
  int slots = 2;
  int queue = 12;
  milliseconds work{5};
  milliseconds heartbeat_interval{1200};
};

class Leaf {
 public:
  /// Called when a request begins to run.
  using RunCb = std::function<void(const Leaf&, const Message&)>;

  /// @param controls addresses for heartbeats.
  Leaf(LeafOptions options, std::vector<std::string> controls, Record* record, RunCb on_run);
  ~Leaf();
  Leaf(const Leaf&) = delete;
  Leaf& operator=(const Leaf&) = delete;

  const LeafOptions& options() const { return options_; }
  const std::string& address() const { return address_; }
  /// Whether a heartbeat was acknowledged.
  bool known() const { return known_; }

 private:
  void Serve();
  void ServeConnection(Socket socket);
  std::string Answer(const Message& request, const Socket& socket);
  std::string AnswerWith(const std::string& status, const Message& request,
                         std::vector<std::pair<std::string, std::string>> headers,
                         const std::string& body);
  bool TakeSlot(Clock::time_point until);
  void ReturnSlot();
  void SendHeartbeats();

  LeafOptions options_;
  std::vector<std::string> controls_;
  Record* record_;
  RunCb on_run_;
  Socket listener_;
  std::string address_;
  std::atomic<bool> stop_{false};
  std::atomic<bool> known_{false};
  std::mutex mutex_;
  std::condition_variable changed_;
  int running_ = 0;
  int waiting_ = 0;
  std::atomic<int> connections_{0};
  std::vector<std::thread> threads_;
};

}  // namespace standin
