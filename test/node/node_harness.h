// A node with one service with one shard on two leafs, without sockets.
#pragma once

#include <cppunit/TestAssert.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/json.h"
#include "config/config_state.h"
#include "node/node_server.h"

namespace pumicedyke::node {

inline constexpr Timestamp kStart{Seconds(100)};

struct NodeHarness {
  explicit NodeHarness(const NodeOptions& options = Options())
      : server(std::make_unique<NodeServer>(options, kStart)) {
    Put(R"({"kind":"put_service","submission_id":"a","service":"desk","leafs":[
          {"id":"a","address":"10.0.0.1:80","slots":4},{"id":"b","address":"10.0.0.2:80","slots":4}]})");
    Put(R"({"kind":"publish_snapshot","submission_id":"b","service":"desk","snapshot":{"id":1,
          "shards":[{"id":0,"replicas":["a","b"]}]}})");
  }

  static NodeOptions Options() {
    NodeOptions options;
    options.subscriber.cluster = "test";
    options.subscriber.node = "n1";
    return options;
  }

  void Put(const std::string& change) {
    const auto parsed = config::ParseChange(Json::parse(change));
    CPPUNIT_ASSERT_MESSAGE(parsed.status().ToString(), parsed.ok());
    state.Apply(*parsed);
    wire::ConfigFeed feed;
    feed.version = state.version().value;
    feed.full = true;
    feed.state = state.Serialize();
    Receive(feed);
  }
  void PutTenants(const std::string& list) {
    Put(R"({"kind":"put_tenants","submission_id":"c","tenants":)" + list + "}");
  }
  void PutPolicy(const std::string& text) {
    Put(Json{{"kind", "put_policy"}, {"submission_id", "d"}, {"service", "desk"}, {"policy", text}}
            .dump());
  }
  /// Delivers a message of the control machine that the node follows.
  void Receive(wire::Body body) {
    server->OnControlMessage(now, {"test", state.version().value, std::move(body)});
    CollectOutput();
  }
  void SendRequest(const std::string& key) {
    query::CallerRequest request;
    request.service = "desk";
    request.query = "x";
    request.api_key = key;
    SendRequest(request);
  }
  void SendRequest(const query::CallerRequest& request) {
    server->OnCallerRequest(now, RequestId{++request_count}, request);
    CollectOutput();
  }
  /// Returns a reply of a leaf without results.
  static query::LeafReply ReplyTo(const query::LeafRequest& sent, query::LeafStatus status) {
    query::LeafReply reply;
    reply.id = sent.id;
    reply.leaf = sent.leaf;
    reply.shard = sent.shard;
    reply.snapshot = sent.snapshot;
    reply.status = status;
    return reply;
  }
  void Reply(const query::LeafReply& reply) {
    server->OnLeafReply(now, reply);
    CollectOutput();
  }
  void AdvanceClock(Duration time) {
    for (const Timestamp end = now + time; now < end;) {
      now += Milliseconds(1);
      server->Tick(now);
      CollectOutput();
    }
  }
  void CollectOutput() {
    NodeOutput output = server->TakeOutput();
    for (query::LeafRequest& send : output.sends) {
      sends.push_back(std::move(send));
    }
    for (CallerAnswer& answer : output.answers) {
      answers.push_back(std::move(answer));
    }
    for (wire::Envelope& envelope : output.control) {
      control.push_back(std::move(envelope.body));
    }
  }
  /// Returns the messages of one type sent to the control machines so far.
  template <typename Message>
  std::vector<Message> SentToControl() const {
    std::vector<Message> messages;
    for (const wire::Body& body : control) {
      if (const auto* message = std::get_if<Message>(&body)) {
        messages.push_back(*message);
      }
    }
    return messages;
  }

  config::ConfigState state;
  std::unique_ptr<NodeServer> server;
  std::vector<query::LeafRequest> sends;
  std::vector<CallerAnswer> answers;
  std::vector<wire::Body> control;
  Timestamp now = kStart;
  uint64_t request_count = 0;
};

}  // namespace pumicedyke::node
