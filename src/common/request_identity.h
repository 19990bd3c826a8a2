// Names a request by what it asks for and for whom, so that the same request is known again
// whichever process takes it and however often it comes. Callers of different processes must not be
// able to make two requests alike: the name is a cryptographic hash.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pumicedyke {

/// 128 bits of a hash; plain data.
struct RequestIdentity {
  uint64_t high = 0;
  uint64_t low = 0;
  auto operator<=>(const RequestIdentity&) const = default;
  /// False: nobody said what the request is.
  bool known() const { return high != 0 || low != 0; }
};

/// @param fields whatever tells one request from another, in an order of the caller's choosing;
/// each counts by its length and bytes. Thread safe.
RequestIdentity IdentityOf(const std::vector<std::string_view>& fields);

/// 32 hexadecimal digits.
std::string ToText(const RequestIdentity& identity);
/// Reads what ToText() wrote. @return nothing if it is no such text.
std::optional<RequestIdentity> RequestIdentityFrom(std::string_view text);

}  // namespace pumicedyke

template <>
struct std::hash<pumicedyke::RequestIdentity> {
  size_t operator()(const pumicedyke::RequestIdentity& identity) const noexcept {
    return identity.low;
  }
};
