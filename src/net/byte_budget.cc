#include "net/byte_budget.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::net {

ByteBudget::Holder::Holder(ByteBudget* budget, std::function<void()> on_revoked)
    : budget_(budget), on_revoked_(std::move(on_revoked)) {}

ByteBudget::Holder::~Holder() { budget_->Set(this, 0); }

void ByteBudget::Holder::Hold(size_t bytes) {
  revoked_ = revoked_ && bytes > 0;
  if (revoked_ || bytes == held_) {
    return;
  }
  budget_->Set(this, bytes);
  while (budget_->held() > budget_->limit_ && !budget_->holders_.empty()) {
    budget_->RevokeLargest();
  }
}

void ByteBudget::Unreserve(size_t bytes) {
  reserved_ -= bytes;
  if (on_freed_) {
    on_freed_();
  }
}

void ByteBudget::Set(Holder* holder, size_t bytes) {
  const bool frees = bytes < holder->held_;
  held_ = held_ - holder->held_ + bytes;
  holder->held_ = bytes;
  if (bytes > 0) {
    holders_.insert(holder);
  } else {
    holders_.erase(holder);
  }
  if (frees && on_freed_) {
    on_freed_();
  }
}

void ByteBudget::RevokeLargest() {
  Holder* largest =
      *std::max_element(holders_.begin(), holders_.end(),
                        [](const Holder* a, const Holder* b) { return a->held_ < b->held_; });
  last_revoked_bytes_ = largest->held_;
  Set(largest, 0);
  largest->revoked_ = true;
  ++revocations_;
  largest->on_revoked_();
}

}  // namespace pumicedyke::net
