// Random documents with and without tenants, and random requests between them. Requests run under
// the tenant that the newest document gives, and no leaf receives a key.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "gateway/gateway_harness.h"

namespace pumicedyke::gateway {
namespace {

const std::vector<std::string> kKeys = {"hush-1", "hush-2", "hush-3", "hush-4", "hush-5"};

/// The keys of one document.
struct KeyConfig {
  bool keyed = false;
  bool open = false;
  /// Tenant of each key, in the order of kKeys; empty: none.
  std::vector<std::string> owners;

  std::vector<tenants::Tenant> Tenants() const {
    std::map<std::string, tenants::Tenant> by_name;
    for (size_t i = 0; i < kKeys.size(); ++i) {
      if (!owners[i].empty()) {
        by_name[owners[i]].name = owners[i];
        by_name[owners[i]].api_keys.push_back(kKeys[i]);
      }
    }
    std::vector<tenants::Tenant> list;
    list.reserve(by_name.size());
    for (const auto& [name, tenant] : by_name) {
      list.push_back(tenant);
    }
    return list;
  }
  std::string OwnerOf(const std::string& key) const {
    const auto it = std::find(kKeys.begin(), kKeys.end(), key);
    return it == kKeys.end() ? "" : owners[static_cast<size_t>(it - kKeys.begin())];
  }
};

KeyConfig ArbitraryKeyConfig() {
  KeyConfig key_config;
  key_config.keyed = *rc::gen::weightedElement<bool>({{4, true}, {1, false}});
  key_config.open = *rc::gen::weightedElement<bool>({{1, true}, {3, false}});
  key_config.owners = *rc::gen::container<std::vector<std::string>>(
      kKeys.size(), rc::gen::element<std::string>("", "acme", "other", "third"));
  return key_config;
}

std::string HeadOf(const LeafSend& send) {
  return send.head != nullptr ? *send.head : send.request->encoded_head;
}

void CheckRequest(GatewayHarness* h, const KeyConfig& key_config, const std::string& path) {
  const std::string key = *rc::gen::oneOf(
      rc::gen::elementOf(kKeys), rc::gen::element<std::string>("", "false", "hush-11", "acme"));
  h->sends.clear();
  h->answers.clear();
  h->AskWithKey(path, key);
  const std::string owner = key_config.OwnerOf(key);
  const bool needs_key = key_config.keyed && !key_config.open;
  if (needs_key && owner.empty()) {
    RC_ASSERT(h->sends.empty());
    RC_ASSERT(h->answers.size() == 1U);
    RC_ASSERT(h->answers[0].code == ResultCode::kUnknownKey);
    return;
  }
  RC_ASSERT(!h->sends.empty());
  // Some sub-requests fail and are retried.
  for (size_t i = 0; i < h->sends.size(); ++i) {
    const LeafSend send = h->sends[i];
    const bool fails = *rc::gen::weightedElement<bool>({{1, true}, {3, false}});
    h->Reply(send, fails ? query::LeafStatus::kFailed : query::LeafStatus::kOk, "0123456789abcdef");
  }
  for (const LeafSend& send : h->sends) {
    RC_ASSERT(send.tenant == (needs_key ? owner : ""));
    const bool passes_on = HeadOf(send).find("Claim: somebody else") != std::string::npos;
    RC_ASSERT(passes_on == !key_config.keyed);
    RC_ASSERT(!key_config.keyed || HeadOf(send).find("hush") == std::string::npos);
  }
  h->Pass(Seconds(3));
  RC_ASSERT(h->answers.size() == 1U);
}

}  // namespace

class GatewayTenantsPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayTenantsPropertyTest);
  CPPUNIT_TEST(RequestsRunUnderTheTenantOfTheirKeyAlone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsRunUnderTheTenantOfTheirKeyAlone() {
    const bool holds = rc::check("a request runs under its key's tenant or not at all", [] {
      GatewayHarness h;
      const std::string document =
          Json::array({{"one", "/one/", true, "s0"}, {"two", "/two/", true, "s0", "s1"}}).dump();
      h.Report({GatewayHarness::Leaf("a", "s0"), GatewayHarness::Leaf("b", "s0"),
                GatewayHarness::Leaf("c", "s1"), GatewayHarness::Leaf("d", "s1")});
      const auto documents = *rc::gen::inRange<uint64_t>(1, 5);
      for (uint64_t version = 1; version <= documents; ++version) {
        const KeyConfig key_config = ArbitraryKeyConfig();
        h.SetTenants(key_config.keyed ? std::optional(key_config.Tenants()) : std::nullopt);
        h.SetOpen(key_config.open ? std::set<std::string>{"one", "two"} : std::set<std::string>{});
        h.Put(version, document);
        const auto requests = *rc::gen::inRange(1, 6);
        for (int i = 0; i < requests; ++i) {
          h.Prove();
          CheckRequest(&h, key_config, *rc::gen::element<std::string>("/one/1", "/two/1"));
        }
      }
    });
    CPPUNIT_ASSERT(holds);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTenantsPropertyTest);

}  // namespace pumicedyke::gateway
