// Which gateways keep which accounts: rendezvous hashing, so that all that know the same gateways
// name the same keepers without a word to each other, and one that comes or goes moves only its
// own accounts. Kept up to date change by change: an account costs one hash per gateway that comes.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "limits/account_terms.h"
#include "limits/limit_gateway.h"

namespace pumicedyke::limits {

/// Null: there is none.
struct Keepers {
  const LimitGateway* first = nullptr;
  /// Keeps the reserve.
  const LimitGateway* second = nullptr;
};

/// Lives on one thread.
class KeeperPlacement {
 public:
  KeeperPlacement() = default;
  KeeperPlacement(const KeeperPlacement&) = delete;
  KeeperPlacement& operator=(const KeeperPlacement&) = delete;

  void SetAccounts(const std::vector<AccountId>& accounts);
  void SetGateways(const std::vector<LimitGateway>& gateways);

  /// @return nobody for an account that is not known. Valid until the next SetGateways().
  Keepers Find(const AccountId& account) const;
  /// The accounts that a gateway keeps or whose reserve it keeps.
  std::vector<AccountId> KeptBy(const std::string& node) const;
  size_t gateways() const { return gateways_.size(); }

 private:
  struct Gateway {
    LimitGateway record;
    uint64_t hash = 0;
  };
  struct Place {
    uint64_t hash = 0;
    const Gateway* first = nullptr;
    const Gateway* second = nullptr;
  };

  void Fill(Place* place) const;
  static void Offer(Place* place, const Gateway& gateway);

  std::map<std::string, std::unique_ptr<Gateway>> gateways_;
  std::map<AccountId, Place> places_;
};

}  // namespace pumicedyke::limits
