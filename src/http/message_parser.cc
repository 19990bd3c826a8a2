#include "http/message_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

#include "http/head_rules.h"

namespace pumicedyke::http {
namespace {

namespace beast = boost::beast::http;
using ErrorCode = boost::beast::error_code;

/// Bytes of chunk sizes and extensions that each byte of a body may come with. A chunk of one byte
/// whose size is written with eight digits has twelve.
constexpr size_t kFramingBytesPerBodyByte = 16;
/// Bytes of the shortest end of a body in chunks: a chunk of size 0, and no trailers.
constexpr size_t kShortestLastChunk = 5;

/// A message that is being read.
template <bool is_request>
struct Reading {
  beast::parser<is_request, beast::string_body> parser;
  /// Bytes of the message that were taken from the input.
  size_t taken = 0;
  /// Those of its head.
  size_t head = 0;
  bool body_admitted = true;
  /// Whether a line of the head or of the trailers was folded.
  bool folded = false;

  /// Whether nothing after the head may be read yet.
  bool held_back() const { return parser.is_header_done() && !parser.is_done() && !body_admitted; }
  size_t body() const { return parser.get().body().size(); }
  /// Bytes after the head that are not part of the body.
  size_t framing() const { return parser.is_header_done() ? taken - head - body() : 0; }
};

template <bool is_request>
std::unique_ptr<Reading<is_request>> MakeReading(const MessageLimits& limits) {
  auto reading = std::make_unique<Reading<is_request>>();
  // An eager parser goes on to allocate an announced length although it has found it too long.
  reading->parser.eager(false);
  reading->parser.header_limit(limits.header_bytes);
  reading->parser.body_limit(limits.body_bytes);
  return reading;
}

/// Whether chunk sizes, extensions and trailers take too many bytes, with those of `rest`, which
/// belong to a size line or to trailers that have not ended yet.
template <bool is_request>
bool FramingIsTooLong(const Reading<is_request>& reading, const std::string& rest,
                      const MessageLimits& limits) {
  if (!reading.parser.is_header_done() || reading.held_back()) {
    return false;
  }
  const size_t unread = reading.parser.is_done() ? 0 : rest.size();
  return reading.framing() + unread >
         limits.header_bytes + kFramingBytesPerBodyByte * reading.body();
}

/// Whether `unread` may be the start of the last chunk, but not the whole of it. Once Beast's
/// parser has seen the size line of the last chunk, it aborts the process if it is given less than
/// the shortest one.
template <bool is_request>
bool IsPartOfLastChunk(const Reading<is_request>& reading, std::string_view unread) {
  return reading.parser.is_header_done() && reading.parser.chunked() &&
         unread.size() < kShortestLastChunk && unread.starts_with('0');
}

/// Notes what the parser has taken at once: lines of the head with all that continue them, a piece
/// of the body, the frame of a chunk, or the last chunk with all trailers.
template <bool is_request>
void NoteTaken(std::string_view bytes, bool in_head, Reading<is_request>* reading) {
  reading->taken += bytes.size();
  reading->head += in_head ? bytes.size() : 0;
  const bool in_trailers = !in_head && reading->parser.chunked() && reading->parser.is_done();
  if (in_head || in_trailers) {
    reading->folded = reading->folded || HasFoldedLine(bytes);
  }
}

/// Feeds the parser until it needs more input, is done or fails. Removes the used input.
template <bool is_request>
ErrorCode Put(const MessageLimits& limits, Reading<is_request>* reading, std::string* input) {
  auto& parser = reading->parser;
  ErrorCode error;
  size_t used = 0;
  while (used < input->size() && !parser.is_done() && !reading->held_back()) {
    const std::string_view unread = std::string_view(*input).substr(used);
    if (IsPartOfLastChunk(*reading, unread)) {
      break;
    }
    const bool in_head = !parser.is_header_done();
    const size_t taken = parser.put(boost::asio::const_buffer(unread.data(), unread.size()), error);
    used += taken;
    NoteTaken(unread.substr(0, taken), in_head, reading);
    if (error || taken == 0) {
      break;
    }
  }
  input->erase(0, used);
  if (error && error != beast::error::need_more) {
    return error;
  }
  return FramingIsTooLong(*reading, *input, limits) ? ErrorCode(beast::error::header_limit)
                                                    : ErrorCode();
}

template <bool is_request>
ParseState StateOf(const Reading<is_request>& reading, bool started) {
  if (reading.parser.is_done()) {
    return ParseState::kComplete;
  }
  if (reading.parser.is_header_done()) {
    return ParseState::kBody;
  }
  return started ? ParseState::kHead : ParseState::kEmpty;
}

/// Whether the body is coded in a way that is not decoded here. Valid once the head was read.
template <bool is_request>
bool HasUnknownCoding(const Reading<is_request>& reading) {
  const auto [begin, end] = reading.parser.get().equal_range(beast::field::transfer_encoding);
  const bool known = std::all_of(begin, end, [](const auto& field) {
    return IsOnlyChunked({field.value().data(), field.value().size()});
  });
  const bool coded = begin != end;
  return !known || coded != reading.parser.chunked();
}

/// Whether the request may be used, as far as it was read.
bool IsUsable(const Reading<true>& reading) {
  return !reading.parser.is_header_done() || !HasUnknownCoding(reading);
}

/// Whether the response may be used, as far as it was read.
bool IsUsable(const Reading<false>& reading) {
  if (reading.folded) {
    return false;
  }
  if (!reading.parser.is_header_done()) {
    return true;
  }
  const int status = static_cast<int>(reading.parser.get().result_int());
  return IsStatusOfResponse(status) && !HasUnknownCoding(reading);
}

template <class Fields>
Headers CopyHeaders(const Fields& fields) {
  Headers headers;
  for (const auto& field : fields) {
    headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

ParseError ErrorOf(const ErrorCode& error) {
  if (error == beast::error::header_limit) {
    return ParseError::kHeaderTooLarge;
  }
  if (error == beast::error::body_limit) {
    return ParseError::kBodyTooLarge;
  }
  return ParseError::kMalformed;
}

}  // namespace

struct RequestParser::Impl {
  std::unique_ptr<Reading<true>> reading;
};

RequestParser::RequestParser(MessageLimits limits, BodyReading reading)
    : limits_(limits), body_reading_(reading), impl_(std::make_unique<Impl>()) {}

RequestParser::~RequestParser() = default;

ParseState RequestParser::Consume(std::string* input) {
  if (state_ == ParseState::kFailed || state_ == ParseState::kComplete) {
    return state_;
  }
  if (impl_->reading == nullptr) {
    if (input->empty()) {
      return state_;
    }
    impl_->reading = MakeReading<true>(limits_);
    impl_->reading->body_admitted = body_reading_ == BodyReading::kAtOnce;
  }
  const bool started = !input->empty() || state_ != ParseState::kEmpty;
  const ErrorCode error = Put(limits_, impl_->reading.get(), input);
  if (error || !IsUsable(*impl_->reading)) {
    error_ = ErrorOf(error);
    impl_->reading.reset();
    state_ = ParseState::kFailed;
  } else {
    state_ = StateOf(*impl_->reading, started);
  }
  return state_;
}

size_t RequestParser::held_bytes() const {
  return impl_->reading == nullptr ? 0 : impl_->reading->taken;
}

bool RequestParser::ExpectsContinue() const {
  const auto& message = impl_->reading->parser.get();
  return boost::beast::iequals(message[beast::field::expect], "100-continue");
}

std::optional<uint64_t> RequestParser::AnnouncedBodyBytes() const {
  const boost::optional<uint64_t> announced = impl_->reading->parser.content_length();
  return announced ? std::optional<uint64_t>(*announced) : std::nullopt;
}

std::string_view RequestParser::HeaderValue(std::string_view name) const {
  const boost::beast::string_view value =
      impl_->reading->parser.get()[boost::beast::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

bool RequestParser::AwaitsAdmission() const {
  return impl_->reading != nullptr && impl_->reading->held_back();
}

void RequestParser::AdmitBody() { impl_->reading->body_admitted = true; }

RequestMessage RequestParser::Take() {
  auto& message = impl_->reading->parser.get();
  RequestMessage request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = CopyHeaders(message);
  request.keep_alive = message.keep_alive();
  request.body = std::move(message.body());
  Reset();
  return request;
}

void RequestParser::Reset() {
  impl_->reading.reset();
  state_ = ParseState::kEmpty;
}

struct ResponseParser::Impl {
  std::unique_ptr<Reading<false>> reading;
};

ResponseParser::ResponseParser(MessageLimits limits, bool to_head)
    : limits_(limits), to_head_(to_head), impl_(std::make_unique<Impl>()) {}

ResponseParser::~ResponseParser() = default;

ParseState ResponseParser::Consume(std::string* input) {
  if (state_ == ParseState::kFailed || state_ == ParseState::kComplete) {
    return state_;
  }
  if (impl_->reading == nullptr) {
    impl_->reading = MakeReading<false>(limits_);
    impl_->reading->parser.skip(to_head_);
  }
  const bool started = !input->empty() || state_ != ParseState::kEmpty;
  const ErrorCode error = Put(limits_, impl_->reading.get(), input);
  if (error || !IsUsable(*impl_->reading)) {
    impl_->reading.reset();
    state_ = ParseState::kFailed;
  } else {
    state_ = StateOf(*impl_->reading, started);
  }
  return state_;
}

size_t ResponseParser::held_bytes() const {
  return impl_->reading == nullptr ? 0 : impl_->reading->taken;
}

ParseState ResponseParser::ConsumeEnd() {
  if (state_ == ParseState::kBody && impl_->reading->parser.need_eof()) {
    ErrorCode error;
    impl_->reading->parser.put_eof(error);
    state_ = error ? ParseState::kFailed : ParseState::kComplete;
  } else if (state_ != ParseState::kComplete) {
    state_ = ParseState::kFailed;
  }
  return state_;
}

ResponseMessage ResponseParser::Take() {
  auto& message = impl_->reading->parser.get();
  ResponseMessage response;
  response.status = static_cast<int>(message.result_int());
  response.reason = std::string(message.reason());
  response.headers = CopyHeaders(message);
  response.keep_alive = message.keep_alive() && !impl_->reading->parser.need_eof();
  response.body = std::move(message.body());
  impl_->reading.reset();
  state_ = ParseState::kEmpty;
  return response;
}

}  // namespace pumicedyke::http
