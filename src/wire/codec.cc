#include "wire/codec.h"

#include <pb_decode.h>
#include <pb_encode.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <memory>

#include "common/result_code.h"
#include "generated/internal.pb.h"

namespace pumicedyke::wire {
namespace {

// nanopb counts the bytes of one field in 16 bits; longer values travel in several pieces.
constexpr size_t kPieceBytes = 60000;

/// Owns what the pointers of an outgoing nanopb structure refer to.
class Arena {
 public:
  char* String(const std::string& text) { return const_cast<char*>(text.c_str()); }

  pb_bytes_array_t** Pieces(std::string_view bytes, pb_size_t* count) {
    std::vector<pb_bytes_array_t*>& pieces = piece_lists_.emplace_back();
    for (size_t offset = 0; offset < bytes.size(); offset += kPieceBytes) {
      pieces.push_back(Piece(bytes.substr(offset, kPieceBytes)));
    }
    *count = static_cast<pb_size_t>(pieces.size());
    return pieces.data();
  }

  char** Strings(const std::vector<std::string>& texts, pb_size_t* count) {
    *count = static_cast<pb_size_t>(texts.size());
    char** list = Array<char*>(texts.size());
    for (size_t i = 0; i < texts.size(); ++i) {
      list[i] = String(texts[i]);
    }
    return list;
  }

  template <typename T>
  T* Array(size_t count) {
    auto storage = std::make_shared<std::vector<T>>(count);
    owned_.push_back(storage);
    return storage->data();
  }

 private:
  pb_bytes_array_t* Piece(std::string_view bytes) {
    std::unique_ptr<char[]>& buffer =
        buffers_.emplace_back(std::make_unique<char[]>(PB_BYTES_ARRAY_T_ALLOCSIZE(bytes.size())));
    auto* array = reinterpret_cast<pb_bytes_array_t*>(buffer.get());
    array->size = static_cast<pb_size_t>(bytes.size());
    std::memcpy(array->bytes, bytes.data(), bytes.size());
    return array;
  }

