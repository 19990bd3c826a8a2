// GatewayServer's links to control machines: which ones it knows, which one it follows, and when it
// forgets one.
#include <algorithm>
#include <utility>

#include "gateway/gateway_server.h"

namespace pumicedyke::gateway {

void GatewayServer::AddControl(const std::string& address) {
  if (links_.try_emplace(address).second) {
    control_.push_back(address);
    subscriber_.SetControlMachines(control_.size());
  }
}

void GatewayServer::SetLink(const std::string& address, bool up) {
  ControlLink& link = links_[address];
  if (link.up != up) {
    link.up = up;
    link.current_since.reset();
    output_.link_changes.push_back({address, up});
  }
}

void GatewayServer::SetControlSeeds(const std::vector<std::string>& addresses) {
  control_seeds_ = {addresses.begin(), addresses.end()};
  AddControlMachines(addresses);
}

void GatewayServer::AddControlMachines(const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    AddControl(address);
  }
}

void GatewayServer::MaintainControlLinks(Timestamp now) {
  for (auto& [address, link] : links_) {
    if (link.last_reset == Timestamp{}) {
      link.last_reset = now;
    }
    const Timestamp last = std::max(link.last_contact, link.last_reset);
    if (now - last >= options_.knobs.control_timeout) {
      link.last_reset = now;
      view_.OnSourceLost(now, address);
      peers_.OnSourceLost(address);
      SetLink(address, /*up=*/false);
      output_.reconnect.push_back(address);
    }
    if (now >= link.next_presence) {
      link.next_presence = now + PresenceInterval(now, address);
      output_.control.push_back({address, Presence(address)});
    }
  }
  ForgetRemovedControls();
  std::optional<wire::Envelope> hello = subscriber_.Tick(now);
  SwitchToLiveControl(now);
  if (hello.has_value()) {
    AskAnotherControl(now, *hello);
    output_.control.push_back({followed_control(), *std::move(hello)});
  }
}

void GatewayServer::SwitchToLiveControl(Timestamp now) {
  const auto is_up = [this](const std::string& address) { return links_.at(address).up; };
  if (!std::any_of(control_.begin(), control_.end(), is_up)) {
    return;
  }
  while (!is_up(followed_control())) {
    subscriber_.OnDisconnected(now);
  }
}

void GatewayServer::AskAnotherControl(Timestamp now, const wire::Envelope& hello) {
  if (!subscriber_.ready() || !subscriber_.Silent(now)) {
    return;
  }
  const auto last = std::find(control_.begin(), control_.end(), asked_control_);
  const size_t after =
      last == control_.end() ? subscriber_.control() : static_cast<size_t>(last - control_.begin());
  std::string any;
  for (size_t i = 1; i <= control_.size(); ++i) {
    const std::string& address = control_[(after + i) % control_.size()];
    if (address == followed_control()) {
      continue;
    }
    if (links_.at(address).up) {
      asked_control_ = address;
      output_.control.push_back({address, hello});
      return;
    }
    any = any.empty() ? address : any;
  }
  if (!any.empty()) {
    // None is known to be reachable, so any may be.
    asked_control_ = any;
    output_.control.push_back({any, hello});
  }
}

void GatewayServer::FollowAnswering(Timestamp now, const std::string& address) {
  if (address == followed_control() || !subscriber_.ready() || !subscriber_.Silent(now)) {
    return;
  }
  const auto it = std::find(control_.begin(), control_.end(), address);
  subscriber_.SwitchTo(now, static_cast<size_t>(it - control_.begin()));
}

bool GatewayServer::IsRemoved(const std::string& address) const {
  if (control_seeds_.contains(address) || links_.at(address).up || address == followed_control()) {
    return false;
  }
  bool membership_known = false;
  for (const auto& [other, link] : links_) {
    if (!link.up || link.members.empty()) {
      continue;
    }
    membership_known |= link.current_since.has_value();
    if (std::find(link.members.begin(), link.members.end(), address) != link.members.end()) {
      return false;
    }
  }
  return membership_known;
}

void GatewayServer::ForgetRemovedControls() {
  for (size_t i = control_.size(); i-- > 0;) {
    const std::string address = control_[i];
    if (!IsRemoved(address)) {
      continue;
    }
    if (near_control_ == address) {
      near_control_.clear();
    }
    control_.erase(control_.begin() + static_cast<ptrdiff_t>(i));
    links_.erase(address);
    subscriber_.OnControlForgotten(i);
    output_.reconnect.push_back(address);
    output_.forgotten_controls.push_back(address);
  }
}

void GatewayServer::NoteNearControlLeft(Timestamp now) {
  if (!near_control_.empty() && followed_control() != near_control_) {
    links_.at(near_control_).avoided_until = now + options_.knobs.control_avoid_time;
    near_control_.clear();
  }
}

void GatewayServer::SwitchToNearControl(Timestamp now) {
  NoteNearControlLeft(now);
  // During the start the first answer is used, whatever its zone.
  if (table_ == nullptr || links_.at(followed_control()).near) {
    return;
  }
  for (size_t i = 0; i < control_.size(); ++i) {
    const ControlLink& link = links_.at(control_[i]);
    const bool settled = link.current_since.has_value() &&
                         now - *link.current_since >= options_.knobs.control_settle_time;
    if (link.near && link.up && settled && now >= link.avoided_until) {
      near_control_ = control_[i];
      subscriber_.SwitchTo(now, i);
      return;
    }
  }
}

void GatewayServer::OnControlDisconnected(Timestamp now, const std::string& address) {
  if (!links_.contains(address)) {
    return;
  }
  view_.OnSourceLost(now, address);
  peers_.OnSourceLost(address);
  SetLink(address, /*up=*/false);
  links_[address].next_presence = now;
  if (followed_control() == address) {
    subscriber_.OnDisconnected(now);
    SwitchToLiveControl(now);
  }
}

}  // namespace pumicedyke::gateway
