// Tests on real processes that an answer which a leaf breaks off never looks whole to a client.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "platform/cutting_leaf.h"
#include "platform/platform_fleet.h"
#include "platform/shard_document.h"

namespace pumicedyke::platform {
namespace {

constexpr int kServed = 200;
constexpr int kFirstRedirect = 300;
/// Statuses that promise that the request has not run.
const std::set<int> kPromises = {408, 421, 429, 503};
/// More than the operating system takes of a request that the leaf does not read.
constexpr size_t kLongBodyBytes = 8 << 20;
constexpr size_t kMaxBodyBytes = 9 << 20;

/// An id of the same length as all others.
std::string NewId() {
  static int count = 0;
  return absl::StrFormat("cut-%06d", ++count);
}

size_t HeadBytes(const std::string& answer) { return answer.find("\r\n\r\n") + 4; }

/// Whether what the leaf sends is a whole answer. One without a length is whole wherever its body
/// ends, unless the connection is reset.
bool IsWhole(const Cut& cut, const std::string& answer, bool to_head) {
  const bool by_end = cut.framing == AnswerFraming::kConnection && !to_head;
  return by_end ? cut.end == CutEnd::kClose && cut.bytes >= HeadBytes(answer)
                : cut.bytes >= answer.size();
}

/// The body that a client may take for the leaf's.
std::string BodySent(const Cut& cut, const std::string& answer) {
  return cut.framing == AnswerFraming::kConnection
             ? answer.substr(HeadBytes(answer), cut.bytes - HeadBytes(answer))
             : RecordOf(cut.service);
}

/// Places at which answers are cut: within the status line; within the name and the value of each
/// header, and after it; within the empty line; after the head; everywhere in the body.
std::vector<size_t> PlacesIn(const std::string& answer) {
  const size_t head = HeadBytes(answer);
  std::vector<size_t> places = {0, 4, 12};
  for (size_t line = answer.find("\r\n") + 2; line + 2 < head;) {
    const size_t colon = answer.find(':', line);
    const size_t end = answer.find("\r\n", line);
    places.insert(places.end(), {line, colon - 2, colon, end - 2, end + 1});
    line = end + 2;
  }
  for (size_t place = head - 2; place <= answer.size(); ++place) {
    places.push_back(place);
  }
  return places;
}

/// All cuts at the leaf of a service that is chosen by their number.
std::vector<Cut> AllCuts(const std::function<std::string(size_t number)>& service, bool to_head) {
  std::vector<Cut> cuts;
  for (const AnswerFraming framing :
       {AnswerFraming::kLength, AnswerFraming::kChunks, AnswerFraming::kConnection}) {
    for (const CutEnd end : {CutEnd::kClose, CutEnd::kReset}) {
      const std::string id = NewId();
      const size_t count = PlacesIn(AnswerOf(service(0), id, framing, to_head)).size();
      for (size_t i = 0; i < count; ++i) {
        const std::string at = service(cuts.size());
        cuts.push_back({at, framing, PlacesIn(AnswerOf(at, id, framing, to_head))[i], end});
      }
    }
  }
  return cuts;
}

std::string Header(const http::ClientResponse& response, const std::string& name) {
  const std::string* value = http::FindHeader(response.headers, name);
  return value == nullptr ? "" : *value;
}

bool IsSuccess(const http::ClientResponse& response) {
  return response.status >= kServed && response.status < kFirstRedirect;
}

std::string Describe(const std::string& path, const http::ClientResponse& response) {
  return path + " got " + std::to_string(response.status) + " '" + response.body + "' " +
         Header(response, "X-Part-Stamps") + " " + response.error;
}

/// Gateways and leafs of all services.
class CutFleet {
 public:
  CutFleet() {
    CPPUNIT_ASSERT_EQUAL(kServed, fleet_.Put(ShardDocument({.max_body_bytes = kMaxBodyBytes})));
    fleet_.StartSecondGateway();
    AddLeaf(kPlainService);
    for (size_t i = 0; i < kSharedShards; ++i) {
      AddLeaf(ShardName(i));
    }
    fleet_.WaitUntilServed("/safe/1");
    fleet_.WaitForAllShards("/few/1");
    fleet_.WaitForAllShards("/all/1");
  }

