// Incremental parsers of HTTP/1.1 requests and responses, based on Boost.Beast's parser. They
// consume exactly the bytes of one message; following bytes stay in the caller's input. What that
// parser reads but head_rules.h refuses is malformed, too.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"

namespace pumicedyke::http {

struct MessageLimits {
  /// Also bounds what frames a body in chunks (sizes, extensions and trailers), beyond a few bytes
  /// for each byte of the body.
  uint32_t header_bytes = 64 * 1024;
  /// Checked before memory is allocated for an announced length.
  uint64_t body_bytes = 64 << 20;
};

enum class ParseState {
  /// No byte of a message was received yet.
  kEmpty,
  /// The head is incomplete.
  kHead,
  /// The head is complete, the body is not.
  kBody,
  kComplete,
  kFailed,
};

enum class ParseError { kNone, kMalformed, kHeaderTooLarge, kBodyTooLarge };

/// What a RequestParser does at the end of a head.
enum class BodyReading {
  /// It goes on with the body.
  kAtOnce,
  /// It goes on once AdmitBody() was called; until then no memory is taken for the body.
  kOnceAdmitted,
};

class RequestParser {
 public:
  explicit RequestParser(MessageLimits limits, BodyReading reading = BodyReading::kAtOnce);
  ~RequestParser();

  /// Applies to the next message. Must not be called while one is read.
  void SetLimits(const MessageLimits& limits) { limits_ = limits; }
  const MessageLimits& limits() const { return limits_; }

  /// Parses the bytes that belong to the current message, and removes them from the front of
  /// `input`.
  ParseState Consume(std::string* input);
  ParseState state() const { return state_; }
  ParseError error() const { return error_; }
  /// Number of bytes of the current message that the parser has taken from its input.
  size_t held_bytes() const;
  /// Whether the sender waits for "100 Continue". Valid in state kBody.
  bool ExpectsContinue() const;
  /// The announced length of the body; unset if it comes in chunks. Valid in state kBody.
  std::optional<uint64_t> AnnouncedBodyBytes() const;
  /// A header of the request; empty if there is none. Valid once the head is complete, until the
  /// next call.
  std::string_view HeaderValue(std::string_view name) const;
  /// Whether the body waits for AdmitBody(). Valid in state kBody.
  bool AwaitsAdmission() const;
  void AdmitBody();
  /// Returns the complete message and resets the parser for the next one.
  RequestMessage Take();
  /// Discards what was read of the current message.
  void Reset();

 private:
  struct Impl;
  MessageLimits limits_;
  BodyReading body_reading_;
  std::unique_ptr<Impl> impl_;
  ParseState state_ = ParseState::kEmpty;
  ParseError error_ = ParseError::kNone;
};

class ResponseParser {
 public:
  /// @param to_head whether the response answers HEAD and so has no body.
  ResponseParser(MessageLimits limits, bool to_head);
  ~ResponseParser();

  ParseState Consume(std::string* input);
  /// Handles an orderly close of the connection, which completes a response without a length.
  ParseState ConsumeEnd();
  ParseState state() const { return state_; }
  /// Number of bytes of the current message that the parser has taken from its input.
  size_t held_bytes() const;
  ResponseMessage Take();

 private:
  struct Impl;
  MessageLimits limits_;
  bool to_head_;
  std::unique_ptr<Impl> impl_;
  ParseState state_ = ParseState::kEmpty;
};

}  // namespace pumicedyke::http
