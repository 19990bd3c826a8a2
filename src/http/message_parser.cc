#include "http/message_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

namespace pumicedyke::http {
namespace {

namespace beast = boost::beast::http;
using ErrorCode = boost::beast::error_code;

template <bool is_request>
using Parser = beast::parser<is_request, beast::string_body>;

template <bool is_request>
std::unique_ptr<Parser<is_request>> MakeParser(const MessageLimits& limits) {
  auto parser = std::make_unique<Parser<is_request>>();
  parser->eager(true);
  parser->header_limit(limits.header_bytes);
  parser->body_limit(limits.body_bytes);
  return parser;
}

/// Feeds the parser until it needs more input, is done or fails. Removes the used input.
template <bool is_request>
ErrorCode Put(Parser<is_request>* parser, std::string* input) {
  ErrorCode error;
  size_t used = 0;
  while (used < input->size() && !parser->is_done()) {
    const size_t taken =
        parser->put(boost::asio::const_buffer(input->data() + used, input->size() - used), error);
    used += taken;
    if (error || taken == 0) {
      break;
    }
  }
  input->erase(0, used);
  return error == beast::error::need_more ? ErrorCode() : error;
}

template <bool is_request>
ParseState StateOf(const Parser<is_request>& parser, bool started) {
  if (parser.is_done()) {
    return ParseState::kComplete;
  }
  if (parser.is_header_done()) {
    return ParseState::kBody;
  }
  return started ? ParseState::kHead : ParseState::kEmpty;
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
  std::unique_ptr<Parser<true>> parser;
};

RequestParser::RequestParser(MessageLimits limits)
    : limits_(limits), impl_(std::make_unique<Impl>()) {}

RequestParser::~RequestParser() = default;

ParseState RequestParser::Consume(std::string* input) {
  if (state_ == ParseState::kFailed || state_ == ParseState::kComplete) {
    return state_;
  }
  if (impl_->parser == nullptr) {
    if (input->empty()) {
      return state_;
    }
    impl_->parser = MakeParser<true>(limits_);
  }
  const bool started = !input->empty() || state_ != ParseState::kEmpty;
  const ErrorCode error = Put(impl_->parser.get(), input);
  if (error) {
    error_ = ErrorOf(error);
    state_ = ParseState::kFailed;
  } else {
    state_ = StateOf(*impl_->parser, started);
  }
  return state_;
}

bool RequestParser::ExpectsContinue() const {
  const auto& message = impl_->parser->get();
  return boost::beast::iequals(message[beast::field::expect], "100-continue");
}

RequestMessage RequestParser::Take() {
  auto& message = impl_->parser->get();
  RequestMessage request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = CopyHeaders(message);
  request.keep_alive = message.keep_alive();
  request.body = std::move(message.body());
  impl_->parser.reset();
  state_ = ParseState::kEmpty;
  return request;
}

struct ResponseParser::Impl {
  std::unique_ptr<Parser<false>> parser;
};

ResponseParser::ResponseParser(MessageLimits limits, bool to_head)
    : limits_(limits), to_head_(to_head), impl_(std::make_unique<Impl>()) {}

ResponseParser::~ResponseParser() = default;

ParseState ResponseParser::Consume(std::string* input) {
  if (state_ == ParseState::kFailed || state_ == ParseState::kComplete) {
    return state_;
  }
  if (impl_->parser == nullptr) {
    impl_->parser = MakeParser<false>(limits_);
    impl_->parser->skip(to_head_);
  }
  const bool started = !input->empty() || state_ != ParseState::kEmpty;
  const ErrorCode error = Put(impl_->parser.get(), input);
  state_ = error ? ParseState::kFailed : StateOf(*impl_->parser, started);
  return state_;
}

ParseState ResponseParser::ConsumeEnd() {
  if (state_ == ParseState::kBody && impl_->parser->need_eof()) {
    ErrorCode error;
    impl_->parser->put_eof(error);
    state_ = error ? ParseState::kFailed : ParseState::kComplete;
  } else if (state_ != ParseState::kComplete) {
    state_ = ParseState::kFailed;
  }
  return state_;
}

ResponseMessage ResponseParser::Take() {
  auto& message = impl_->parser->get();
  ResponseMessage response;
  response.status = static_cast<int>(message.result_int());
  response.reason = std::string(message.reason());
  response.headers = CopyHeaders(message);
  response.keep_alive = message.keep_alive() && !impl_->parser->need_eof();
  response.body = std::move(message.body());
  impl_->parser.reset();
  state_ = ParseState::kEmpty;
  return response;
}

}  // namespace pumicedyke::http
