// The part of the codec for messages of gateways: presence, leafs, partial queries, lost runs and
// tenant limits. For use by codec.cc only.
#pragma once

#include "generated/internal.pb.h"
#include "wire/arena.h"
#include "wire/messages.h"

namespace pumicedyke::wire {

/// Fills an envelope. @pre the message and the arena outlive the envelope.
void Fill(const GatewayPresence& presence, Arena* arena, pumicedyke_wire_Envelope* envelope);
void Fill(const LeafFeed& feed, Arena* arena, pumicedyke_wire_Envelope* envelope);
void Fill(const GatewayFeed& feed, Arena* arena, pumicedyke_wire_Envelope* envelope);
void Fill(const PartialQuery& query, Arena* arena, pumicedyke_wire_Envelope* envelope);
void Fill(const PartialCancel& cancel, Arena* arena, pumicedyke_wire_Envelope* envelope);
void Fill(const PartialConfirm& confirm, Arena* arena, pumicedyke_wire_Envelope* envelope);
void Fill(const PartialAnswer& answer, Arena* arena, pumicedyke_wire_Envelope* envelope);
void Fill(const SuspectNotice& notice, Arena* arena, pumicedyke_wire_Envelope* envelope);
void Fill(const RunReport& report, Arena* arena, pumicedyke_wire_Envelope* envelope);
void Fill(const RunReportAck& ack, Arena* arena, pumicedyke_wire_Envelope* envelope);
void Fill(const TrialRequest& request, Arena* arena, pumicedyke_wire_Envelope* envelope);
void Fill(const TrialReply& reply, Arena* arena, pumicedyke_wire_Envelope* envelope);
void Fill(const LimitRequest& ask, Arena* arena, pumicedyke_wire_Envelope* envelope);
void Fill(const LimitGrant& grant, Arena* arena, pumicedyke_wire_Envelope* envelope);

/// Reads a message from a decoded envelope.
GatewayPresence Read(const pumicedyke_wire_GatewayPresence& in);
LeafFeed Read(const pumicedyke_wire_LeafFeed& in);
GatewayFeed Read(const pumicedyke_wire_GatewayFeed& in);
PartialQuery Read(const pumicedyke_wire_PartialQuery& in);
PartialAnswer Read(const pumicedyke_wire_PartialAnswer& in);
RunReport Read(const pumicedyke_wire_RunReport& in);
TrialRequest Read(const pumicedyke_wire_TrialRequest& in);
TrialReply Read(const pumicedyke_wire_TrialReply& in);
LimitRequest Read(const pumicedyke_wire_LimitAsk& in);
LimitGrant Read(const pumicedyke_wire_LimitGrant& in);
std::vector<RequestIdentity> ReadAll(const pumicedyke_wire_RequestIdentity* list, pb_size_t count);

}  // namespace pumicedyke::wire
