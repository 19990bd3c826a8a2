// Tests on real processes that a node takes no reply that its leaf broke off, or that is broken.
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <array>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "common/json.h"
#include "common/result_code.h"
#include "e2e/fleet.h"
#include "e2e/raw_listener.h"
#include "http/message_parser.h"
#include "http/raw_answers.h"
#include "query/messages.h"

namespace pumicedyke::e2e {
namespace {

constexpr char kPolicy[] =
    "function plan(r) return { deadline_ms = 2000, coverage = 0.5, extra_load = 0 } end";
constexpr char kCutQuery[] = "cut";
constexpr char kBrokenQuery[] = "broken";
constexpr char kHeadOfUnframed[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

std::string Framed(const std::string& body) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

/// The body of a leaf's reply without results.
std::string ReplyTo(const query::LeafRequest& request) {
  query::LeafReply reply;
  reply.origin = request.origin;
  reply.id = request.id;
  reply.leaf = request.leaf;
  reply.shard = request.shard;
  reply.snapshot = request.snapshot;
  reply.status = query::LeafStatus::kOk;
  return query::LeafReplyToJson(reply).dump();
}

/// Replies with a broken head, then those with a broken body.
std::vector<http::RawAnswer> BrokenReplies(const std::string& body) {
  std::vector<http::RawAnswer> replies = http::BrokenHeads({"", body});
  const std::vector<http::RawAnswer> bodies = http::BrokenBodies({"", body});
  replies.insert(replies.end(), bodies.begin(), bodies.end());
  return replies;
}

/// A leaf that breaks off its replies to queries "cut-PERCENT-FRAMED" after that share of their
/// bytes, and gives a broken one to queries "broken-INDEX".
class CuttingServer {
 public:
  explicit CuttingServer(bool cuts)
      : cuts_(cuts), listener_([this](int connection) { Serve(connection); }) {}

  const std::string& address() const { return listener_.address(); }
  bool HasCut(const std::string& query) const {
    const std::lock_guard lock(mutex_);
    return cut_.contains(query);
  }

 private:
  void Serve(int connection) {
    http::RequestParser parser({});
    std::string input;
    std::array<char, 4096> bytes{};
    for (;;) {
      const ssize_t count = ::recv(connection, bytes.data(), bytes.size(), 0);
      if (count <= 0) {
        return;
      }
      input.append(bytes.data(), static_cast<size_t>(count));
      while (!input.empty() && parser.Consume(&input) == http::ParseState::kComplete) {
        if (!Answer(connection, parser.Take())) {
          return;
        }
      }
    }
  }
  /// @return whether the connection goes on.
  bool Answer(int connection, const http::RequestMessage& message) {
    if (message.target != "/v1/search") {
      Write(connection, Framed(Json{{"draining", false}, {"load", 0}}.dump()));
      return true;
    }
    const absl::StatusOr<query::LeafRequest> request = query::LeafRequestFromJson(message.body);
    CPPUNIT_ASSERT(request.ok());
    const std::string body = ReplyTo(*request);
    const bool asked_for =
        request->query.starts_with(kCutQuery) || request->query.starts_with(kBrokenQuery);
    if (!cuts_ || !asked_for) {
      Write(connection, Framed(body));
      return true;
    }
    const std::vector<std::string> parts = absl::StrSplit(request->query, '-');
    if (parts.at(0) == kBrokenQuery) {
      const http::RawAnswer reply = BrokenReplies(body).at(std::stoul(parts.at(1)));
      Write(connection, reply.head + reply.body);
      Note(request->query);
      return !reply.closes;
    }
    const std::string whole = parts.at(2) == "1" ? Framed(body) : kHeadOfUnframed + body;
    constexpr size_t kAll = 100;
    Write(connection, whole.substr(0, whole.size() * std::stoul(parts.at(1)) / kAll));
    Note(request->query);
    return false;
  }
  void Note(const std::string& query) {
    const std::lock_guard lock(mutex_);
    cut_.insert(query);
  }
  static void Write(int connection, const std::string& text) {
    (void)!::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
  }

  const bool cuts_;
  mutable std::mutex mutex_;
  std::set<std::string> cut_;
  /// Last, because its threads use the other members.
  RawListener listener_;
};

/// A node with two shards on a leaf each, the first of which breaks off.
class CutFleet {
 public:
  CutFleet() : fleet_({.controls = 3, .nodes = 1, .leafs = 0}) {
    fleet_.StartNode(0);
    Json leafs = Json::array();
    Json shards = Json::array();
    int number = 0;
    for (const CuttingServer* leaf : {&cutting_, &sound_}) {
      const std::string name = absl::StrCat("leaf", ++number);
      leafs.push_back({{"id", name}, {"address", leaf->address()}, {"slots", 8}});
      shards.push_back({{"id", number}, {"replicas", Json::array({name})}});
    }
    fleet_.Submit({{"kind", "put_service"}, {"service", "desk"}, {"leafs", leafs}});
    fleet_.Submit({{"kind", "publish_snapshot"},
                   {"service", "desk"},
                   {"snapshot", {{"id", 1}, {"shards", shards}}}});
    const Json last =
        fleet_.Submit({{"kind", "put_policy"}, {"service", "desk"}, {"policy", kPolicy}});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(last.dump(), 0, last["code"].get<int>());
    fleet_.WaitForVersion(last["version"].get<uint64_t>());
    WaitUntilServed();
  }

  /// Waits until both shards are covered. A leaf that fails several times on end gets no requests.
  void WaitUntilServed() const {
    WaitFor("the node to serve", [this] { return CodeOf("usual") == ResultCode::kOk; });
  }
  ResultCode CodeOf(const std::string& query) const {
    const Json answer = fleet_.Query(0, {{"service", "desk"}, {"query", query}});
    return static_cast<ResultCode>(answer.value("code", -1));
  }
  bool HasCut(const std::string& query) const { return cutting_.HasCut(query); }

 private:
  CuttingServer cutting_{/*cuts=*/true};
  CuttingServer sound_{/*cuts=*/false};
  Fleet fleet_;
};

}  // namespace

class NodeCutReplyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeCutReplyTest);
  CPPUNIT_TEST(ShardOfACutReplyIsMissing);
  CPPUNIT_TEST(ShardOfABrokenReplyIsMissing);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against an answer that counts a shard as covered whose leaf broke off its reply, with
  /// or without a length.
  void ShardOfACutReplyIsMissing() {
    constexpr int kAll = 100;
    constexpr int kStep = 7;
    const CutFleet fleet;
    for (const int framed : {0, 1}) {
      for (int percent = 0; percent < kAll; percent += kStep) {
        const std::string query = absl::StrCat(kCutQuery, "-", percent, "-", framed);
        const ResultCode code = fleet.CodeOf(query);
        CPPUNIT_ASSERT_MESSAGE(query, fleet.HasCut(query));
        CPPUNIT_ASSERT_MESSAGE(query, code == ResultCode::kPartial);
        fleet.WaitUntilServed();
      }
    }
  }

  /// Guards against an answer that counts a shard as covered whose leaf gave a broken reply.
  void ShardOfABrokenReplyIsMissing() {
    const CutFleet fleet;
    const std::vector<http::RawAnswer> replies = BrokenReplies("");
    for (size_t i = 0; i < replies.size(); ++i) {
      const std::string query = absl::StrCat(kBrokenQuery, "-", i);
      const ResultCode code = fleet.CodeOf(query);
      CPPUNIT_ASSERT_MESSAGE(replies[i].name, fleet.HasCut(query));
      CPPUNIT_ASSERT_MESSAGE(replies[i].name, code == ResultCode::kPartial);
      fleet.WaitUntilServed();
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeCutReplyTest);

}  // namespace pumicedyke::e2e
