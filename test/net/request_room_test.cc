// Tests which requests get room, in which order, and what they keep.
#include "net/request_room.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <memory>
#include <vector>

namespace pumicedyke::net {
namespace {

constexpr size_t kLimit = 1000000;
constexpr size_t kLarge = 200000;
constexpr size_t kSmall = 1000;
constexpr Duration kLong = Seconds(60);

/// A request and what it was told.
struct Request {
  explicit Request(RequestRoom* room)
      : place(
            room, [this] { ++granted; }, [this] { ++revoked; }) {}

  int granted = 0;
  int revoked = 0;
  RequestRoom::Place place;
};

}  // namespace

class RequestRoomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestRoomTest);
  CPPUNIT_TEST(LargeRequestsWaitInOrder);
  CPPUNIT_TEST(KeptRoomIsNotRevoked);
  CPPUNIT_TEST(RequestThatWouldWaitTooLongIsRefused);
  CPPUNIT_TEST(RoomIsNeitherLostNorExceeded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LargeRequestsWaitInOrder() {
    ByteBudget budget(kLimit);
    RequestRoom room(&budget);
    const Timestamp now{Seconds(1)};
    std::vector<std::unique_ptr<Request>> requests;
    for (int i = 0; i < 5; ++i) {
      requests.push_back(std::make_unique<Request>(&room));
      const RoomState state = requests.back()->place.Ask(now, kLarge, kLong).state;
      CPPUNIT_ASSERT(state == (i < 3 ? RoomState::kGranted : RoomState::kWaiting));
    }
    Request small(&room);
    CPPUNIT_ASSERT(small.place.Ask(now, kSmall, kLong).state == RoomState::kGranted);
    requests[0]->place.Release();
    CPPUNIT_ASSERT_EQUAL(1, requests[3]->granted);
    CPPUNIT_ASSERT_EQUAL(0, requests[4]->granted);
    // What was announced and not sent goes to the next one.
    requests[1]->place.Keep(kSmall);
    CPPUNIT_ASSERT_EQUAL(1, requests[4]->granted);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, room.waiting());
  }

  /// Guards against requests that are cut while they are served.
  void KeptRoomIsNotRevoked() {
    ByteBudget budget(kLimit);
    RequestRoom room(&budget);
    const Timestamp now{Seconds(1)};
    Request read(&room);
    Request served(&room);
    CPPUNIT_ASSERT(read.place.Ask(now, kLarge, kLong).state == RoomState::kGranted);
    CPPUNIT_ASSERT(served.place.Ask(now, 2 * kLarge, kLong).state == RoomState::kGranted);
    served.place.Keep(2 * kLarge);
    int revoked = 0;
    ByteBudget::Holder answer(&budget, [&revoked] { ++revoked; });
    answer.Hold(2 * kLarge - 1);
    CPPUNIT_ASSERT_EQUAL(0, revoked + read.revoked);
    answer.Hold(2 * kLarge + 1);
    CPPUNIT_ASSERT_EQUAL(1, revoked);
    CPPUNIT_ASSERT_EQUAL(0, served.revoked);
    CPPUNIT_ASSERT_EQUAL(3 * kLarge, budget.held());
  }

  void RequestThatWouldWaitTooLongIsRefused() {
    ByteBudget budget(kLimit);
    RequestRoom room(&budget);
    Timestamp now{Seconds(1)};
    std::vector<std::unique_ptr<Request>> requests;
    for (int i = 0; i < 6; ++i) {
      requests.push_back(std::make_unique<Request>(&room));
      requests.back()->place.Ask(now, kLarge, kLong);
    }
    // One second passes for each request that gives its room back.
    now += Seconds(1);
    requests[0]->place.Release();
    Request late(&room);
    const RoomAnswer refused = late.place.Ask(now, kLarge, Seconds(2));
    CPPUNIT_ASSERT(refused.state == RoomState::kRefused);
    CPPUNIT_ASSERT(refused.expected_wait > Seconds(2) && refused.expected_wait < Seconds(5));
    CPPUNIT_ASSERT(late.place.Ask(now, kLarge, Seconds(5)).state == RoomState::kWaiting);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, room.refused());
  }

  void RoomIsNeitherLostNorExceeded() {
    const bool held = rc::check("room is neither lost nor exceeded", [] {
      constexpr size_t kRequests = 12;
      ByteBudget budget(kLimit);
      RequestRoom room(&budget);
      Timestamp now{Seconds(1)};
      std::vector<std::unique_ptr<Request>> requests;
      for (size_t i = 0; i < kRequests; ++i) {
        requests.push_back(std::make_unique<Request>(&room));
      }
      int answer_revoked = 0;
      ByteBudget::Holder answer(&budget, [&answer_revoked] { ++answer_revoked; });
      const int steps = *rc::gen::inRange(1, 200);
      for (int step = 0; step < steps; ++step) {
        now += Milliseconds(*rc::gen::inRange(0, 100));
        Request& request = *requests[*rc::gen::inRange<size_t>(0, kRequests)];
        const size_t bytes = *rc::gen::inRange<size_t>(1, 400000);
        switch (request.place.state()) {
          case RoomState::kNone:
          case RoomState::kRefused:
            request.place.Ask(now, bytes, kLong);
            break;
          case RoomState::kGranted:
            if (bytes % 3 == 0) {
              request.place.Release();
            } else {
              request.place.Keep(bytes);
            }
            break;
          default:
            request.place.Release();
        }
        if (step % 4 == 0) {
          answer.Hold(bytes / 4);
          answer.Hold(0);
        }
        RC_ASSERT(budget.held() <= kLimit);
        RC_ASSERT(budget.reserved() <= room.granted());
      }
      for (const auto& request : requests) {
        request->place.Release();
      }
      RC_ASSERT(room.waiting() == 0U);
      RC_ASSERT(room.granted() == 0U);
      RC_ASSERT(budget.held() == 0U);
    });
    CPPUNIT_ASSERT(held);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestRoomTest);

}  // namespace pumicedyke::net
