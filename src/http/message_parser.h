// Incremental parsers of HTTP/1.1 requests and responses, over Boost.Beast's parser. They see
// exactly the bytes of the connection: what comes after a message stays with the caller.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "http/message.h"

namespace pumicedyke::http {

struct MessageLimits {
  uint32_t header_bytes = 64 * 1024;
  uint64_t body_bytes = 64 << 20;
};

enum class ParseState {
  /// Nothing of a message has come yet.
  kEmpty,
  /// The head is not whole yet.
  kHead,
  /// The head is whole, the body is not.
  kBody,
  kComplete,
  kFailed,
};

enum class ParseError { kNone, kMalformed, kHeaderTooLarge, kBodyTooLarge };

class RequestParser {
 public:
  explicit RequestParser(MessageLimits limits);
  ~RequestParser();

  /// Takes as much as belongs to the current message and removes it from the front of `input`.
  ParseState Consume(std::string* input);
  ParseState state() const { return state_; }
  ParseError error() const { return error_; }
  /// Valid once the head is whole: the sender waits for "100 Continue".
  bool ExpectsContinue() const;
  /// The whole message; the parser is ready for the next one.
  RequestMessage Take();

 private:
  struct Impl;
  MessageLimits limits_;
  std::unique_ptr<Impl> impl_;
  ParseState state_ = ParseState::kEmpty;
  ParseError error_ = ParseError::kNone;
};

class ResponseParser {
 public:
  /// @param to_head the response answers HEAD and has no body.
  ResponseParser(MessageLimits limits, bool to_head);
  ~ResponseParser();

  ParseState Consume(std::string* input);
  /// The connection was closed in order: completes a response that has no length.
  ParseState ConsumeEnd();
  ParseState state() const { return state_; }
  ResponseMessage Take();

 private:
  struct Impl;
  MessageLimits limits_;
  bool to_head_;
  std::unique_ptr<Impl> impl_;
  ParseState state_ = ParseState::kEmpty;
};

}  // namespace pumicedyke::http
