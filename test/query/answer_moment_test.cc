// When an answer that lacks parts goes out, without a clock. Loads are named by the tests.
#include "query/answer_moment.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <optional>
#include <random>
#include <vector>

namespace pumicedyke::query {
namespace {

constexpr Duration kAim = Milliseconds(50);
constexpr size_t kShards = 90;
constexpr size_t kEnough = 77;
constexpr uint32_t kSeed = 20260612;
/// What a late answer earns, as a part of one in time.
constexpr double kLate = 0.1;

/// One kind of request at one gateway.
struct Load {
  /// The way to the client and back.
  Duration way{};
  /// Parts come after about this long; those of paused leafs, by a hedge, so much later.
  double part_ms = 0;
  double part_spread_ms = 0;
  double hedge_ms = 0;
  double lag_ms = 0;
};
/// Parts whose leafs are paused, 200 ms each 4.5 s; half of these have no other leaf that is quick.
constexpr double kPaused = 0.044;
constexpr double kPausedForLong = 0.022;

/// Aim 50 ms, 3 ms to the client, 0.12 cores: the last parts come as the answer is due.
constexpr Load kSmallGateway{Milliseconds(6), 22, 4, 16, 3};
/// Aim 50 ms, 1 ms to the client, 0.28 cores.
constexpr Load kLargeGateway{Milliseconds(2), 16, 3, 25, 0.8};
/// The second, while the gateway is ten times as late with everything it does.
constexpr Load kLateGateway{Milliseconds(2), 22, 4, 16, 8};

class Client {
 public:
  Client(const Load& load, uint32_t seed) : load_(load), random_(seed) {}

  /// Times at which parts come, since the request came; in order.
  std::vector<Duration> Parts() {
    std::normal_distribution<double> comes(load_.part_ms, load_.part_spread_ms);
    std::uniform_real_distribution<double> luck(0, 1);
    std::vector<Duration> parts;
    for (size_t i = 0; i < kShards; ++i) {
      const double drawn = luck(random_);
      const double later = drawn < kPausedForLong ? 200 : drawn < kPaused ? load_.hedge_ms : 0;
      parts.push_back(Ms(std::max(5.0, comes(random_)) + later));
    }
    std::sort(parts.begin(), parts.end());
    return parts;
  }
  Duration Lag() {
    std::exponential_distribution<double> rest(2 / load_.lag_ms);
    return Ms(load_.lag_ms / 2 + rest(random_));
  }

 private:
  static Duration Ms(double ms) { return Duration(static_cast<int64_t>(ms * 1000)); }

