// Bounds the bytes that all connections of a process hold together: what peers have sent of
// messages that are not complete, and what waits to be answered or written. When they exceed the
// limit, the connection that holds the most has to give its bytes up, so that peers that send
// without end do not take the room of those that send little. What is reserved counts, and is never
// given up. All calls are made on one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_set>
#include <utility>

namespace pumicedyke::net {

/// The bytes that the connections of a node or gateway may hold together.
constexpr size_t kDefaultHeldBytes = size_t{32} << 20;

class ByteBudget {
 public:
  /// What one connection holds. Must not outlive the budget.
  class Holder {
   public:
    /// @param on_revoked called when the connection has to give its bytes up. They no longer count
    /// from then on. Must not destroy a holder, and may be called from within
    /// Hold() of any other.
    Holder(ByteBudget* budget, std::function<void()> on_revoked);
    ~Holder();
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;

    /// Tells how many bytes the connection holds now. Once revoked, no effect until it holds none.
    void Hold(size_t bytes);
    size_t held() const { return held_; }

   private:
    friend class ByteBudget;

    ByteBudget* budget_;
    std::function<void()> on_revoked_;
    size_t held_ = 0;
    bool revoked_ = false;
  };

  explicit ByteBudget(size_t limit) : limit_(limit) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  /// Applies from the next call of Hold() on.
  void SetLimit(size_t limit) { limit_ = limit; }
  /// Counts bytes that are kept until they are given back.
  void Reserve(size_t bytes) { reserved_ += bytes; }
  void Unreserve(size_t bytes);
  /// Calls `on_freed` whenever less is held than before; empty: nobody.
  void OnFreed(std::function<void()> on_freed) { on_freed_ = std::move(on_freed); }

  /// What all connections hold or have reserved.
  size_t held() const { return held_ + reserved_; }
  size_t reserved() const { return reserved_; }
  /// Number of times that a connection had to give its bytes up.
  uint64_t revocations() const { return revocations_; }
  /// What the last one of them held.
  size_t last_revoked_bytes() const { return last_revoked_bytes_; }
  size_t limit() const { return limit_; }

 private:
  void Set(Holder* holder, size_t bytes);
  void RevokeLargest();

  size_t limit_;
  /// What the holders hold.
  size_t held_ = 0;
  size_t reserved_ = 0;
  uint64_t revocations_ = 0;
  size_t last_revoked_bytes_ = 0;
  /// Those that hold at least a byte.
  std::unordered_set<Holder*> holders_;
  std::function<void()> on_freed_;
};

}  // namespace pumicedyke::net
