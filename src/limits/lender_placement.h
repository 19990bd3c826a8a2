// Assigns accounts to gateways by rendezvous hashing. All gateways with the same view choose the
// same lenders without communication, and adding or removing a gateway moves only its own accounts.
// The assignment is updated incrementally: a new gateway costs one hash per account.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "limits/account_terms.h"
#include "limits/limit_gateway.h"

namespace pumicedyke::limits {

/// The lenders of an account; null if there is none.
struct Lenders {
  /// The primary lender.
  const LimitGateway* primary = nullptr;
  /// The reserve lender; lends from the account's reserve.
  const LimitGateway* reserve = nullptr;
};

/// Not thread-safe.
class LenderPlacement {
 public:
  LenderPlacement() = default;
  LenderPlacement(const LenderPlacement&) = delete;
  LenderPlacement& operator=(const LenderPlacement&) = delete;

  void SetAccounts(const std::vector<AccountId>& accounts);
  void SetGateways(const std::vector<LimitGateway>& gateways);

  /// Returns the lenders of an account, none for an unknown one. Valid until the next
  /// SetGateways().
  Lenders Find(const AccountId& account) const;
  /// Returns the accounts of which the gateway is the primary or the reserve lender.
  std::vector<AccountId> AccountsLentBy(const std::string& node) const;
  size_t gateways() const { return gateways_.size(); }

 private:
  struct Gateway {
    LimitGateway record;
    uint64_t hash = 0;
  };
  struct AccountPlace {
    uint64_t hash = 0;
    const Gateway* primary = nullptr;
    const Gateway* reserve = nullptr;
  };

  void ChooseLenders(AccountPlace* place) const;
  static void ConsiderGateway(AccountPlace* place, const Gateway& gateway);

  std::map<std::string, std::unique_ptr<Gateway>> gateways_;
  std::map<AccountId, AccountPlace> places_;
};

}  // namespace pumicedyke::limits