  Load load_;
  std::mt19937 random_;
};

/// Says when an answer goes out that has so many parts at such a time.
using Due = std::function<Duration(Duration elapsed, size_t covered)>;

struct Outcome {
  double credit = 0;
  Duration answered{};
  std::vector<PartsArrival> arrivals;
};

Outcome Play(const Load& load, const std::vector<Duration>& parts, Duration lag, const Due& due) {
  Outcome outcome;
  Duration moment{};
  for (size_t i = 0; i < parts.size(); ++i) {
    const bool may_go = i >= kEnough;
    if (may_go) {
      moment = std::max(parts[i - 1], due(parts[i - 1], i));
      if (moment < parts[i]) {
        outcome.answered = moment;
        break;
      }
    }
    outcome.arrivals.push_back({parts[i], 1});
    outcome.answered = parts[i];
  }
  const double coverage = static_cast<double>(outcome.arrivals.size()) / kShards;
  const bool in_time = outcome.answered + lag + load.way <= kAim;
  outcome.credit = coverage * coverage * (in_time ? 1 : kLate);
  return outcome;
}

struct Means {
  double learnt = 0;
  double fixed = 0;
};

/// Mean credit of the later half of `requests`, answered by what was learnt and `fixed_margin`
/// before the aim.
Means Compare(const Load& load, Duration fixed_margin, int requests) {
  Client client(load, kSeed);
  ArrivalCurve curve(kAim);
  RecentDurations lags(32);
  lags.Record(Milliseconds(1));
  lags.Record(Milliseconds(8));
  Means sums;
  int counted = 0;
  for (int i = 0; i < requests; ++i) {
    const std::vector<Duration> parts = client.Parts();
    const Duration lag = client.Lag();
    const Outcome learnt = Play(load, parts, lag, [&](Duration elapsed, size_t covered) {
      return BestMoment({elapsed, kAim - load.way, covered, kShards}, curve, lags);
    });
    const Outcome fixed =
        Play(load, parts, lag, [&](Duration, size_t) { return kAim - fixed_margin; });
    curve.Record(learnt.arrivals, kShards, learnt.answered);
    lags.Record(lag);
    if (i >= requests / 2) {
      sums.learnt += learnt.credit;
      sums.fixed += fixed.credit;
      ++counted;
    }
  }
  return {sums.learnt / counted, sums.fixed / counted};
}

RecentDurations LagOf(const Load& load) {
  Client client(load, kSeed);
  RecentDurations lag(1e6);
  for (int i = 0; i < 500; ++i) {
    lag.Record(client.Lag());
  }
  return lag;
}

/// Parts of earlier answers came evenly up to `last`, and none later though they were waited for.
ArrivalCurve NothingAfter(Duration last) {
  ArrivalCurve curve(kAim);
  for (int i = 0; i < 100; ++i) {
    std::vector<PartsArrival> arrivals;
    for (size_t part = 0; part < kShards - 4; ++part) {
      arrivals.push_back({last * static_cast<int64_t>(part + 1) / kShards, 1});
    }
    curve.Record(arrivals, kShards, kAim);
  }
  return curve;
}

}  // namespace

class AnswerMomentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerMomentTest);
  CPPUNIT_TEST(WaitsWhileTheLagIsSmall);
  CPPUNIT_TEST(AnswersAtOnceWhereNothingMoreComes);
  CPPUNIT_TEST(TenfoldLagAnswersEarlier);
  CPPUNIT_TEST(WhatIsLateAnywayGoesOutAtOnce);
  CPPUNIT_TEST(PartsThatWereNotWaitedForMayStillCome);
  CPPUNIT_TEST(EarnsMoreThanFixedMarginsOnASmallGateway);
  CPPUNIT_TEST(EarnsMoreThanFixedMarginsOnALargeGateway);
  CPPUNIT_TEST(EarnsMoreThanFixedMarginsOnALateGateway);
  CPPUNIT_TEST(NeverBeforeNowNorAfterItIsDue);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The fixed margin answered this load after 38.8 ms whatever was missing.
  void WaitsWhileTheLagIsSmall() {
    const Duration due = kAim - kLargeGateway.way;
    const Duration moment = BestMoment({Milliseconds(30), due, kShards - 3, kShards},
                                       ArrivalCurve(kAim), LagOf(kLargeGateway));
    CPPUNIT_ASSERT(moment > Milliseconds(42));
    CPPUNIT_ASSERT(LagOf(kLargeGateway).ShareWithin(due - moment) > 0.9);
  }

  void AnswersAtOnceWhereNothingMoreComes() {
    const Duration now = Milliseconds(30);
    const Duration moment = BestMoment({now, Milliseconds(44), kShards - 3, kShards},
                                       NothingAfter(Milliseconds(25)), LagOf(kSmallGateway));
    CPPUNIT_ASSERT(moment == now);
  }

  void TenfoldLagAnswersEarlier() {
    const AnswerOutlook outlook{Milliseconds(15), kAim - kLargeGateway.way, kShards - 4, kShards};
    const ArrivalCurve curve(kAim);
    const Duration usual = BestMoment(outlook, curve, LagOf(kLargeGateway));
    const Duration late = BestMoment(outlook, curve, LagOf(kLateGateway));
    CPPUNIT_ASSERT(usual >= late + Milliseconds(10));
  }

  void WhatIsLateAnywayGoesOutAtOnce() {
    const Duration now = Milliseconds(60);
    CPPUNIT_ASSERT(BestMoment({now, Milliseconds(44), kEnough, kShards}, ArrivalCurve(kAim),
                              LagOf(kSmallGateway)) == now);
  }

  /// All answers went out after 25 ms: what would have come later is not known.
  void PartsThatWereNotWaitedForMayStillCome() {
    ArrivalCurve curve(kAim);
    for (int i = 0; i < 200; ++i) {
      curve.Record({{Milliseconds(20), kShards - 4}}, kShards, Milliseconds(25));
    }
    const size_t before = curve.MomentOf(Milliseconds(23));
    const size_t after = curve.MomentOf(Milliseconds(30));
    CPPUNIT_ASSERT(curve.Hazard(before) < 0.01);
    CPPUNIT_ASSERT(curve.Hazard(after) > 0.05);
  }

  /// Margins of 10 ms for the way and 3 for the words of mergers.
  void EarnsMoreThanFixedMarginsOnASmallGateway() { CheckGain(kSmallGateway, Milliseconds(13), 0); }
  /// 10 ms and 1.2: parts were thrown away.
  void EarnsMoreThanFixedMarginsOnALargeGateway() {
    CheckGain(kLargeGateway, Microseconds(11200), 0.02);
  }
  /// A third came late.
  void EarnsMoreThanFixedMarginsOnALateGateway() {
    CheckGain(kLateGateway, Microseconds(11200), 0.1);
  }

  void NeverBeforeNowNorAfterItIsDue() {
    const bool holds = rc::check("between now and the moment at which it is due", [] {
      RecentDurations lag(32);
      const auto lags =
          *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40'000)));
      for (const int value : lags) {
        lag.Record(Microseconds(value));
      }
      ArrivalCurve curve(kAim);
      const auto answers = *rc::gen::inRange(0, 20);
      for (int i = 0; i < answers; ++i) {
        const Duration first = Microseconds(*rc::gen::inRange(0, 50'000));
        const Duration last = first + Microseconds(*rc::gen::inRange(0, 20'000));
        const auto parts = static_cast<size_t>(*rc::gen::inRange(0, static_cast<int>(kShards)));
        curve.Record({{first, parts}}, kShards, last);
      }
      const Duration now = Microseconds(*rc::gen::inRange(0, 80'000));
      const Duration due = Microseconds(*rc::gen::inRange(-10'000, 60'000));
      const auto covered = static_cast<size_t>(*rc::gen::inRange(1, static_cast<int>(kShards)));
      const Duration moment = BestMoment({now, due, covered, kShards}, curve, lag);
      RC_ASSERT(moment >= now);
      RC_ASSERT(moment <= std::max(now, due));
    });
    CPPUNIT_ASSERT(holds);
  }

 private:
  static void CheckGain(const Load& load, Duration fixed_margin, double least_gain) {
    constexpr int kRequests = 600;
    const Means means = Compare(load, fixed_margin, kRequests);
    std::cout << "- seed " << kSeed << ": learnt " << means.learnt << ", fixed " << means.fixed
              << "\n";
    CPPUNIT_ASSERT(means.learnt >= means.fixed + least_gain);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerMomentTest);

}  // namespace pumicedyke::query