  http::ClientResponse Send(const std::string& method, const std::string& path,
                            const std::string& id, const std::string& body = "") const {
    http::ClientRequest request;
    request.address = fleet_.gateway_address();
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = {{"Host", "desk.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "2000"}};
    return http::FetchBlocking(request);
  }
  /// Sends requests until the leaf has cut the answer to one. @return what its client got, and its
  /// id.
  std::pair<http::ClientResponse, std::string> SendUntilCut(const std::string& method,
                                                            const std::string& route,
                                                            const Cut& cut,
                                                            const std::string& body = "") {
    std::pair<http::ClientResponse, std::string> result;
    e2e::WaitFor("a cut of " + route + cut.Path(), [&] {
      result.second = NewId();
      result.first =
          Send(method, "/" + route + cut.Path() + "/" + result.second, result.second, body);
      return leafs_.at(cut.service)->HasCut(result.second);
    });
    // A leaf that fails several times on end gets no requests for a while.
    Send(method, "/" + route + "/whole", NewId(), body);
    return result;
  }
  double ConnectionsOfSecondGateway() const {
    return e2e::Metric(fleet_.second_metrics_address(), "pumicedyke_gateway_leaf_connections_total")
        .value_or(0);
  }

 private:
  void AddLeaf(const std::string& service) {
    leafs_[service] = std::make_unique<CuttingLeaf>(service);
    e2e::WaitFor("a heartbeat to be acknowledged", [&] {
      return leafs_[service]->SendHeartbeat(fleet_.ServiceAddress(0)) == kServed;
    });
  }

  PlatformFleet fleet_;
  std::map<std::string, std::unique_ptr<CuttingLeaf>> leafs_;
};

/// Checks what a client got from a plain route.
void CheckPlain(const Cut& cut, const std::string& method, const std::string& id,
                const http::ClientResponse& response) {
  const bool to_head = method == "HEAD";
  const std::string what = Describe(method + " " + cut.Path(), response);
  const std::string answer = AnswerOf(cut.service, id, cut.framing, to_head);
  if (!IsSuccess(response)) {
    CPPUNIT_ASSERT_MESSAGE(what, Header(response, "X-Server-Stamp").empty());
    CPPUNIT_ASSERT_MESSAGE(what, method != "POST" || !kPromises.contains(response.status));
    return;
  }
  CPPUNIT_ASSERT_MESSAGE(what, IsWhole(cut, answer, to_head));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, SignatureOf(cut.service, id),
                               Header(response, "X-Server-Stamp"));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, to_head ? "" : BodySent(cut, answer), response.body);
}

/// Checks what a client got from a route that gathers `shards` parts.
void CheckGathered(const Cut& cut, size_t shards, const std::string& id,
                   const http::ClientResponse& response) {
  if (!IsSuccess(response)) {
    return;
  }
  const std::string what = Describe(cut.Path(), response);
  const std::string answer = AnswerOf(cut.service, id, cut.framing, /*to_head=*/false);
  const std::vector<std::string> stamps =
      absl::StrSplit(Header(response, "X-Part-Stamps"), absl::ByString(", "), absl::SkipEmpty());
  const std::set<std::string> named(stamps.begin(), stamps.end());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, stamps.size(), named.size());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::to_string(shards - stamps.size()),
                               Header(response, "X-Missing-Parts"));
  CPPUNIT_ASSERT_MESSAGE(
      what, !named.contains(SignatureOf(cut.service, id)) || IsWhole(cut, answer, false));
  std::vector<std::string> records;
  size_t known = 0;
  for (size_t i = 0; i < shards; ++i) {
    const std::string shard = ShardName(i);
    const bool is_in = named.contains(SignatureOf(shard, id));
    known += is_in ? 1 : 0;
    // The rest of a record is none.
    const bool short_body = shard == cut.service && cut.bytes < answer.size();
    if (is_in && !short_body) {
      records.push_back(RecordOf(shard));
    }
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, named.size(), known);
  std::sort(records.rbegin(), records.rend());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, absl::StrJoin(records, ""), response.body);
}

}  // namespace

class CutAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutAnswersTest);
  CPPUNIT_TEST(CutAnswersOfALeafGiveNoSuccess);
  CPPUNIT_TEST(CutPartsAreNotGathered);
  CPPUNIT_TEST(CutPartsAreNotPassedOnBetweenGateways);
  CPPUNIT_TEST(ResetWhileALongRequestIsWrittenGivesNoSuccess);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a success with an empty or short body, made from what a leaf sent before it
  /// broke off; and against a request that may run once being answered as not run then.
  void CutAnswersOfALeafGiveNoSuccess() {
    CutFleet fleet;
    const auto plain = [](size_t) { return std::string(kPlainService); };
    for (const std::string method : {"GET", "HEAD", "POST"}) {
      const bool once = method == "POST";
      for (const Cut& cut : AllCuts(plain, method == "HEAD")) {
        const auto [response, id] =
            fleet.SendUntilCut(method, once ? "once" : "safe", cut, once ? "one stack" : "");
        CheckPlain(cut, method, id, response);
      }
    }
  }

  /// Guards against a part made from what a leaf sent before it broke off, in an answer that one
  /// gateway gathers alone.
  void CutPartsAreNotGathered() {
    CutFleet fleet;
    CheckGathers(&fleet, "few", kFewShards);
  }

  /// Guards against such a part in what another gateway gathers and passes on.
  void CutPartsAreNotPassedOnBetweenGateways() {
    CutFleet fleet;
    const double before = fleet.ConnectionsOfSecondGateway();
    CheckGathers(&fleet, "all", kSharedShards);
    CPPUNIT_ASSERT(fleet.ConnectionsOfSecondGateway() > before);
  }

  /// Guards against a success with a short body of a leaf that reset the connection before it had
  /// read the whole request.
  void ResetWhileALongRequestIsWrittenGivesNoSuccess() {
    constexpr int kRequests = 5;
    CutFleet fleet;
    const std::string body(kLongBodyBytes, 'x');
    const std::string answer =
        AnswerOf(kPlainService, NewId(), AnswerFraming::kConnection, /*to_head=*/false);
    const Cut cut{kPlainService, AnswerFraming::kConnection, HeadBytes(answer) + 5, CutEnd::kReset};
    for (int i = 0; i < kRequests; ++i) {
      const auto [response, id] = fleet.SendUntilCut("POST", "once", cut, body);
      CheckPlain(cut, "POST", id, response);
    }
  }

 private:
  /// Cuts the answers of all shards in turn.
  static void CheckGathers(CutFleet* fleet, const std::string& route, size_t shards) {
    const auto shard = [shards](size_t number) { return ShardName(number % shards); };
    for (const Cut& cut : AllCuts(shard, /*to_head=*/false)) {
      const auto [response, id] = fleet->SendUntilCut("GET", route, cut);
      CheckGathered(cut, shards, id, response);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CutAnswersTest);

}  // namespace pumicedyke::platform
