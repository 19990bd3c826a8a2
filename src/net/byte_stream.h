// A non-blocking TCP connection on the event loop. All calls and callbacks are made on the event
// loop's thread.
#pragma once

#include <ace/Event_Handler.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "common/types.h"
#include "net/event_loop.h"

namespace pumicedyke::net {

/// How a connection ended, as seen from this side.
enum class StreamEnd {
  /// Orderly close by the peer: everything it sent has been read.
  kClosed,
  /// Reset, timed out or never established: bytes may be missing.
  kBroken,
};

class ByteStream : public ACE_Event_Handler {
 public:
  struct Callbacks {
    /// Called when bytes have arrived. The callee removes the bytes it has used from the front.
    std::function<void(std::string* input)> on_bytes;
    /// Called at most once, as the last callback. The owner may delete the stream from the next
    /// loop iteration on.
    std::function<void(StreamEnd end)> on_end;
    /// Called when everything written so far has been passed to the operating system.
    std::function<void()> on_drained;
    /// Called when a connection initiated by this side is established.
    std::function<void()> on_connected = {};
  };

  /// @param handle an accepted socket. Takes ownership.
  ByteStream(EventLoop* loop, ACE_HANDLE handle, Callbacks callbacks);
  /// @param address IP address and port to connect to. A failure is reported by on_end.
  ByteStream(EventLoop* loop, const std::string& address, Callbacks callbacks);
  ~ByteStream() override;
  ByteStream(const ByteStream&) = delete;
  ByteStream& operator=(const ByteStream&) = delete;

  /// Writes bytes. May be called before the connection is established.
  void Write(std::string_view bytes);
  /// Closes the connection. Unwritten bytes are lost, and no callback follows.
  void Close();
  /// Tells the peer that nothing follows what was written, all of which must have been passed to
  /// the operating system, which goes on delivering it, for long if need be, also after Close() and
  /// the end of the process. What the peer sends is read on.
  void StopSending();
  /// Whether bytes are read as they arrive. While not, they stay with the operating system, so that
  /// the peer has to wait, and an end of the connection is noticed only when something is written.
  void SetReading(bool reading);

  bool open() const { return handle_ != ACE_INVALID_HANDLE; }
  bool connected() const { return open() && !connecting_; }
  /// Whether the connection was ever established. If not, no byte can have reached the peer.
  bool was_connected() const { return was_connected_; }
  size_t unwritten() const { return output_.size(); }
  /// Whether bytes have arrived that no callback was given yet. Makes one system call.
  bool HasUnreadInput() const;
  /// Returns the round-trip time measured by the operating system, or zero if not known. Makes one
  /// system call.
  Duration RoundTrip() const;

  int handle_input(ACE_HANDLE handle) override;
  int handle_output(ACE_HANDLE handle) override;
  ACE_HANDLE get_handle() const override { return handle_; }

 private:
  void Register(ACE_Reactor_Mask mask);
  void Watch();
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
  bool reading_ = true;
  bool wants_writes_ = false;
  /// A write has found the connection broken.
  bool broken_ = false;
};

}  // namespace pumicedyke::net
