#include "e2e/read_request.h"

#include <sys/socket.h>

#include <array>
#include <string>

#include "http/message_parser.h"

namespace pumicedyke::e2e {

std::optional<http::RequestMessage> ReadRequest(int connection) {
  http::RequestParser parser({});
  std::string input;
  std::array<char, 4096> bytes{};
  while (parser.Consume(&input) != http::ParseState::kComplete) {
    const ssize_t count = ::recv(connection, bytes.data(), bytes.size(), 0);
    if (count <= 0 || parser.state() == http::ParseState::kFailed) {
      return std::nullopt;
    }
    input.append(bytes.data(), static_cast<size_t>(count));
  }
  return parser.Take();
}

}  // namespace pumicedyke::e2e