  std::deque<std::vector<pb_bytes_array_t*>> piece_lists_;
  std::deque<std::unique_ptr<char[]>> buffers_;
  std::vector<std::shared_ptr<void>> owned_;
};

std::string Text(const char* text) { return text == nullptr ? std::string() : std::string(text); }

std::string Join(pb_bytes_array_t* const* pieces, pb_size_t count) {
  std::string bytes;
  for (pb_size_t i = 0; i < count; ++i) {
    bytes.append(reinterpret_cast<const char*>(pieces[i]->bytes), pieces[i]->size);
  }
  return bytes;
}

pumicedyke_wire_RequestIdentity Fill(const RequestIdentity& identity) {
  return {identity.high, identity.low};
}

RequestIdentity Read(const pumicedyke_wire_RequestIdentity& in) { return {in.high, in.low}; }

void Fill(const LogEntry& entry, Arena* arena, pumicedyke_wire_LogEntry* out) {
  out->index = entry.index;
  out->term = entry.term;
  out->kind = static_cast<uint32_t>(entry.kind);
  out->data = arena->Pieces(entry.data, &out->data_count);
}

LogEntry Read(const pumicedyke_wire_LogEntry& in) {
  return LogEntry{in.index, in.term, static_cast<EntryKind>(in.kind), Join(in.data, in.data_count)};
}

void Fill(const SnapshotData& snapshot, Arena* arena, pumicedyke_wire_SnapshotData* out) {
  out->index = snapshot.index;
  out->term = snapshot.term;
  out->members_count = static_cast<pb_size_t>(snapshot.members.size());
  out->members = arena->Array<pumicedyke_wire_Member>(snapshot.members.size());
  for (size_t i = 0; i < snapshot.members.size(); ++i) {
    const Member& member = snapshot.members[i];
    out->members[i] = {member.id, arena->String(member.machine), arena->String(member.address),
                       member.voter};
  }
  out->state = arena->Pieces(snapshot.state, &out->state_count);
}

SnapshotData Read(const pumicedyke_wire_SnapshotData& in) {
  SnapshotData snapshot{in.index, in.term, {}, Join(in.state, in.state_count)};
  for (pb_size_t i = 0; i < in.members_count; ++i) {
    const pumicedyke_wire_Member& member = in.members[i];
    snapshot.members.push_back(
        {member.id, Text(member.machine), Text(member.address), member.voter});
  }
  return snapshot;
}

void Fill(const RaftMessage& message, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_raft_tag;
  pumicedyke_wire_RaftMessage& out = envelope->body.raft;
  out.type = static_cast<uint32_t>(message.type);
  out.from = message.from;
  out.to = message.to;
  out.term = message.term;
  out.log_index = message.log_index;
  out.log_term = message.log_term;
  out.commit = message.commit;
  out.entries_count = static_cast<pb_size_t>(message.entries.size());
  out.entries = arena->Array<pumicedyke_wire_LogEntry>(message.entries.size());
  for (size_t i = 0; i < message.entries.size(); ++i) {
    Fill(message.entries[i], arena, &out.entries[i]);
  }
  out.reject = message.reject;
  out.context = message.context;
  out.stamp = message.stamp;
  out.proof_lag_us = static_cast<uint64_t>(message.proof_lag.count());
  if (message.type == RaftMessageType::kSnapshot) {
    out.snapshot = arena->Array<pumicedyke_wire_SnapshotData>(1);
    Fill(message.snapshot, arena, out.snapshot);
  }
}

RaftMessage Read(const pumicedyke_wire_RaftMessage& in) {
  RaftMessage message;
  message.type = static_cast<RaftMessageType>(in.type);
  message.from = in.from;
  message.to = in.to;
  message.term = in.term;
  message.log_index = in.log_index;
  message.log_term = in.log_term;
  message.commit = in.commit;
  for (pb_size_t i = 0; i < in.entries_count; ++i) {
    message.entries.push_back(Read(in.entries[i]));
  }
  message.reject = in.reject;
  message.context = in.context;
  message.stamp = in.stamp;
  message.proof_lag = Duration(static_cast<int64_t>(in.proof_lag_us));
  if (in.snapshot != nullptr) {
    message.snapshot = Read(*in.snapshot);
  }
  return message;
}

void Fill(const NodeHello& hello, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_hello_tag;
  envelope->body.hello = {arena->String(hello.node), hello.incarnation, hello.version,
                          hello.starting, hello.sent};
}

void Fill(const ConfigFeed& feed, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_feed_tag;
  pumicedyke_wire_ConfigFeed& out = envelope->body.feed;
  out.version = feed.version;
  out.echo = feed.echo;
  out.proof_age_us = static_cast<uint64_t>(feed.proof_age.count());
  out.full = feed.full;
  out.state = arena->Pieces(feed.state, &out.state_count);
  out.changes_count = static_cast<pb_size_t>(feed.changes.size());
  out.changes = arena->Array<pumicedyke_wire_ConfigChange>(feed.changes.size());
  for (size_t i = 0; i < feed.changes.size(); ++i) {
    out.changes[i].version = feed.changes[i].version;
    out.changes[i].command = arena->Pieces(feed.changes[i].command, &out.changes[i].command_count);
  }
}

ConfigFeed Read(const pumicedyke_wire_ConfigFeed& in) {
  ConfigFeed feed{in.version, in.full, Join(in.state, in.state_count), {}, in.echo};
  feed.proof_age = Duration(static_cast<int64_t>(in.proof_age_us));
  for (pb_size_t i = 0; i < in.changes_count; ++i) {
    const pumicedyke_wire_ConfigChange& change = in.changes[i];
    feed.changes.push_back({change.version, Join(change.command, change.command_count)});
  }
  return feed;
}

void Fill(const LedgerRequest& request, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_ledger_request_tag;
  pumicedyke_wire_LedgerRequest& out = envelope->body.ledger_request;
  out.operation = static_cast<uint32_t>(request.operation);
  out.key = arena->String(request.key);
  out.owner = arena->String(request.owner);
  out.fingerprint = request.fingerprint;
  out.outcome = arena->Pieces(request.outcome, &out.outcome_count);
  out.request = request.request;
}

LedgerRequest Read(const pumicedyke_wire_LedgerRequest& in) {
  return LedgerRequest{
      static_cast<LedgerOperation>(in.operation), Text(in.key), Text(in.owner), in.fingerprint,
      Join(in.outcome, in.outcome_count),         in.request};
}

void Fill(const LedgerReply& reply, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_ledger_reply_tag;
  pumicedyke_wire_LedgerReply& out = envelope->body.ledger_reply;
  out.request = reply.request;
  out.verdict = static_cast<uint32_t>(reply.verdict);
  out.outcome = arena->Pieces(reply.outcome, &out.outcome_count);
}

void Fill(const JoinRequest& join, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_join_tag;
  envelope->body.join = {join.member, arena->String(join.machine), arena->String(join.address),
                         join.relayed};
}

void Fill(const JoinReply& reply, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_join_reply_tag;
  envelope->body.join_reply = {reply.leader, arena->String(reply.address)};
}

void Fill(const Forwarded& forwarded, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_forwarded_tag;
  pumicedyke_wire_Forwarded& out = envelope->body.forwarded;
  out.origin = forwarded.origin;
  out.ticket = forwarded.ticket;
  out.command = arena->Pieces(forwarded.command, &out.command_count);
}

void Fill(const ForwardedReply& reply, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_forwarded_reply_tag;
  pumicedyke_wire_ForwardedReply& out = envelope->body.forwarded_reply;
  out.ticket = reply.ticket;
  out.result = arena->Pieces(reply.result, &out.result_count);
}

void Fill(const GatewayPresence& presence, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_presence_tag;
  pumicedyke_wire_GatewayPresence& out = envelope->body.presence;
  out.node = arena->String(presence.node);
  out.incarnation = presence.incarnation;
  out.address = arena->String(presence.address);
  out.zone = arena->String(presence.zone);
  out.serving = presence.serving;
  out.leaf_version = presence.leaf_version;
  out.peer_address = arena->String(presence.peer_address);
  out.wants_peers = presence.wants_peers;
  out.peers_version = presence.peers_version;
}

GatewayPresence Read(const pumicedyke_wire_GatewayPresence& in) {
  return {Text(in.node),   in.incarnation,        Text(in.address), Text(in.zone),   in.serving,
          in.leaf_version, Text(in.peer_address), in.wants_peers,   in.peers_version};
}

void Fill(const LeafFeed& feed, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_leaf_feed_tag;
  pumicedyke_wire_LeafFeed& out = envelope->body.leaf_feed;
  out.from_version = feed.from_version;
  out.version = feed.version;
  out.gateways = feed.gateways;
  out.zone = arena->String(feed.zone);
  out.current = feed.current;
  out.records_count = static_cast<pb_size_t>(feed.records.size());
  out.records = arena->Array<pumicedyke_wire_LeafRecord>(feed.records.size());
  for (size_t i = 0; i < feed.records.size(); ++i) {
    const LeafRecord& record = feed.records[i];
    out.records[i] = {arena->String(record.leaf),
                      arena->String(record.service),
                      arena->String(record.address),
                      arena->String(record.zone),
                      record.slots,
                      record.draining,
                      record.cold_milliseconds,
                      record.born_ms};
  }
  out.gone = arena->Strings(feed.gone, &out.gone_count);
  out.control = arena->Strings(feed.control, &out.control_count);
}

std::vector<std::string> Texts(char* const* texts, pb_size_t count) {
  std::vector<std::string> list;
  for (pb_size_t i = 0; i < count; ++i) {
    list.push_back(Text(texts[i]));
  }
  return list;
}

LeafFeed Read(const pumicedyke_wire_LeafFeed& in) {
  LeafFeed feed{in.from_version, in.version, {}, {}, {}, in.gateways, Text(in.zone), in.current};
  for (pb_size_t i = 0; i < in.records_count; ++i) {
    const pumicedyke_wire_LeafRecord& record = in.records[i];
    feed.records.push_back({Text(record.leaf), Text(record.service), Text(record.address),
                            Text(record.zone), record.slots, record.draining,
                            record.cold_milliseconds, record.born_ms});
  }
  feed.gone = Texts(in.gone, in.gone_count);
  feed.control = Texts(in.control, in.control_count);
  return feed;
}

void Fill(const GatewayFeed& feed, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_gateway_feed_tag;
  pumicedyke_wire_GatewayFeed& out = envelope->body.gateway_feed;
  out.from_version = feed.from_version;
  out.version = feed.version;
  out.peers_count = static_cast<pb_size_t>(feed.peers.size());
  out.peers = arena->Array<pumicedyke_wire_GatewayRecord>(feed.peers.size());
  for (size_t i = 0; i < feed.peers.size(); ++i) {
    const GatewayRecord& record = feed.peers[i];
    out.peers[i] = {arena->String(record.node), arena->String(record.zone),
                    arena->String(record.peer_address), arena->String(record.address)};
  }
  out.gone = arena->Strings(feed.gone, &out.gone_count);
}

GatewayFeed Read(const pumicedyke_wire_GatewayFeed& in) {
  GatewayFeed feed{in.from_version, in.version, {}, Texts(in.gone, in.gone_count)};
  for (pb_size_t i = 0; i < in.peers_count; ++i) {
    const pumicedyke_wire_GatewayRecord& record = in.peers[i];
    feed.peers.push_back(
        {Text(record.node), Text(record.zone), Text(record.peer_address), Text(record.address)});
  }
  return feed;
}

void Fill(const PartialQuery& query, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_partial_query_tag;
  pumicedyke_wire_PartialQuery& out = envelope->body.partial_query;
  out.id = query.id;
  out.route = arena->String(query.route);
  out.request_id = arena->String(query.request_id);
  out.method = arena->String(query.method);
  out.head = arena->Pieces(query.head, &out.head_count);
  out.payload = arena->Pieces(query.payload, &out.payload_count);
  out.budget_us = static_cast<uint64_t>(query.budget.count());
  out.report_after_us = static_cast<uint64_t>(query.report_after.count());
  out.objective_us = static_cast<uint64_t>(query.objective.count());
  out.top_records = query.top_records;
  out.max_attempts = query.max_attempts;
  out.again = query.again;
  out.stand_by = query.stand_by;
  out.groups = query.groups;
  out.shards = arena->Strings(query.shards, &out.shards_count);
  out.homes = arena->Strings(query.homes, &out.homes_count);
  out.tenant = arena->String(query.tenant);
  out.priority = query.priority;
  out.has_identity = query.identity.known();
  out.identity = Fill(query.identity);
}

PartialQuery Read(const pumicedyke_wire_PartialQuery& in) {
  PartialQuery query;
  query.id = in.id;
  query.route = Text(in.route);
  query.request_id = Text(in.request_id);
  query.method = Text(in.method);
  query.head = Join(in.head, in.head_count);
  query.payload = Join(in.payload, in.payload_count);
  query.budget = Duration(static_cast<int64_t>(in.budget_us));
  query.report_after = Duration(static_cast<int64_t>(in.report_after_us));
  query.objective = Duration(static_cast<int64_t>(in.objective_us));
  query.top_records = in.top_records;
  query.max_attempts = in.max_attempts;
  query.again = in.again;
  query.stand_by = in.stand_by;
  query.groups = in.groups;
  query.shards = Texts(in.shards, in.shards_count);
  query.homes = Texts(in.homes, in.homes_count);
  query.identity = Read(in.identity);
  query.tenant = Text(in.tenant);
  query.priority = in.priority;
  return query;
}

void Fill(const PartialCancel& cancel, Arena* /*arena*/, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_partial_cancel_tag;
  envelope->body.partial_cancel = {cancel.id, cancel.stop_work};
}

void Fill(const PartialConfirm& confirm, Arena* /*arena*/, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_partial_confirm_tag;
  envelope->body.partial_confirm = {confirm.id};
}

void Fill(const PartialAnswer& answer, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_partial_answer_tag;
  pumicedyke_wire_PartialAnswer& out = envelope->body.partial_answer;
  out.id = answer.id;
  out.stage = static_cast<uint32_t>(answer.stage);
  out.parts_count = static_cast<pb_size_t>(answer.parts.size());
  out.parts = arena->Array<pumicedyke_wire_PartialPart>(answer.parts.size());
  for (size_t i = 0; i < answer.parts.size(); ++i) {
    out.parts[i] = {answer.parts[i].shard, arena->String(answer.parts[i].signature)};
  }
  out.merged = arena->Pieces(answer.records, &out.merged_count);
  out.gaps_count = static_cast<pb_size_t>(answer.gaps.size());
  out.gaps = arena->Array<pumicedyke_wire_PartialGap>(answer.gaps.size());
  for (size_t i = 0; i < answer.gaps.size(); ++i) {
    out.gaps[i] = {answer.gaps[i].shard, answer.gaps[i].reason};
  }
  out.run = answer.run;
  out.extra = answer.extra;
}

PartialAnswer Read(const pumicedyke_wire_PartialAnswer& in) {
  PartialAnswer answer;
  answer.id = in.id;
  answer.stage = static_cast<PartialStage>(in.stage);
  for (pb_size_t i = 0; i < in.parts_count; ++i) {
    answer.parts.push_back({in.parts[i].shard, Text(in.parts[i].signature)});
  }
  answer.records = Join(in.merged, in.merged_count);
  for (pb_size_t i = 0; i < in.gaps_count; ++i) {
    answer.gaps.push_back({in.gaps[i].shard, in.gaps[i].reason});
  }
  answer.run = in.run;
  answer.extra = in.extra;
  return answer;
}

pumicedyke_wire_RequestIdentity* FillAll(const std::vector<RequestIdentity>& identities,
                                         Arena* arena, pb_size_t* count) {
  *count = static_cast<pb_size_t>(identities.size());
  auto* list = arena->Array<pumicedyke_wire_RequestIdentity>(identities.size());
  std::transform(identities.begin(), identities.end(), list,
                 [](const RequestIdentity& identity) { return Fill(identity); });
  return list;
}

std::vector<RequestIdentity> ReadAll(const pumicedyke_wire_RequestIdentity* list, pb_size_t count) {
  std::vector<RequestIdentity> identities;
  for (pb_size_t i = 0; i < count; ++i) {
    identities.push_back(Read(list[i]));
  }
  return identities;
}

void Fill(const SuspectNotice& notice, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_suspect_notice_tag;
  pumicedyke_wire_SuspectNotice& out = envelope->body.suspect_notice;
  out.requests = FillAll(notice.requests, arena, &out.requests_count);
}

void Fill(const RunReport& report, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_run_report_tag;
  pumicedyke_wire_RunReport& out = envelope->body.run_report;
  out.lost_count = static_cast<pb_size_t>(report.lost.size());
  out.lost = arena->Array<pumicedyke_wire_LostRun>(report.lost.size());
  for (size_t i = 0; i < report.lost.size(); ++i) {
    const LostRun& run = report.lost[i];
    out.lost[i] = {true, Fill(run.identity), run.attempt, arena->String(run.leaf),
                   arena->String(run.service)};
  }
  out.succeeded = FillAll(report.succeeded, arena, &out.succeeded_count);
  out.answering = arena->Strings(report.answering, &out.answering_count);
  out.relayed = report.relayed;
  out.reporter = report.reporter;
  out.number = report.number;
  out.age_us = static_cast<uint64_t>(report.age.count());
}

void Fill(const RunReportTaken& taken, Arena* /*arena*/, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_run_report_taken_tag;
  envelope->body.run_report_taken.number = taken.number;
}

RunReport Read(const pumicedyke_wire_RunReport& in) {
  RunReport report;
  for (pb_size_t i = 0; i < in.lost_count; ++i) {
    const pumicedyke_wire_LostRun& run = in.lost[i];
    report.lost.push_back({Read(run.identity), run.attempt, Text(run.leaf), Text(run.service)});
  }
  report.succeeded = ReadAll(in.succeeded, in.succeeded_count);
  report.answering = Texts(in.answering, in.answering_count);
  report.relayed = in.relayed;
  report.reporter = in.reporter;
  report.number = in.number;
  report.age = Duration(static_cast<int64_t>(in.age_us));
  return report;
}

void Fill(const LimitAsk& ask, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_limit_ask_tag;
  envelope->body.limit_ask = {
      ask.id,         arena->String(ask.tenant), ask.part, ask.wanted, ask.claim, ask.returned,
      ask.returned_of};
}

LimitAsk Read(const pumicedyke_wire_LimitAsk& in) {
  return {in.id, Text(in.tenant), in.part, in.wanted, in.claim, in.returned, in.returned_of};
}

void Fill(const LimitGrant& grant, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_limit_grant_tag;
  envelope->body.limit_grant = {grant.id,
                                arena->String(grant.tenant),
                                static_cast<uint32_t>(grant.stage),
                                grant.granted,
                                static_cast<uint64_t>(grant.lifetime.count()),
                                static_cast<uint64_t>(grant.retry_after.count())};
}

LimitGrant Read(const pumicedyke_wire_LimitGrant& in) {
  return {in.id,
          Text(in.tenant),
          static_cast<LimitStage>(in.stage),
          in.granted,
          Duration(static_cast<int64_t>(in.lifetime_us)),
          Duration(static_cast<int64_t>(in.retry_after_us))};
}

absl::StatusOr<Body> ReadBody(const pumicedyke_wire_Envelope& in) {
  switch (in.which_body) {
    case pumicedyke_wire_Envelope_raft_tag:
      return Body(Read(in.body.raft));
    case pumicedyke_wire_Envelope_suspect_notice_tag:
      return Body(SuspectNotice{
          ReadAll(in.body.suspect_notice.requests, in.body.suspect_notice.requests_count)});
    case pumicedyke_wire_Envelope_run_report_tag:
      return Body(Read(in.body.run_report));
    case pumicedyke_wire_Envelope_run_report_taken_tag:
      return Body(RunReportTaken{in.body.run_report_taken.number});
    case pumicedyke_wire_Envelope_hello_tag:
      return Body(NodeHello{Text(in.body.hello.node), in.body.hello.incarnation,
                            in.body.hello.version, in.body.hello.starting, in.body.hello.sent});
    case pumicedyke_wire_Envelope_feed_tag:
      return Body(Read(in.body.feed));
    case pumicedyke_wire_Envelope_ledger_request_tag:
      return Body(Read(in.body.ledger_request));
    case pumicedyke_wire_Envelope_ledger_reply_tag: {
      const auto& reply = in.body.ledger_reply;
      return Body(LedgerReply{reply.request, static_cast<LedgerVerdict>(reply.verdict),
                              Join(reply.outcome, reply.outcome_count)});
    }
    case pumicedyke_wire_Envelope_join_tag:
      return Body(JoinRequest{in.body.join.member, Text(in.body.join.machine),
                              Text(in.body.join.address), in.body.join.relayed});
    case pumicedyke_wire_Envelope_join_reply_tag:
      return Body(JoinReply{in.body.join_reply.leader, Text(in.body.join_reply.address)});
    case pumicedyke_wire_Envelope_forwarded_tag: {
      const auto& forwarded = in.body.forwarded;
      return Body(Forwarded{forwarded.origin, forwarded.ticket,
                            Join(forwarded.command, forwarded.command_count)});
    }
    case pumicedyke_wire_Envelope_forwarded_reply_tag: {
      const auto& reply = in.body.forwarded_reply;
      return Body(ForwardedReply{reply.ticket, Join(reply.result, reply.result_count)});
    }
    case pumicedyke_wire_Envelope_presence_tag:
      return Body(Read(in.body.presence));
    case pumicedyke_wire_Envelope_leaf_feed_tag:
      return Body(Read(in.body.leaf_feed));
    case pumicedyke_wire_Envelope_gateway_feed_tag:
      return Body(Read(in.body.gateway_feed));
    case pumicedyke_wire_Envelope_partial_query_tag:
      return Body(Read(in.body.partial_query));
    case pumicedyke_wire_Envelope_partial_cancel_tag:
      return Body(PartialCancel{in.body.partial_cancel.id, in.body.partial_cancel.stop_work});
    case pumicedyke_wire_Envelope_partial_confirm_tag:
      return Body(PartialConfirm{in.body.partial_confirm.id});
    case pumicedyke_wire_Envelope_partial_answer_tag:
      return Body(Read(in.body.partial_answer));
    case pumicedyke_wire_Envelope_limit_ask_tag:
      return Body(Read(in.body.limit_ask));
    case pumicedyke_wire_Envelope_limit_grant_tag:
      return Body(Read(in.body.limit_grant));
    default:
      return MakeStatus(ResultCode::kMalformedRequest, "frame without a known body");
  }
}

template <typename Message>
std::string Serialize(const pb_msgdesc_t* descriptor, const Message& message) {
  size_t size = 0;
  pb_get_encoded_size(&size, descriptor, &message);
  std::string bytes(size, '\0');
  pb_ostream_t stream =
      pb_ostream_from_buffer(reinterpret_cast<pb_byte_t*>(bytes.data()), bytes.size());
  if (!pb_encode(&stream, descriptor, &message)) {
    return {};
  }
  bytes.resize(stream.bytes_written);
  return bytes;
}

}  // namespace

std::string Encode(const Envelope& envelope) {
  Arena arena;
  pumicedyke_wire_Envelope out = pumicedyke_wire_Envelope_init_zero;
  out.cluster = arena.String(envelope.cluster);
  out.version = envelope.version;
  std::visit([&](const auto& body) { Fill(body, &arena, &out); }, envelope.body);
  return Serialize(pumicedyke_wire_Envelope_fields, out);
}

absl::StatusOr<Envelope> DecodeEnvelope(std::string_view bytes) {
  pumicedyke_wire_Envelope in = pumicedyke_wire_Envelope_init_zero;
  pb_istream_t stream =
      pb_istream_from_buffer(reinterpret_cast<const pb_byte_t*>(bytes.data()), bytes.size());
  if (!pb_decode(&stream, pumicedyke_wire_Envelope_fields, &in)) {
    return MakeStatus(ResultCode::kMalformedRequest, PB_GET_ERROR(&stream));
  }
  absl::StatusOr<Body> body = ReadBody(in);
  Envelope envelope{Text(in.cluster), in.version, {}};
  pb_release(pumicedyke_wire_Envelope_fields, &in);
  if (!body.ok()) {
    return body.status();
  }
  envelope.body = *std::move(body);
  return envelope;
}

std::string Encode(const StorageRecord& record) {
  Arena arena;
  pumicedyke_wire_StorageRecord out = pumicedyke_wire_StorageRecord_init_zero;
  if (const auto* entry = std::get_if<LogEntry>(&record)) {
    out.which_body = pumicedyke_wire_StorageRecord_entry_tag;
    Fill(*entry, &arena, &out.body.entry);
  } else if (const auto* state = std::get_if<HardState>(&record)) {
    out.which_body = pumicedyke_wire_StorageRecord_hard_state_tag;
    out.body.hard_state = {state->term, state->vote};
  } else if (const auto* snapshot = std::get_if<SnapshotData>(&record)) {
    out.which_body = pumicedyke_wire_StorageRecord_snapshot_tag;
    out.body.snapshot = arena.Array<pumicedyke_wire_SnapshotData>(1);
    Fill(*snapshot, &arena, out.body.snapshot);
  } else {
    const auto& identity = std::get<Identity>(record);
    out.which_body = pumicedyke_wire_StorageRecord_identity_tag;
    out.body.identity = {identity.member, arena.String(identity.cluster),
                         arena.String(identity.machine)};
  }
  return Serialize(pumicedyke_wire_StorageRecord_fields, out);
}

absl::StatusOr<StorageRecord> DecodeRecord(std::string_view bytes) {
  pumicedyke_wire_StorageRecord in = pumicedyke_wire_StorageRecord_init_zero;
  pb_istream_t stream =
      pb_istream_from_buffer(reinterpret_cast<const pb_byte_t*>(bytes.data()), bytes.size());
  if (!pb_decode(&stream, pumicedyke_wire_StorageRecord_fields, &in)) {
    return MakeStatus(ResultCode::kCorruptState, PB_GET_ERROR(&stream));
  }
  absl::StatusOr<StorageRecord> record =
      MakeStatus(ResultCode::kCorruptState, "record without a known body");
  switch (in.which_body) {
    case pumicedyke_wire_StorageRecord_entry_tag:
      record = Read(in.body.entry);
      break;
    case pumicedyke_wire_StorageRecord_hard_state_tag:
      record = HardState{in.body.hard_state.term, in.body.hard_state.vote};
      break;
    case pumicedyke_wire_StorageRecord_snapshot_tag:
      record = Read(*in.body.snapshot);
      break;
    case pumicedyke_wire_StorageRecord_identity_tag:
      record = Identity{in.body.identity.member, Text(in.body.identity.cluster),
                        Text(in.body.identity.machine)};
      break;
    default:
      break;
  }
  pb_release(pumicedyke_wire_StorageRecord_fields, &in);
  return record;
}

}  // namespace pumicedyke::wire
