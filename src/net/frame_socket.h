// Length-prefixed frames over one TCP connection, and a server and a client of them.
// All calls and callbacks happen on the event loop's thread.
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

/// Longest frame that is accepted; a longer or malformed one closes the connection.
constexpr size_t kMaxFrameBytes = 64U << 20;
/// Bytes waiting to be written beyond which a peer counts as stuck and is cut off.
constexpr size_t kMaxBacklogBytes = 128U << 20;

/// An envelope as it goes over a connection.
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
  /// The same with a frame by EncodeFrame().
  void SendFrame(std::string_view frame);
  /// No callback comes after this.
  void Close();

  int handle_input(ACE_HANDLE handle) override;
  int handle_output(ACE_HANDLE handle) override;
  ACE_HANDLE get_handle() const override { return stream_.get_handle(); }

 private:
  void Fail();
  bool ParseFrames();
  void Flush();

  EventLoop* loop_;
  ACE_SOCK_Stream stream_;
  MessageCb on_message_;
  ClosedCb on_closed_;
  std::string input_;
  std::string output_;
  bool open_ = false;
  bool writing_ = false;
};

/// Accepts connections and numbers them.
class FrameServer : public ACE_Event_Handler {
 public:
  using SessionCb = std::function<void(uint64_t session, wire::Envelope envelope)>;
  using ClosedCb = std::function<void(uint64_t session)>;

  FrameServer(EventLoop* loop, SessionCb on_message, ClosedCb on_closed);
  ~FrameServer() override;
  FrameServer(const FrameServer&) = delete;
  FrameServer& operator=(const FrameServer&) = delete;

  /// @param address IP number and port; port 0 takes one from the OS.
  absl::Status Listen(const std::string& address);
  uint16_t port() const { return port_; }
  void Send(uint64_t session, const wire::Envelope& envelope);
  /// Sends the same on several connections.
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

/// A connection to one address that is made anew when it breaks. The first few messages sent while
/// it is being made wait for it; others are dropped: every protocol above repeats what matters.
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
  void Lost();

  EventLoop* loop_;
  std::string address_;
  FrameSocket::MessageCb on_message_;
  FrameSocket::ClosedCb on_closed_;
  ACE_SOCK_Stream connecting_;
  std::vector<wire::Envelope> waiting_;
  bool is_connecting_ = false;
  /// Connections in a row that did not come up in time.
  int tries_ = 0;
  Timestamp started_{};
  Timestamp retry_at_{};
  std::unique_ptr<FrameSocket> socket_;
};

}  // namespace pumicedyke::net
