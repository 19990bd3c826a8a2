// One non-blocking TCP connection on the event loop: bytes in, bytes out, and how it ended.
// All calls and callbacks happen on the event loop's thread.
#pragma once

#include <ace/Event_Handler.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "common/types.h"
#include "net/event_loop.h"

namespace pumicedyke::net {

/// How a connection ended, from this side's view.
enum class StreamEnd {
  /// The peer closed in order: everything it sent has been read.
  kClosed,
  /// Reset, timed out or never made: bytes may be missing.
  kBroken,
};

class ByteStream : public ACE_Event_Handler {
 public:
  struct Callbacks {
    /// Bytes came; the receiver removes from the front what it has used.
    std::function<void(std::string* input)> on_bytes;
    /// Comes once at most, and last. The owner may delete the stream a loop turn later.
    std::function<void(StreamEnd end)> on_end;
    /// Everything written so far is with the operating system.
    std::function<void()> on_drained;
    /// The connection that this side began is made.
    std::function<void()> on_connected = {};
  };

  /// @param handle an accepted socket; owned from now on.
  ByteStream(EventLoop* loop, ACE_HANDLE handle, Callbacks callbacks);
  /// @param address IP number and port to connect to; failure comes by on_end.
  ByteStream(EventLoop* loop, const std::string& address, Callbacks callbacks);
  ~ByteStream() override;
  ByteStream(const ByteStream&) = delete;
  ByteStream& operator=(const ByteStream&) = delete;

  /// May be called before the connection is made.
  void Write(std::string_view bytes);
  /// No callback comes after this. Unwritten bytes are lost.
  void Close();
  /// Closes as soon as everything is written.
  void CloseWhenDrained();

  bool open() const { return handle_ != ACE_INVALID_HANDLE; }
  bool connected() const { return open() && !connecting_; }
  /// False: not one byte can have reached the peer.
  bool was_connected() const { return was_connected_; }
  size_t unwritten() const { return output_.size(); }
  /// As the operating system has measured it. One system call. @return zero: not known.
  Duration RoundTrip() const;

  int handle_input(ACE_HANDLE handle) override;
  int handle_output(ACE_HANDLE handle) override;
  ACE_HANDLE get_handle() const override { return handle_; }

 private:
  void Register(ACE_Reactor_Mask mask);
  void WantWrites(bool want);
  void Flush();
  void End(StreamEnd end);
  bool FinishConnecting();

  EventLoop* loop_;
  ACE_HANDLE handle_ = ACE_INVALID_HANDLE;
  Callbacks callbacks_;
  std::string input_;
  std::string output_;
  bool connecting_ = false;
  bool was_connected_ = false;
  bool registered_ = false;
  bool wants_writes_ = false;
  bool close_when_drained_ = false;
};

}  // namespace pumicedyke::net
