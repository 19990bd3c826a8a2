// A listening socket whose connections a test serves byte by byte.
#pragma once

#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace pumicedyke::e2e {

class RawListener {
 public:
  /// Serves a connection on a thread of its own; the listener closes the socket afterwards.
  using ServeCb = std::function<void(int connection)>;

  explicit RawListener(ServeCb serve);
  /// Ends all connections and waits for their threads.
  ~RawListener();
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  const std::string& address() const { return address_; }

 private:
  void Accept();
  void Serve(int connection);

  const ServeCb serve_;
  int socket_ = -1;
  std::string address_;
  std::mutex mutex_;
  bool stopped_ = false;
  std::set<int> connections_;
  std::vector<std::thread> servers_;
  std::thread acceptor_;
};

}  // namespace pumicedyke::e2e
