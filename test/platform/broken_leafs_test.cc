// Tests on real processes that no broken answer of a leaf reaches a client, alone or gathered, and
// that unusual answers which are sound do.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "http/raw_answers.h"
#include "platform/platform_fleet.h"
#include "platform/raw_leaf.h"
#include "platform/shard_document.h"

namespace pumicedyke::platform {
namespace {

constexpr int kServed = 200;
constexpr int kMayHaveRun = 504;
/// Far longer than a client waits, so that a request which is held until its deadline gets nothing.
constexpr Duration kRouteTimeout = Seconds(60);
constexpr char kDeadlineMilliseconds[] = "60000";
constexpr Duration kClientWaits = Seconds(20);

/// The manner of answering, by its index in what leafs know.
struct Manner {
  std::string name;
  size_t index = 0;
};

/// Broken heads, then broken bodies, then sound answers.
std::vector<http::RawAnswer> AnswersOf(const std::string& service) {
  const http::AnswerParts parts = RawLeaf::PartsOf(service);
  std::vector<http::RawAnswer> answers = http::BrokenHeads(parts);
  for (const auto& more : {http::BrokenBodies(parts), http::SoundAnswers(parts)}) {
    answers.insert(answers.end(), more.begin(), more.end());
  }
  return answers;
}

size_t BrokenHeadCount() { return http::BrokenHeads({}).size(); }
size_t BrokenCount() { return BrokenHeadCount() + http::BrokenBodies({}).size(); }

/// The manners with indices from `first` to below `end`.
std::vector<Manner> MannersIn(size_t first, size_t end) {
  const std::vector<http::RawAnswer> answers = AnswersOf(kPlainService);
  std::vector<Manner> manners;
  for (size_t i = first; i < end; ++i) {
    manners.push_back({answers.at(i).name, i});
  }
  return manners;
}

/// @param to_head whether the answers have no body.
std::vector<Manner> BrokenManners(bool to_head) {
  return MannersIn(0, to_head ? BrokenHeadCount() : BrokenCount());
}

std::vector<Manner> SoundManners() {
  return MannersIn(BrokenCount(), AnswersOf(kPlainService).size());
}

std::string Header(const http::ClientResponse& response, const std::string& name) {
  const std::string* value = http::FindHeader(response.headers, name);
  return value == nullptr ? "" : *value;
}

std::string Describe(const std::string& request, const http::ClientResponse& response) {
  std::string text = request + ": " + std::to_string(response.status) + " '" + response.body +
                     "' " + response.error;
  for (const http::Header& header : response.headers) {
    text += "\n" + header.name + ": " + header.value;
  }
  return text;
}

struct Exchange {
  std::string id;
  http::ClientResponse response;
};

/// Gateways and leafs of all services.
class RawFleet {
 public:
  RawFleet() {
    CPPUNIT_ASSERT_EQUAL(kServed, fleet_.Put(ShardDocument({.timeout = kRouteTimeout})));
    fleet_.StartSecondGateway();
    AddLeaf(kPlainService);
    for (size_t i = 0; i < kSharedShards; ++i) {
      AddLeaf(ShardName(i));
    }
    fleet_.WaitUntilServed("/safe/1");
    fleet_.WaitForAllShards("/few/1");
    fleet_.WaitForAllShards("/all/1");
  }

  /// Sends requests until the leaf of `service` has answered one in the given manner.
  Exchange SendUntilAnswered(const std::string& method, const std::string& route,
                             const std::string& service, const Manner& manner) {
    Exchange exchange;
    const std::string path = "/" + route + RawLeaf::PathOf(service, manner.index);
    e2e::WaitFor("an answer in the manner of " + manner.name, [&] {
      exchange = Send(method, path);
      return leafs_.at(service)->HasAnswered(exchange.id);
    });
    // A leaf that fails several times on end gets no requests for a while.
    Send(method, "/" + route + "/ordinary");
    return exchange;
  }
  /// Number of requests on connections that had brought an asked answer.
  int RequestsAfter() const {
    int sum = 0;
    for (const auto& [service, leaf] : leafs_) {
      sum += leaf->requests_after();
    }
    return sum;
  }
  double ConnectionsOfSecondGateway() const {
    return e2e::Metric(fleet_.second_metrics_address(), "pumicedyke_gateway_leaf_connections_total")
        .value_or(0);
  }

