// Incremental parsers of HTTP/1.1 requests and responses, based on Boost.Beast's parser. They
// consume exactly the bytes of one message; following bytes stay in the caller's input.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

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

class RequestParser {
 public:
  explicit RequestParser(MessageLimits limits);
  ~RequestParser();

  /// Parses the bytes that belong to the current message, and removes them from the front of
  /// `input`.
  ParseState Consume(std::string* input);
  ParseState state() const { return state_; }
  ParseError error() const { return error_; }
  /// Number of bytes of the current message that the parser has taken from its input.
  size_t held_bytes() const;
  /// Whether the sender waits for "100 Continue". Valid once the head is complete.
  bool ExpectsContinue() const;
  /// Returns the complete message and resets the parser for the next one.
  RequestMessage Take();
  /// Discards what was read of the current message.
  void Reset();

 private:
  struct Impl;
  MessageLimits limits_;
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
