#include "leaf.h"

#include <cstdlib>
#include <utility>

#include "client.h"

namespace standin {

Leaf::Leaf(LeafOptions options, std::vector<std::string> controls, Record* record, RunCb on_run)
    : options_(std::move(options)),
      controls_(std::move(controls)),
      record_(record),
      on_run_(std::move(on_run)) {
  auto [listener, port] = Listen("127.0.0.1");
  listener_ = std::move(listener);
  address_ = "127.0.0.1:" + std::to_string(port);
  threads_.emplace_back([this] { Serve(); });
  threads_.emplace_back([this] { SendHeartbeats(); });
}

Leaf::~Leaf() {
  stop_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  while (connections_ > 0) {
    std::this_thread::sleep_for(milliseconds(5));
  }
}

void Leaf::Serve() {
  while (!stop_) {
    Socket socket = Accept(listener_, milliseconds(50));
    if (!socket.open()) {
      continue;
    }
    ++connections_;
    std::thread([this, connection = std::move(socket)]() mutable {
      ServeConnection(std::move(connection));
      --connections_;
    }).detach();
  }
}

void Leaf::ServeConnection(Socket socket) {
  std::string buffer;
  while (!stop_) {
    ReadEnd end = ReadEnd::kData;
    const std::optional<Message> request =
        ReadMessage(&socket, &buffer, Clock::now() + milliseconds(100), &end);
    if (!request.has_value()) {
      if (end != ReadEnd::kTimeout) {
        return;
      }
      continue;
    }
    const std::string answer = Answer(*request, socket);
    if (answer.empty() || !socket.SendAll(answer)) {
      return;
    }
  }
}

std::string Leaf::AnswerWith(const std::string& status, const Message& request,
                             std::vector<std::pair<std::string, std::string>> headers,
                             const std::string& body) {
  headers.emplace_back("X-Request-Id", request.Header("X-Request-Id"));
  {
    const std::lock_guard lock(mutex_);
    headers.emplace_back("X-Server-Load", std::to_string(running_) + "," +
                                              std::to_string(waiting_) + "," +
                                              std::to_string(options_.slots));
  }
  headers.emplace_back("Content-Length", std::to_string(body.size()));
  return Encode("HTTP/1.1 " + status, headers, body);
}

bool Leaf::TakeSlot(Clock::time_point until) {
  std::unique_lock lock(mutex_);
  if (running_ >= options_.slots && waiting_ >= options_.queue) {
    return false;
  }
  ++waiting_;
  const bool taken =
      changed_.wait_until(lock, until, [this] { return running_ < options_.slots || stop_; });
  --waiting_;
  if (!taken) {
    return false;
  }
  ++running_;
  return true;
}

void Leaf::ReturnSlot() {
  const std::lock_guard lock(mutex_);
  --running_;
  changed_.notify_one();
}

std::string Leaf::Answer(const Message& request, const Socket& socket) {
  const Clock::time_point arrived = Clock::now();
  const std::string expected = request.Header("X-Expect-Instance");
  const std::string id = request.Header("X-Request-Id");
  if (!expected.empty() && expected != options_.id) {
    return AnswerWith("421 Misdirected Request", request, {{"X-Not-Executed", "1"}}, "");
  }
  if (id.empty()) {
    return AnswerWith("400 Bad Request", request, {{"X-Not-Executed", "1"}}, "");
  }
  const std::string deadline = request.Header("X-Deadline-Ms");
  const Clock::time_point until =
      arrived + milliseconds(deadline.empty() ? 600000 : std::atoll(deadline.c_str()));
  if (!TakeSlot(until)) {
    return AnswerWith("503 Service Unavailable", request, {{"X-Not-Executed", "1"}}, "");
  }
  on_run_(*this, request);
  const Clock::time_point done = Clock::now() + options_.work;
  while (Clock::now() < done && Clock::now() < until && !socket.PeerClosed()) {
    std::this_thread::sleep_for(std::min(milliseconds(5), options_.work));
  }
  ReturnSlot();
  if (socket.PeerClosed()) {
    record_->Add("leaf " + options_.id + " drops " + id + ": its connection was closed");
    return {};
  }
  const std::pair<std::string, std::string> stamp = {"X-Server-Stamp", options_.id + "." + id};
  if (Clock::now() < done) {
    return AnswerWith("504 Gateway Timeout", request, {stamp}, "");
  }
  return AnswerWith("200 OK", request, {stamp}, options_.id + " ran " + id);
}

void Leaf::SendHeartbeats() {
  int sequence = 0;
  size_t control = 0;
  Clock::time_point next = Clock::now();
  while (!stop_) {
    if (Clock::now() < next) {
      std::this_thread::sleep_for(milliseconds(20));
      continue;
    }
    ++sequence;
    const std::string body =
        "{\"backend\":\"" + options_.service + "\",\"address\":\"" + address_ + "\",\"zone\":\"" +
        options_.zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots) +
        ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":" + std::to_string(sequence) + "}";
    Client client(controls_[control]);
    const Reply reply =
        client.Send("POST", "/v1/instances/" + options_.id + "/heartbeat",
                    {{"Content-Type", "application/json"}}, body, milliseconds(1000));
    if (reply.status / 100 == 2) {
      known_ = true;
      next += options_.heartbeat_interval;
    } else {
      control = (control + 1) % controls_.size();
      next = Clock::now() + milliseconds(100);
    }
  }
}

}  // namespace standin
