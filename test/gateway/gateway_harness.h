// A gateway with the words of one control machine, for tests without sockets.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/json.h"
#include "common/result_code.h"
#include "config/config_state.h"
#include "gateway/gateway_server.h"

namespace pumicedyke::gateway {

inline constexpr Timestamp kStart{Seconds(100)};
inline constexpr char kControl[] = "10.0.0.1:7100";
inline constexpr char kHost[] = "desk.example";

/// Documents are JSON lists of [name, prefix, repeatable, shards...] here; one shard means a plain
/// route.
class TestReader : public routing::DocumentReader {
 public:
  /// What cold leafs bear; zero: as much as always.
  double cold_requests_per_second = 0;
  /// Regions that requests must not leave.
  std::set<std::string> homes;
  /// Set: the documents have tenants.
  std::optional<std::vector<tenants::Tenant>> tenants;
  /// Routes that need no key.
  std::set<std::string> open;

  /// A document that only a later program understands.
  static constexpr char kUnreadable[] = "unreadable";

  absl::StatusOr<routing::RouteSet> Read(std::string_view text) const override {
    if (text == kUnreadable) {
      return MakeStatus(ResultCode::kInvalidConfig, "unreadable");
    }
    routing::RouteSet set;
    for (const Json& item : Json::parse(text)) {
      routing::Route route;
      route.name = item[0].get<std::string>();
      route.host = kHost;
      route.prefix = item[1].get<std::string>();
      route.repeatable = item[2].get<bool>();
      route.timeout = Seconds(2);
      route.objective = Milliseconds(100);
      route.max_attempts = 2;
      route.min_coverage = 0.5;
      route.top_records = 2;
      route.homes = homes;
      route.open = open.contains(route.name);
      for (size_t i = 3; i < item.size(); ++i) {
        const auto service = item[i].get<std::string>();
        set.services.push_back({service, 26, "", Seconds(2), cold_requests_per_second});
        route.shards.push_back(service);
      }
      if (route.shards.size() == 1) {
        route.services = {{route.shards.front(), 1}};
        route.shards.clear();
      }
      set.routes.push_back(std::move(route));
    }
    set.keyed = tenants.has_value();
    set.tenants = tenants.value_or(std::vector<tenants::Tenant>{});
    return set;
  }
};

/// A gateway with the words of one control machine.
class GatewayHarness {
 public:
  explicit GatewayHarness(const GatewayOptions& options = Options())
      : server(options, &reader_, kStart) {}

  static GatewayOptions Options() {
    GatewayOptions options;
    options.cluster = "test";
    options.node = "g1";
    options.address = "10.0.0.9:80";
    options.incarnation = 5;
    options.control = {kControl};
    return options;
  }

  void Put(uint64_t version, const std::string& text) {
    config::Change change;
    change.kind = config::ChangeKind::kPutDocument;
    change.document = {version, text};
    Apply(change);
  }
  void Retire(const std::string& leaf) {
    config::Change change;
    change.kind = config::ChangeKind::kRetireLeaf;
    change.leaf = leaf;
    Apply(change);
  }
  void Quarantine(const std::string& target) {
    config::Change change;
    change.kind = config::ChangeKind::kQuarantineRequest;
    change.request = IdentityOf({target});
    Apply(change);
  }
  void Release(const std::string& target) {
    config::Change change;
    change.kind = config::ChangeKind::kReleaseRequest;
    change.request = IdentityOf({target});
    Apply(change);
  }
  /// A control machine warns of a request.
  void Warn(const std::string& target) {
    server.OnControlMessage(now, kControl,
                            {"test", 0, wire::SuspectNotice{{IdentityOf({target})}}});
  }
  void Evacuate(const std::string& zone) {
    config::Change change;
    change.kind = config::ChangeKind::kEvacuateZone;
    change.zone = zone;
    Apply(change);
  }
  void Restore(const std::string& zone) {
    config::Change change;
    change.kind = config::ChangeKind::kRestoreZone;
    change.zone = zone;
    Apply(change);
  }
  void Report(std::vector<wire::LeafRecord> records) {
    server.OnControlMessage(now, kControl,
                            {"test", 0, wire::LeafFeed{0, ++leaf_version_, records, {}, {}, 1}});
  }
  static wire::LeafRecord Leaf(const std::string& id, const std::string& service) {
    return {id, service, id + ":80", "north", 2, false, 0};
  }

  /// A control machine answers a greeting: there is nothing new.
  void Vouch() {
    wire::ConfigFeed feed;
    feed.version = state_.version().value;
    server.OnControlMessage(now, kControl, {"test", feed.version, feed});
  }
  /// A control machine answers the greeting that was sent at `asked`; its own proof is this old.
  void Prove(Timestamp asked, Duration proof_age = {}) {
    wire::ConfigFeed feed;
    feed.version = state_.version().value;
    feed.echo = static_cast<uint64_t>(asked.time_since_epoch().count());
    feed.proof_age = proof_age;
    server.OnControlMessage(now, kControl, {"test", feed.version, feed});
    Take();
  }
  /// The same, to a greeting that was sent now.
  void Prove() { Prove(now); }
  /// Whether the control machine takes reports of lost runs.
  bool takes_reports = true;
  /// Other gateways, by the word of the control machine.
  void Peers(std::vector<wire::GatewayRecord> peers) {
    wire::GatewayFeed feed;
    feed.version = ++peers_version_;
    feed.peers = std::move(peers);
    server.OnControlMessage(now, kControl, {"test", 0, feed});
  }

