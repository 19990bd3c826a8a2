#include "common/request_identity.h"

#include <sodium.h>

#include <array>
#include <cstring>

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"

namespace pumicedyke {
namespace {

constexpr size_t kDigestBytes = 16;
constexpr size_t kDigitsPerHalf = 16;

/// Lets the library select the fastest implementation for the processor. The hash does not depend
/// on it.
bool InitializeOnce() {
  static const bool initialized = ::sodium_init() >= 0;
  return initialized;
}

void Add(std::string_view bytes, crypto_generichash_state* state) {
  ::crypto_generichash_update(state, reinterpret_cast<const unsigned char*>(bytes.data()),
                              bytes.size());
}

}  // namespace

RequestIdentity IdentityOf(const std::vector<std::string_view>& fields) {
  InitializeOnce();
  crypto_generichash_state state;
  ::crypto_generichash_init(&state, nullptr, 0, kDigestBytes);
  for (const std::string_view field : fields) {
    const uint64_t length = field.size();
    Add({reinterpret_cast<const char*>(&length), sizeof(length)}, &state);
    Add(field, &state);
  }
  std::array<unsigned char, kDigestBytes> digest{};
  ::crypto_generichash_final(&state, digest.data(), digest.size());
  RequestIdentity identity;
  std::memcpy(&identity.high, digest.data(), sizeof(identity.high));
  std::memcpy(&identity.low, digest.data() + sizeof(identity.high), sizeof(identity.low));
  return identity;
}

std::string ToText(const RequestIdentity& identity) {
  return absl::StrFormat("%016x%016x", identity.high, identity.low);
}

std::optional<RequestIdentity> RequestIdentityFrom(std::string_view text) {
  RequestIdentity identity;
  const absl::string_view digits(text.data(), text.size());
  const bool readable = digits.size() == 2 * kDigitsPerHalf &&
                        absl::SimpleHexAtoi(digits.substr(0, kDigitsPerHalf), &identity.high) &&
                        absl::SimpleHexAtoi(digits.substr(kDigitsPerHalf), &identity.low);
  return readable ? std::optional(identity) : std::nullopt;
}

}  // namespace pumicedyke
