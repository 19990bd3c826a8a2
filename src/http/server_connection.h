// A client's connection to an HttpServer. Each request is answered before the next one is read.
// While the process has no room for a request's body, it is not read, so that the client waits.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/result_code.h"
#include "http/http_server.h"
#include "http/message_parser.h"
#include "net/byte_budget.h"
#include "net/byte_stream.h"
#include "net/request_room.h"

namespace pumicedyke::http {

/// Used on the event loop's thread only.
class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// @param handle an accepted socket. Takes ownership.
  Connection(HttpServer* server, uint64_t id, ACE_HANDLE handle);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Closes the connection unless a request or its response is in progress, or bytes have arrived.
  void CloseIfIdle();
  /// Refuses the request that is being read, if there is one and all that has arrived was read.
  void RefuseIfUnfinished();
  /// Closes the connection because the server is being destroyed. Later responses are ignored.
  void Detach();

 private:
  static MessageLimits Limits(const HttpServerOptions& options);

  void OnBytes(std::string* input);
  /// Whether the next request may be read: responses are written one after the other, and a client
  /// that does not read them gets no further ones.
  bool ReadyForRequest() const { return !serving_ && !closing_ && stream_.unwritten() == 0; }
  bool HasInput() const { return input_ != nullptr && !input_->empty(); }
  /// Whether more of a request is wanted: the parser has seen all input and found no end in it.
  bool NeedsMoreOfRequest() const;
  /// Whether the input is read and dropped: after an error, or since too much of it has come while
  /// a request is served.
  bool drops_input() const { return closing_ || drops_further_input_; }
  void ReadRequests();
  /// Notes the limits to which the request whose head begins now is held.
  void BeginRequest();
  void ReadRequestsSoon();
  /// Finds room for the request whose head, at least, was read. @return whether it has room now.
  bool HasRoom();
  void AskForRoom(Timestamp now);
  /// The most bytes that the body may need; zero if it was read.
  size_t MostBodyBytes() const;
  /// Refuses a body without announced length that takes more than its room.
  void RefuseIfTooLong();
  void AdmitBody();
  /// Whether so much of the request has arrived that its sender may take room from others.
  bool EnoughHasArrived() const;
  /// How long the client may wait for room.
  Duration Patience() const;
  /// Whether the body keeps others waiting and does not advance.
  bool IsStalled(Timestamp now);
  /// Stops reading while further requests wait, and tells the budget what is held.
  void UpdateFlow();
  /// Called by the budget, possibly from within another connection's work.
  void RevokeSoon();
  void Revoke();
  void OnDrained();
  void Dispatch();
  void Answer(uint64_t number, HttpResponse response);
  /// Responds to a request that is not served with an error.
  void Refuse(ResultCode code, Duration retry_after = {});
  /// Writes the last response, and closes the connection as soon as nothing of it can be lost.
  void WriteLast(const std::string& response);
  /// Called when the last response was passed to the operating system. The close is delayed unless
  /// nothing can be lost by it: bytes of the client that are unread then, or come after it, reset
  /// the connection, and the operating system drops what it has not delivered yet.
  void CloseSoon();
  /// Reads and drops what the client sends until it closes the connection, but not for long.
  void Linger();
  /// Closes the connection after what has arrived was read, also if the process was paused.
  void EndAfterReading();
  /// When the connection is closed, or the request refused, unless something happens before.
  Timestamp Deadline() const;
  void RestartIdleTimer();
  void ArmTimer(Timestamp now);
  void OnTimer();
  void OnEnd();

  HttpServer* server_;
  net::EventLoop* loop_;
  uint64_t id_;
  RequestParser parser_;
  net::ByteBudget::Holder held_;
  /// Room for the request that is read or served.
  net::RequestRoom::Place room_;
  /// What has arrived and was not parsed yet; owned by the stream. Null until bytes have arrived.
  std::string* input_ = nullptr;
  size_t dropped_bytes_ = 0;
  bool serving_ = false;
  bool closing_ = false;
  /// Whether the close is delayed although no bytes of the client are unread.
  bool lingers_ = false;
  bool drops_further_input_ = false;
  bool keep_alive_ = true;
  bool head_only_ = false;
  bool continue_sent_ = false;
  uint64_t request_number_ = 0;
  Duration round_trip_{};
  std::function<void()> on_disconnect_;
  Timestamp idle_since_{};
  /// The limit that was in force then.
  unsigned idle_seconds_ = 0;
  /// The limit that was in force when the head of the request began.
  Duration request_timeout_{};
  /// When the head of the request that is read began to arrive.
  Timestamp request_started_{};
  /// The earliest time at which it may have arrived.
  Timestamp request_arrived_{};
  /// When the time for reading the request began: its start, or later if it had to wait for room.
  Timestamp reading_since_{};
  Timestamp room_wanted_until_{};
  /// Bytes of the request that were read by `progress_noted_`.
  size_t noted_progress_ = 0;
  Timestamp progress_noted_{};
  net::EventLoop::TimerId timer_ = 0;
  net::ByteStream stream_;
};

}  // namespace pumicedyke::http
