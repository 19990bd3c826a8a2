#include "net/request_room.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::net {
namespace {

/// Share of the budget that requests may take together. The rest is left to answers.
constexpr double kRequestsShare = 0.75;
/// The same for requests over kLargeBytes.
constexpr double kLargeShare = 0.625;
/// A shorter time says little about the pace at which room is given back.
constexpr Duration kMinMeasuredTime = Milliseconds(500);
/// After this time the measurement begins anew.
constexpr Duration kMaxMeasuredTime = Seconds(4);

size_t ShareOf(double share, size_t bytes) {
  return static_cast<size_t>(share * static_cast<double>(bytes));
}

}  // namespace

RequestRoom::Place::Place(RequestRoom* room, std::function<void()> on_granted,
                          std::function<void()> on_revoked)
    : room_(room),
      on_granted_(std::move(on_granted)),
      unread_(room->budget_, std::move(on_revoked)) {}

RequestRoom::Place::~Place() { Release(); }

RoomAnswer RequestRoom::Place::Ask(Timestamp now, size_t bytes, Duration patience) {
  bytes_ = bytes;
  large_ = bytes > kLargeBytes;
  if (bytes > room_->budget_->limit()) {
    ++room_->refused_;
    return {RoomState::kRefused, Duration(0)};
  }
  Queue& queue = room_->QueueOf(*this);
  if (queue.places.empty() && room_->Fits(*this)) {
    room_->Grant(this);
    return {RoomState::kGranted, Duration(0)};
  }
  room_->MeasurePace(now);
  const Duration expected = room_->ExpectedWait(now, *this);
  if (expected > patience) {
    ++room_->refused_;
    return {RoomState::kRefused, expected};
  }
  state_ = RoomState::kWaiting;
  queue.places.push_back(this);
  queue.bytes += bytes;
  return {RoomState::kWaiting, expected};
}

void RequestRoom::Place::Keep(size_t bytes) {
  state_ = RoomState::kKept;
  const size_t kept = std::min(bytes, bytes_);
  room_->GiveBack(*this, bytes_ - kept);
  bytes_ = kept;
  room_->budget_->Reserve(kept);
  unread_.Hold(0);
}

void RequestRoom::Place::Release() {
  const RoomState before = std::exchange(state_, RoomState::kNone);
  if (before == RoomState::kNone) {
    return;
  }
  if (before == RoomState::kWaiting) {
    Queue& queue = room_->QueueOf(*this);
    queue.places.remove(this);
    queue.bytes -= bytes_;
  } else {
    room_->GiveBack(*this, bytes_);
  }
  if (before == RoomState::kKept) {
    room_->budget_->Unreserve(bytes_);
  }
  unread_.Hold(0);
  // Those behind may fit now, also if the budget has freed nothing.
  room_->GrantWaiting();
}

RequestRoom::RequestRoom(ByteBudget* budget) : budget_(budget) {
  budget_->OnFreed([this] { GrantWaiting(); });
}

RequestRoom::~RequestRoom() { budget_->OnFreed({}); }

size_t RequestRoom::MostForUnknownLength() const { return ShareOf(kLargeShare, budget_->limit()); }

bool RequestRoom::Fits(const Place& place) const {
  const size_t limit = budget_->limit();
  if (budget_->held() + place.bytes_ > limit) {
    return false;
  }
  // A request that exceeds a share gets room while no other has any of it.
  const bool within_share =
      granted_ == 0 || granted_ + place.bytes_ <= ShareOf(kRequestsShare, limit);
  const bool within_large_share = !place.large_ || granted_to_large_ == 0 ||
                                  granted_to_large_ + place.bytes_ <= ShareOf(kLargeShare, limit);
  return within_share && within_large_share;
}

void RequestRoom::Grant(Place* place) {
  place->state_ = RoomState::kGranted;
  granted_ += place->bytes_;
  granted_to_large_ += place->large_ ? place->bytes_ : 0;
  place->unread_.Hold(place->bytes_);
}

void RequestRoom::GrantWaiting() {
  GrantFirstOf(&small_);
  GrantFirstOf(&large_);
}

void RequestRoom::GrantFirstOf(Queue* queue) {
  while (!queue->places.empty() && Fits(*queue->places.front())) {
    Place* place = queue->places.front();
    queue->places.pop_front();
    queue->bytes -= place->bytes_;
    Grant(place);
    place->on_granted_();
  }
}

void RequestRoom::GiveBack(const Place& place, size_t bytes) {
  granted_ -= bytes;
  granted_to_large_ -= place.large_ ? bytes : 0;
  given_back_ += bytes;
}

void RequestRoom::MeasurePace(Timestamp now) {
  if (waiting() == 0 || now - measured_since_ > kMaxMeasuredTime) {
    measured_since_ = now;
    given_back_ = 0;
  }
}

Duration RequestRoom::ExpectedWait(Timestamp now, const Place& place) const {
  const Duration measured = now - measured_since_;
  if (measured < kMinMeasuredTime || given_back_ == 0) {
    return Duration(0);
  }
  const size_t ahead = small_.bytes + (place.large_ ? large_.bytes : 0) + place.bytes_;
  const double times = static_cast<double>(ahead) / static_cast<double>(given_back_);
  return Duration(static_cast<int64_t>(times * static_cast<double>(measured.count())));
}

}  // namespace pumicedyke::net
