// A client connection that sends one request after the other and keeps the connection.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "sockets.h"

namespace standin {

struct Reply {
  /// Zero if no complete answer came.
  int status = 0;
  Message message;
  /// How the connection ended if no complete answer came.
  ReadEnd end = ReadEnd::kData;
};

class Client {
 public:
  explicit Client(std::string address) : address_(std::move(address)) {}

  /// Connects if needed, and waits for the answer.
  Reply Send(const std::string& method, const std::string& target,
             std::vector<std::pair<std::string, std::string>> headers, const std::string& body,
             milliseconds timeout);

 private:
  std::string address_;
  Socket socket_;
  std::string buffer_;
};

}  // namespace standin