 private:
  Exchange Send(const std::string& method, const std::string& path) {
    const std::string id = absl::StrFormat("raw-%06d", ++sent_);
    http::ClientRequest request;
    request.address = fleet_.gateway_address();
    request.method = method;
    request.path = path;
    request.body = method == "POST" ? "one stack" : "";
    request.timeout = kClientWaits;
    request.headers = {
        {"Host", "desk.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", kDeadlineMilliseconds}};
    return {id, http::FetchBlocking(request)};
  }
  void AddLeaf(const std::string& service) {
    leafs_[service] = std::make_unique<RawLeaf>(service, AnswersOf(service));
    e2e::WaitFor("a heartbeat to be acknowledged", [&] {
      return leafs_[service]->SendHeartbeat(fleet_.ServiceAddress(0)) == kServed;
    });
  }

  PlatformFleet fleet_;
  std::map<std::string, std::unique_ptr<RawLeaf>> leafs_;
  int sent_ = 0;
};

std::set<std::string> StampsOf(const http::ClientResponse& response) {
  const std::vector<std::string> stamps =
      absl::StrSplit(Header(response, "X-Part-Stamps"), absl::ByString(", "), absl::SkipEmpty());
  return {stamps.begin(), stamps.end()};
}

std::string RouteOf(const std::string& method) { return method == "POST" ? "once" : "safe"; }

}  // namespace

class BrokenLeafsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrokenLeafsTest);
  CPPUNIT_TEST(BrokenAnswersReachNoClient);
  CPPUNIT_TEST(BrokenPartsAreNotGathered);
  CPPUNIT_TEST(BrokenPartsAreNotPassedOnBetweenGateways);
  CPPUNIT_TEST(SoundAnswersReachClients);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a leaf's broken answer that a client gets as an answer, and against one that is
  /// held until the request's deadline.
  void BrokenAnswersReachNoClient() {
    RawFleet fleet;
    for (const std::string method : {"GET", "HEAD", "POST"}) {
      for (const Manner& manner : BrokenManners(method == "HEAD")) {
        const auto [id, response] =
            fleet.SendUntilAnswered(method, RouteOf(method), kPlainService, manner);
        const std::string what = Describe(method + " " + manner.name, response);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, kMayHaveRun, response.status);
        CPPUNIT_ASSERT_MESSAGE(what, Header(response, "X-Server-Stamp").empty());
      }
    }
    CPPUNIT_ASSERT_EQUAL(0, fleet.RequestsAfter());
  }

  /// Guards against a broken part in an answer that one gateway gathers alone.
  void BrokenPartsAreNotGathered() {
    RawFleet fleet;
    CheckGathers(&fleet, "few", kFewShards);
  }

  /// Guards against a broken part in what another gateway gathers and passes on.
  void BrokenPartsAreNotPassedOnBetweenGateways() {
    RawFleet fleet;
    const double before = fleet.ConnectionsOfSecondGateway();
    CheckGathers(&fleet, "all", kSharedShards);
    CPPUNIT_ASSERT(fleet.ConnectionsOfSecondGateway() > before);
  }

  void SoundAnswersReachClients() {
    RawFleet fleet;
    for (const std::string method : {"GET", "HEAD", "POST"}) {
      for (const Manner& manner : SoundManners()) {
        const auto [id, response] =
            fleet.SendUntilAnswered(method, RouteOf(method), kPlainService, manner);
        const std::string what = Describe(method + " " + manner.name, response);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, kServed, response.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, RawLeaf::SignatureOf(kPlainService, id),
                                     Header(response, "X-Server-Stamp"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, method == "HEAD" ? "" : RawLeaf::RecordOf(kPlainService),
                                     response.body);
      }
    }
    for (const Manner& manner : SoundManners()) {
      const auto [id, response] = fleet.SendUntilAnswered("GET", "all", ShardName(0), manner);
      const std::string what = Describe(manner.name, response);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, kServed, response.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, kSharedShards, StampsOf(response).size());
    }
  }

 private:
  /// Breaks the answers of the shards in turn. All other parts must arrive.
  static void CheckGathers(RawFleet* fleet, const std::string& route, size_t shards) {
    for (const Manner& manner : BrokenManners(/*to_head=*/false)) {
      const std::string broken = ShardName(manner.index % shards);
      const auto [id, response] = fleet->SendUntilAnswered("GET", route, broken, manner);
      const std::string what = Describe(manner.name, response);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, kServed, response.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string("1"), Header(response, "X-Missing-Parts"));
      const std::set<std::string> stamps = StampsOf(response);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, shards - 1, stamps.size());
      CPPUNIT_ASSERT_MESSAGE(what, !stamps.contains(RawLeaf::SignatureOf(broken, id)));
      CPPUNIT_ASSERT_MESSAGE(what,
                             response.body.find(RawLeaf::RecordOf(broken)) == std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(0, fleet->RequestsAfter());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BrokenLeafsTest);

}  // namespace pumicedyke::platform
