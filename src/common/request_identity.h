// Identifies a request by its content and caller, so that every process recognizes a repeated
// request. The identity is a cryptographic hash, so that callers cannot construct two requests with
// the same identity.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pumicedyke {

/// The 128 bits of the hash; plain data.
struct RequestIdentity {
  uint64_t high = 0;
  uint64_t low = 0;
  auto operator<=>(const RequestIdentity&) const = default;
  /// False: the identity is not set.
  bool known() const { return high != 0 || low != 0; }
};

/// Computes an identity. @param fields everything that distinguishes requests, in an order that the
/// caller chooses; the length and the bytes of each field are hashed. Thread safe.
RequestIdentity IdentityOf(const std::vector<std::string_view>& fields);

/// Formats an identity as 32 hexadecimal digits.
std::string ToText(const RequestIdentity& identity);
/// Parses the format of ToText(). @return nullopt if `text` does not have it.
std::optional<RequestIdentity> RequestIdentityFrom(std::string_view text);

}  // namespace pumicedyke

template <>
struct std::hash<pumicedyke::RequestIdentity> {
  size_t operator()(const pumicedyke::RequestIdentity& identity) const noexcept {
    return identity.low;
  }
};
