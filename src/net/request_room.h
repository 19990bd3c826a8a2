// Room for the requests that a process reads and serves, within what all its connections may hold.
// A request is given room for all of its bytes before its body is read, in order of arrival. Once
// it was read whole it keeps its room until it is answered, so that none is cut to make room for
// another. Decides only; the owner of a request stops reading while it waits. All calls are made on
// one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

#include "common/types.h"
#include "net/byte_budget.h"

namespace pumicedyke::net {

enum class RoomState {
  /// No room was asked for, or it was given back.
  kNone,
  kWaiting,
  /// The request may be read. It may still have to give its room up.
  kGranted,
  /// The request was read whole and keeps its room.
  kKept,
  /// The request can't fit, or is not expected to get room in time.
  kRefused,
};

struct RoomAnswer {
  RoomState state = RoomState::kNone;
  /// How long a request of this size is expected to wait; zero: not known.
  Duration expected_wait{};
};

class RequestRoom {
 public:
  /// Requests over this size leave a part of the room to smaller ones, and wait for each other.
  static constexpr size_t kLargeBytes = 64 * 1024;

  /// The place of one request. Must not outlive the room.
  class Place {
   public:
    /// @param on_granted called when room is found for a request that waits.
    /// @param on_revoked called when a request that was not read whole has to give its room up.
    /// Both may be called from within any call to the room or its budget, and must not call either.
    Place(RequestRoom* room, std::function<void()> on_granted, std::function<void()> on_revoked);
    ~Place();
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    /// Asks for room. Must not hold or wait for any.
    /// @param bytes the most that the request may come to.
    /// @param patience how long it may wait.
    RoomAnswer Ask(Timestamp now, size_t bytes, Duration patience);
    /// Keeps `bytes`, but no more than was granted, for a request that was read whole.
    void Keep(size_t bytes);
    /// Gives all back, or stops waiting.
    void Release();
    RoomState state() const { return state_; }
    /// What was granted or asked for.
    size_t bytes() const { return bytes_; }

   private:
    friend class RequestRoom;

    RequestRoom* room_;
    std::function<void()> on_granted_;
    ByteBudget::Holder unread_;
    RoomState state_ = RoomState::kNone;
    size_t bytes_ = 0;
    bool large_ = false;
  };

  /// @param budget must outlive the room.
  explicit RequestRoom(ByteBudget* budget);
  ~RequestRoom();
  RequestRoom(const RequestRoom&) = delete;
  RequestRoom& operator=(const RequestRoom&) = delete;

  const ByteBudget& budget() const { return *budget_; }
  /// The most that a request whose length is not known may ask for.
  size_t MostForUnknownLength() const;
  /// What was granted to requests and not given back yet.
  size_t granted() const { return granted_; }
  /// Number of requests that wait for room.
  size_t waiting() const { return small_.places.size() + large_.places.size(); }
  /// Number of requests that were refused for lack of room.
  uint64_t refused() const { return refused_; }
  /// Counts a request that waited for room or lost it, and was then refused.
  void CountRefused() { ++refused_; }

 private:
  /// Requests that wait, the oldest first.
  struct Queue {
    std::list<Place*> places;
    size_t bytes = 0;
  };

  Queue& QueueOf(const Place& place) { return place.large_ ? large_ : small_; }
  bool Fits(const Place& place) const;
  void Grant(Place* place);
  void GrantWaiting();
  void GrantFirstOf(Queue* queue);
  /// Takes `bytes` less than before into account for a place that has room.
  void GiveBack(const Place& place, size_t bytes);
  Duration ExpectedWait(Timestamp now, const Place& place) const;
  void MeasurePace(Timestamp now);

  ByteBudget* budget_;
  Queue small_;
  Queue large_;
  /// Granted to all requests, and to those over kLargeBytes.
  size_t granted_ = 0;
  size_t granted_to_large_ = 0;
  uint64_t refused_ = 0;
  /// When the present measurement of the pace began, while requests wait without a break.
  Timestamp measured_since_{};
  /// Given back since then.
  size_t given_back_ = 0;
};

}  // namespace pumicedyke::net