  /// @param unread how long the request may have waited to be read. @return the request's id.
  RequestId Ask(const std::string& target, Duration deadline = Seconds(1), Duration unread = {}) {
    auto request = std::make_shared<PayloadRequest>();
    request->request_id = "r" + std::to_string(++asked_);
    request->method = "GET";
    request->target = target;
    request->host = kHost;
    request->deadline = deadline;
    request->identity = IdentityOf({target});
    return Ask(std::move(request), unread);
  }
  /// The client sends this key, and claims to be another.
  RequestId AskWithKey(const std::string& target, const std::string& key,
                       Duration deadline = Seconds(1)) {
    auto request = std::make_shared<PayloadRequest>();
    request->request_id = "r" + std::to_string(++asked_);
    request->method = "GET";
    request->target = target;
    request->host = kHost;
    request->deadline = deadline;
    request->identity = IdentityOf({target, key});
    request->api_key = key;
    request->encoded_head = "GET " + target + " HTTP/1.1\r\n";
    request->caller_headers = {{"Key", key}, {"Claim", "somebody else"}};
    return Ask(std::move(request), Duration(0));
  }
  void Reply(const LeafSend& send, query::LeafStatus status, const std::string& body = "",
             int http_status = 200, uint32_t load = 0) {
    query::LeafReply reply;
    reply.load = load;
    reply.id = send.id;
    reply.leaf = send.leaf;
    reply.shard = send.shard;
    reply.status = status;
    if (!body.empty()) {
      auto payload = std::make_shared<query::LeafPayload>();
      payload->status = http_status;
      payload->body = body;
      payload->signature = "sig-" + send.leaf;
      reply.payload = std::move(payload);
    }
    server.OnLeafReply(now, reply);
    Take();
  }
  /// The leaf's connection ends without an answer.
  void Lose(const LeafSend& send) {
    query::LeafReply reply;
    reply.id = send.id;
    reply.leaf = send.leaf;
    reply.shard = send.shard;
    reply.status = query::LeafStatus::kFailed;
    reply.connection_lost = true;
    server.OnLeafReply(now, reply);
    Take();
  }
  void Pass(Duration time) {
    const Timestamp end = now + time;
    while (now < end) {
      now = std::min(end, std::max(now + Milliseconds(1), server.NextWake(now)));
      server.Tick(now);
      Take();
    }
  }
  void Take() {
    GatewayOutput output = server.TakeOutput();
    for (LeafSend& send : output.sends) {
      sends.push_back(std::move(send));
    }
    for (GatewayAnswer& answer : output.answers) {
      answers.push_back(std::move(answer));
    }
    closed_leafs.insert(closed_leafs.end(), output.closed_leafs.begin(), output.closed_leafs.end());
    for (const LeafCancel& cancel : output.cancels) {
      cancels.push_back(cancel);
    }
    for (PeerMessage& message : output.peer_messages) {
      peer_messages.push_back(std::move(message));
    }
    for (PeerReply& reply : output.peer_replies) {
      peer_replies.push_back(std::move(reply));
    }
    for (const ControlLinkChange& change : output.link_changes) {
      links.push_back(change);
    }
    for (ControlMessage& message : output.control) {
      if (const auto* report = std::get_if<wire::RunReport>(&message.envelope.body)) {
        TakeReport(*report);
      }
      control.push_back(std::move(message));
    }
  }

  /// What cold leafs of the documents that are put from now on bear.
  void SetColdRequestsPerSecond(double rate) { reader_.cold_requests_per_second = rate; }

  /// Tenants of the documents that are put from now on; unset: they have none.
  void SetTenants(std::optional<std::vector<tenants::Tenant>> tenants) {
    reader_.tenants = std::move(tenants);
  }
  /// Routes of these documents that need no key.
  void SetOpen(std::set<std::string> routes) { reader_.open = std::move(routes); }

  /// Regions that requests of the documents that are put from now on must not leave.
  void SetHomes(std::set<std::string> homes) { reader_.homes = std::move(homes); }

  std::vector<ControlLinkChange> links;
  std::vector<std::string> closed_leafs;
  Timestamp now = kStart;

 private:
  void TakeReport(const wire::RunReport& report) {
    if (takes_reports) {
      server.OnControlMessage(now, kControl, {"test", 0, wire::RunReportTaken{report.number}});
    }
  }
  RequestId Ask(std::shared_ptr<PayloadRequest> request, Duration unread) {
    const RequestId id{asked_};
    server.OnRequest(now, id, std::move(request), now - unread);
    Take();
    return id;
  }
  void Apply(const config::Change& change) {
    state_.Apply(change);
    wire::ConfigFeed feed;
    feed.version = state_.version().value;
    feed.full = true;
    feed.state = state_.Serialize();
    server.OnControlMessage(now, kControl, {"test", feed.version, feed});
    Take();
  }

  TestReader reader_;
  config::ConfigState state_;
  uint64_t leaf_version_ = 0;
  uint64_t peers_version_ = 0;
  uint64_t asked_ = 0;

 public:
  GatewayServer server;
  std::vector<LeafSend> sends;
  std::vector<GatewayAnswer> answers;
  std::vector<LeafCancel> cancels;
  std::vector<ControlMessage> control;
  std::vector<PeerMessage> peer_messages;
  std::vector<PeerReply> peer_replies;
};

}  // namespace pumicedyke::gateway
