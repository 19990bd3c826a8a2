// Length-prefixed frames over a TCP connection, with a server and a client. All calls and callbacks
// are made on the event loop's thread.
#pragma once

#include <ace/Event_Handler.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "common/types.h"
#include "net/event_loop.h"
#include "wire/messages.h"

namespace pumicedyke::net {

/// Maximum size of an accepted frame. A longer or malformed frame closes the connection.
constexpr size_t kMaxFrameBytes = 64U << 20;
/// Maximum time from the first byte of a frame to its last. The connection is closed then.
constexpr Duration kFrameTimeout = Seconds(30);
/// Maximum bytes waiting to be written. Beyond it the peer counts as stuck and is disconnected.
constexpr size_t kMaxBacklogBytes = 128U << 20;

/// Encodes an envelope as a frame.
std::string EncodeFrame(const wire::Envelope& envelope);

class FrameSocket : public ACE_Event_Handler {
 public:
  using MessageCb = std::function<void(wire::Envelope)>;
  using ClosedCb = std::function<void()>;

  FrameSocket(EventLoop* loop, const ACE_SOCK_Stream& stream, MessageCb on_message,
              ClosedCb on_closed);
  ~FrameSocket() override;
  FrameSocket(const FrameSocket&) = delete;
  FrameSocket& operator=(const FrameSocket&) = delete;

  bool Start();
  void Send(const wire::Envelope& envelope);
  /// Sends a frame made by EncodeFrame().
  void SendFrame(std::string_view frame);
  /// Closes the connection. No callback follows.
  void Close();

  int handle_input(ACE_HANDLE handle) override;
  int handle_output(ACE_HANDLE handle) override;
  ACE_HANDLE get_handle() const override { return stream_.get_handle(); }

 private:
  void Fail();
  bool ParseFrames();
  void Flush();
  /// Starts the time limit of a frame that has begun, or ends that of one that is complete.
  void UpdateFrameTimer(bool frame_ended);

  EventLoop* loop_;
  ACE_SOCK_Stream stream_;
  MessageCb on_message_;
  ClosedCb on_closed_;
  ByteBudget::Holder held_;
  std::string input_;
  std::string output_;
  EventLoop::TimerId frame_timer_ = 0;
  bool open_ = false;
  bool writing_ = false;
};

/// Accepts connections. Each gets a session number.
class FrameServer : public ACE_Event_Handler {
 public:
  using SessionCb = std::function<void(uint64_t session, wire::Envelope envelope)>;
  using ClosedCb = std::function<void(uint64_t session)>;

  FrameServer(EventLoop* loop, SessionCb on_message, ClosedCb on_closed);
  ~FrameServer() override;
  FrameServer(const FrameServer&) = delete;
  FrameServer& operator=(const FrameServer&) = delete;

  /// @param address IP address and port. Port 0: the operating system chooses one.
  absl::Status Listen(const std::string& address);
  uint16_t port() const { return port_; }
  void Send(uint64_t session, const wire::Envelope& envelope);
  /// Sends one message to several sessions.
  void SendToAll(const std::vector<uint64_t>& sessions, const wire::Envelope& envelope);
  void CloseSession(uint64_t session);

  int handle_input(ACE_HANDLE handle) override;
  ACE_HANDLE get_handle() const override { return acceptor_.get_handle(); }

 private:
  EventLoop* loop_;
  SessionCb on_message_;
  ClosedCb on_closed_;
  ACE_SOCK_Acceptor acceptor_;
  uint16_t port_ = 0;
  uint64_t next_session_ = 1;
  std::map<uint64_t, std::unique_ptr<FrameSocket>> sessions_;
};

/// A connection to one address that reconnects when it breaks. A few messages are queued until the
/// connection is established; further ones are dropped, as the protocols above repeat what matters.
class FrameClient : public ACE_Event_Handler {
 public:
  FrameClient(EventLoop* loop, std::string address, FrameSocket::MessageCb on_message,
              FrameSocket::ClosedCb on_closed);
  ~FrameClient() override;
  FrameClient(const FrameClient&) = delete;
  FrameClient& operator=(const FrameClient&) = delete;

  void Send(const wire::Envelope& envelope);

  int handle_input(ACE_HANDLE handle) override;
  int handle_output(ACE_HANDLE handle) override;
  ACE_HANDLE get_handle() const override { return connecting_.get_handle(); }

 private:
  void StartConnecting();
  int FinishConnecting();
  void OnConnectionLost();

  EventLoop* loop_;
  std::string address_;
  FrameSocket::MessageCb on_message_;
  FrameSocket::ClosedCb on_closed_;
  ACE_SOCK_Stream connecting_;
  std::vector<wire::Envelope> queue_;
  bool is_connecting_ = false;
  /// Number of consecutive connection attempts that timed out.
  int timed_out_attempts_ = 0;
  Timestamp started_{};
  Timestamp retry_at_{};
  std::unique_ptr<FrameSocket> socket_;
};

}  // namespace pumicedyke::net
