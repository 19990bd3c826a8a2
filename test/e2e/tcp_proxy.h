// A TCP proxy that can drop and restore its link silently, as a network partition does.
#pragma once

#include <atomic>
#include <string>
#include <thread>

namespace pumicedyke::e2e {

class TcpProxy {
 public:
  explicit TcpProxy(std::string target);
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  const std::string& address() const { return address_; }
  /// While cut, the proxy forwards no bytes and closes no connection.
  void SetCut(bool cut) { cut_ = cut; }

 private:
  void Serve();

  std::string target_;
  std::string address_;
  int listener_ = -1;
  std::atomic<bool> cut_{false};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace pumicedyke::e2e
