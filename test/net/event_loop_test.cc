// Tests the order within a loop iteration: events do not overtake the owner's decision in tick().
#include "net/event_loop.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <csignal>

#include "net/suspended_clock.h"

namespace pumicedyke::net {
namespace {

/// A handler whose descriptor is readable from the start.
class ReadyHandler : public ACE_Event_Handler {
 public:
  explicit ReadyHandler(EventLoop* loop) : loop_(loop), handle_(::eventfd(1, EFD_NONBLOCK)) {
    loop_->poller()->Watch(this, kReadOnly);
  }
  ~ReadyHandler() override {
    loop_->poller()->Remove(this);
    ::close(handle_);
  }
  int handle_input(ACE_HANDLE handle) override {
    ++reads;
    arrival = loop_->earliest_arrival();
    eventfd_t count = 0;
    eventfd_read(handle, &count);
    return 0;
  }
  ACE_HANDLE get_handle() const override { return handle_; }

  int reads = 0;
  Timestamp arrival{};

 private:
  EventLoop* loop_;
  ACE_HANDLE handle_;
};

}  // namespace

class EventLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLoopTest);
  CPPUNIT_TEST(NothingIsReadOnceTheOwnerHasStopped);
  CPPUNIT_TEST(EarliestArrivalIsTheLastPoll);
  CPPUNIT_TEST(PostAndSignalWakeTheLoop);
  CPPUNIT_TEST(HandlerMayRemoveAnother);
  CPPUNIT_TEST(UnrunTasksMayUseTheLoopInItsDestructor);
  CPPUNIT_TEST(SuspendedTimeCounts);
  CPPUNIT_TEST(TimersOfASuspendedMachineAreOverdue);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A process that stops because no request is in progress must not read another request.
  void NothingIsReadOnceTheOwnerHasStopped() {
    EventLoop loop;
    ReadyHandler handler(&loop);
    loop.Run([&](Timestamp now) {
      loop.Stop();
      return now + Milliseconds(20);
    });
    CPPUNIT_ASSERT_EQUAL(0, handler.reads);
    loop.Resume();
    loop.Run([&](Timestamp now) {
      if (handler.reads > 0) {
        loop.Stop();
      }
      return now + Milliseconds(20);
    });
    CPPUNIT_ASSERT_EQUAL(1, handler.reads);
  }

  void EarliestArrivalIsTheLastPoll() {
    EventLoop loop;
    ReadyHandler handler(&loop);
    const Timestamp before = EventLoop::Now();
    loop.Run([&](Timestamp now) {
      if (handler.reads > 0) {
        loop.Stop();
      }
      return now + Milliseconds(20);
    });
    // The input was present at the first poll, so it may have arrived at any time before.
    CPPUNIT_ASSERT(handler.arrival <= before);
    CPPUNIT_ASSERT(handler.arrival > Timestamp{});
  }

  void PostAndSignalWakeTheLoop() {
    EventLoop loop;
    int signals = 0;
    loop.OnSignal(SIGUSR1, [&] {
      ++signals;
      loop.Post([&loop] { loop.Stop(); });
    });
    std::raise(SIGUSR1);
    loop.Run([](Timestamp now) { return now + Seconds(1); });
    CPPUNIT_ASSERT_EQUAL(1, signals);
  }

  /// Destroying the loop's remaining tasks may cancel timers: the timers must still exist then,
  /// also without the address sanitizer.
  void UnrunTasksMayUseTheLoopInItsDestructor() {
    struct Owner {
      EventLoop* loop;
      EventLoop::TimerId timer;
      bool* cancelled;
      ~Owner() {
        loop->CancelTimer(timer);
        *cancelled = true;
      }
    };
    bool cancelled = false;
    {
      EventLoop loop;
      const EventLoop::TimerId timer = loop.RunAt(EventLoop::Now() + Seconds(60), [] {});
      auto owner = std::shared_ptr<Owner>(new Owner{&loop, timer, &cancelled});
      loop.Defer([owner = std::move(owner)] {});
    }
    CPPUNIT_ASSERT(cancelled);
  }

  void HandlerMayRemoveAnother() {
    EventLoop loop;
    auto second = std::make_unique<ReadyHandler>(&loop);
    ReadyHandler first(&loop);
    bool removed = false;
    loop.Run([&](Timestamp now) {
      if (first.reads > 0) {
        loop.Stop();
      }
      if (!std::exchange(removed, true)) {
        second.reset();
      }
      return now + Milliseconds(20);
    });
    CPPUNIT_ASSERT_EQUAL(1, first.reads);
  }

  /// Leases, ages and deadlines advance while the machine is suspended, as other machines run on.
  void SuspendedTimeCounts() {
    const Timestamp before = EventLoop::Now();
    const SuspendedFor suspended(Seconds(30));
    CPPUNIT_ASSERT(EventLoop::Now() - before >= Seconds(30));
  }

  void TimersOfASuspendedMachineAreOverdue() {
    EventLoop loop;
    bool ran = false;
    loop.RunAt(EventLoop::Now() + Seconds(20), [&] { ran = true; });
    const SuspendedFor suspended(Seconds(30));
    loop.Run([&](Timestamp now) {
      loop.Stop();
      return now;
    });
    CPPUNIT_ASSERT(ran);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);

}  // namespace pumicedyke::net
