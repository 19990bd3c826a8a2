// A peer of HttpClient that answers by a script, byte by byte.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "e2e/raw_listener.h"
#include "http/http_client.h"

namespace pumicedyke::http {

/// A peer that serves a number of connections by a script.
class ScriptedPeer {
 public:
  using Script = std::function<void(int connection)>;

  /// @param connections number of connections to serve, each by `script`; further ones are closed.
  ScriptedPeer(int connections, const Script& script);

  const std::string& address() const { return listener_.address(); }

  /// Reads until the end of a request's head. @return false if the connection ended before.
  static bool ReadHead(int connection);
  static void Write(int connection, const std::string& text);
  static std::string Answer(const std::string& id);
  static std::string Refusal(const std::string& id);

 private:
  std::atomic<int> accepted_{0};
  /// Last, because its threads use the other member.
  e2e::RawListener listener_;
};

/// Makes the calls consecutively with one client, which has one connection at a time.
std::vector<ClientResponse> Exchange(const std::vector<ClientRequest>& requests);

}  // namespace pumicedyke::http
