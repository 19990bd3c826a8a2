#include "client.h"

namespace standin {

Reply Client::Send(const std::string& method, const std::string& target,
                   std::vector<std::pair<std::string, std::string>> headers,
                   const std::string& body, milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  if (!socket_.open()) {
    buffer_.clear();
    socket_ = Connect(address_);
  }
  if (!socket_.open()) {
    return {0, {}, ReadEnd::kReset};
  }
  bool has_host = false;
  for (const auto& [name, value] : headers) {
    has_host |= name == "Host";
  }
  if (!has_host) {
    headers.insert(headers.begin(), {"Host", address_});
  }
  if (!body.empty() || method == "POST") {
    headers.emplace_back("Content-Length", std::to_string(body.size()));
  }
  Reply reply;
  // If sending fails, an answer may have come all the same.
  socket_.SendAll(Encode(method + " " + target + " HTTP/1.1", headers, body));
  const std::optional<Message> answer = ReadMessage(&socket_, &buffer_, until, &reply.end);
  if (!answer.has_value()) {
    socket_.Close();
    return reply;
  }
  reply.message = *answer;
  reply.status = answer->status();
  if (answer->Header("Connection") == "close") {
    socket_.Close();
  }
  return reply;
}

}  // namespace standin
