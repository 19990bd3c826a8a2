#include "http/scripted_peer.h"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "net/event_loop.h"

namespace pumicedyke::http {

ScriptedPeer::ScriptedPeer(int connections, const Script& script)
    : listener_([this, connections, script](int connection) {
        if (++accepted_ <= connections) {
          script(connection);
        }
      }) {}

bool ScriptedPeer::ReadHead(int connection) {
  constexpr char kEnd[] = "\r\n\r\n";
  std::string text;
  char byte = 0;
  while (!text.ends_with(kEnd) && ::read(connection, &byte, 1) == 1) {
    text += byte;
  }
  return text.ends_with(kEnd);
}

void ScriptedPeer::Write(int connection, const std::string& text) {
  (void)!::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
}

std::string ScriptedPeer::Answer(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(id.size()) +
         "\r\n\r\n" + id;
}

std::string ScriptedPeer::Refusal(const std::string& id) {
  return "HTTP/1.1 503 Full\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

std::vector<ClientResponse> Exchange(const std::vector<ClientRequest>& requests) {
  net::EventLoop loop;
  HttpClient client(&loop, {.max_connections_per_host = 1});
  std::vector<ClientResponse> responses;
  std::function<void()> next = [&] {
    client.Start(requests[responses.size()], [&](ClientResponse response) {
      responses.push_back(std::move(response));
      if (responses.size() == requests.size()) {
        loop.Stop();
      } else {
        loop.Post(next);
      }
    });
  };
  loop.Post(next);
  loop.Run([](Timestamp now) { return now + Milliseconds(50); });
  return responses;
}

}  // namespace pumicedyke::http
