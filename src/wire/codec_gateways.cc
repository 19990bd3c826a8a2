#include "wire/codec_gateways.h"

#include <utility>

namespace pumicedyke::wire {
namespace {

pumicedyke_wire_RequestIdentity Fill(const RequestIdentity& identity) {
  return {identity.high, identity.low};
}

RequestIdentity Read(const pumicedyke_wire_RequestIdentity& in) { return {in.high, in.low}; }

pumicedyke_wire_RequestIdentity* FillAll(const std::vector<RequestIdentity>& identities,
                                         Arena* arena, pb_size_t* count) {
  *count = static_cast<pb_size_t>(identities.size());
  auto* list = arena->Array<pumicedyke_wire_RequestIdentity>(identities.size());
  std::transform(identities.begin(), identities.end(), list,
                 [](const RequestIdentity& identity) { return Fill(identity); });
  return list;
}

}  // namespace

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
  out.used = presence.used;
}

GatewayPresence Read(const pumicedyke_wire_GatewayPresence& in) {
  return {Text(in.node),   in.incarnation,        Text(in.address), Text(in.zone),    in.serving,
          in.leaf_version, Text(in.peer_address), in.wants_peers,   in.peers_version, in.used};
}

void Fill(const LeafFeed& feed, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_leaf_feed_tag;
  pumicedyke_wire_LeafFeed& out = envelope->body.leaf_feed;
  out.from_version = feed.from_version;
  out.version = feed.version;
  out.gateways = feed.gateways;
  out.zone = arena->String(feed.zone);
  out.current = feed.current;
  out.gateways_used = feed.gateways_used;
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
  out.gone = arena->Strings(feed.removed, &out.gone_count);
  out.control = arena->Strings(feed.control, &out.control_count);
}

LeafFeed Read(const pumicedyke_wire_LeafFeed& in) {
  LeafFeed feed{in.from_version, in.version,      {}, {}, {}, in.gateways, Text(in.zone),
                in.current,      in.gateways_used};
  for (pb_size_t i = 0; i < in.records_count; ++i) {
    const pumicedyke_wire_LeafRecord& record = in.records[i];
    feed.records.push_back({Text(record.leaf), Text(record.service), Text(record.address),
                            Text(record.zone), record.slots, record.draining,
                            record.cold_milliseconds, record.born_ms});
  }
  feed.removed = Texts(in.gone, in.gone_count);
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
  out.gone = arena->Strings(feed.removed, &out.gone_count);
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
  out.again = query.reassigned;
  out.stand_by = query.await_confirmation;
  out.groups = query.groups;
  out.shards = arena->Strings(query.shards, &out.shards_count);
  out.homes = arena->Strings(query.allowed_regions, &out.homes_count);
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
  query.reassigned = in.again;
  query.await_confirmation = in.stand_by;
  query.groups = in.groups;
  query.shards = Texts(in.shards, in.shards_count);
  query.allowed_regions = Texts(in.homes, in.homes_count);
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
    out.lost[i] = {true,
                   Fill(run.identity),
                   run.attempt,
                   arena->String(run.leaf),
                   arena->String(run.service),
                   run.trial};
  }
  out.succeeded = FillAll(report.succeeded, arena, &out.succeeded_count);
  out.answering = arena->Strings(report.alive_leafs, &out.answering_count);
  out.relayed = report.relayed;
  out.reporter = report.reporter;
  out.number = report.number;
  out.age_us = static_cast<uint64_t>(report.age.count());
  out.from_control = report.from_control;
}

void Fill(const RunReportAck& ack, Arena* /*arena*/, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_run_report_taken_tag;
  envelope->body.run_report_taken.number = ack.number;
}

RunReport Read(const pumicedyke_wire_RunReport& in) {
  RunReport report;
  for (pb_size_t i = 0; i < in.lost_count; ++i) {
    const pumicedyke_wire_LostRun& run = in.lost[i];
    report.lost.push_back(
        {Read(run.identity), run.attempt, Text(run.leaf), Text(run.service), run.trial});
  }
  report.succeeded = ReadAll(in.succeeded, in.succeeded_count);
  report.alive_leafs = Texts(in.answering, in.answering_count);
  report.relayed = in.relayed;
  report.reporter = in.reporter;
  report.number = in.number;
  report.age = Duration(static_cast<int64_t>(in.age_us));
  report.from_control = in.from_control;
  return report;
}

void Fill(const TrialRequest& request, Arena* /*arena*/, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_trial_request_tag;
  envelope->body.trial_request = {true, Fill(request.identity), request.attempt, request.returned};
}

TrialRequest Read(const pumicedyke_wire_TrialRequest& in) {
  return {Read(in.identity), in.attempt, in.returned};
}

void Fill(const TrialReply& reply, Arena* /*arena*/, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_trial_reply_tag;
  envelope->body.trial_reply = {true,          Fill(reply.identity),
                                reply.attempt, static_cast<uint32_t>(reply.verdict),
                                reply.number,  static_cast<uint64_t>(reply.retry_after.count())};
}

TrialReply Read(const pumicedyke_wire_TrialReply& in) {
  return {Read(in.identity), in.attempt, static_cast<TrialVerdict>(in.verdict), in.number,
          Duration(static_cast<int64_t>(in.retry_after_us))};
}

void Fill(const LimitRequest& ask, Arena* arena, pumicedyke_wire_Envelope* envelope) {
  envelope->which_body = pumicedyke_wire_Envelope_limit_ask_tag;
  envelope->body.limit_ask = {
      ask.id,         arena->String(ask.tenant), ask.part, ask.wanted, ask.claim, ask.returned,
      ask.returned_of};
}

LimitRequest Read(const pumicedyke_wire_LimitAsk& in) {
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

}  // namespace pumicedyke::wire
