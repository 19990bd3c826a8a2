#include "sim/sim_network.h"

namespace pumicedyke::sim {

void SimNetwork::CutBoth(const std::string& a, const std::string& b) {
  Cut(a, b);
  Cut(b, a);
}

bool SimNetwork::Chance(double share) {
  return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

Duration SimNetwork::DrawDelay() {
  std::uniform_int_distribution<int64_t> delay(options_.min_delay.count(),
                                               options_.max_delay.count());
  Duration total(delay(random_));
  if (Chance(options_.slow)) {
    std::uniform_int_distribution<int64_t> extra(0, options_.slow_delay.count());
    total += Duration(extra(random_));
  }
  return total;
}

void SimNetwork::DeliverLater(const std::string& from, const std::string& to,
                              std::function<void()> deliver) {
  clock_->After(DrawDelay(), [this, from, to, deliver = std::move(deliver)] {
    // A cut also drops messages in flight.
    if (!IsCut(from, to)) {
      deliver();
    }
  });
}

void SimNetwork::SendOnce(const std::string& from, const std::string& to,
                          std::function<void()> deliver) {
  if (!IsCut(from, to) && !Chance(options_.loss)) {
    DeliverLater(from, to, std::move(deliver));
  }
}

void SimNetwork::Send(const std::string& from, const std::string& to,
                      std::function<void()> deliver) {
  if (Chance(options_.duplicate)) {
    SendOnce(from, to, deliver);
  }
  SendOnce(from, to, std::move(deliver));
}

}  // namespace pumicedyke::sim
