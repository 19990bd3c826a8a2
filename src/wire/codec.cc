#include "wire/codec.h"

#include <pb_decode.h>
#include <pb_encode.h>

#include <algorithm>

#include "common/result_code.h"
#include "generated/internal.pb.h"
#include "wire/arena.h"
#include "wire/codec_gateways.h"

namespace pumicedyke::wire {
namespace {

// Overloads for the messages of gateways, in addition to those below.
using wire::Fill;
using wire::Read;

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
      return Body(RunReportAck{in.body.run_report_taken.number});
    case pumicedyke_wire_Envelope_trial_request_tag:
      return Body(Read(in.body.trial_request));
    case pumicedyke_wire_Envelope_trial_reply_tag:
      return Body(Read(in.body.trial_reply));
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
