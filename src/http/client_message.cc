#include "http/client_message.h"

#include <algorithm>

#include "absl/strings/numbers.h"

namespace pumicedyke::http {
namespace {

std::string MethodOf(const ClientRequest& request) {
  if (!request.method.empty()) {
    return request.method;
  }
  return request.body_text().empty() ? "GET" : "POST";
}

std::string EncodeOwnHead(const ClientRequest& request) {
  Headers headers;
  if (FindHeader(request.headers, "Host") == nullptr) {
    headers.push_back({"Host", request.address});
  }
  return EncodeHead(MethodOf(request), request.path, headers);
}

}  // namespace

Duration KeepAliveTimeout(const Headers& headers) {
  const std::string* value = FindHeader(headers, "Keep-Alive");
  if (value == nullptr) {
    return Duration(0);
  }
  const std::string key = "timeout=";
  const size_t at = value->find(key);
  if (at == std::string::npos) {
    return Duration(0);
  }
  const size_t begin = at + key.size();
  const size_t end = value->find_first_not_of("0123456789", begin);
  int64_t seconds = 0;
  return absl::SimpleAtoi(value->substr(begin, end - begin), &seconds) ? Seconds(seconds)
                                                                       : Duration(0);
}

Duration RetryAfter(const Headers& headers) {
  const std::string* value = FindHeader(headers, "Retry-After");
  double seconds = 0;
  const bool readable = value != nullptr && absl::SimpleAtod(*value, &seconds) && seconds > 0;
  constexpr double kMicroseconds = 1e6;
  return readable ? Duration(static_cast<int64_t>(seconds * kMicroseconds)) : Duration(0);
}

std::string EncodeRequestHead(const ClientRequest& request, Duration elapsed) {
  std::string text = request.shared_head != nullptr ? *request.shared_head : EncodeOwnHead(request);
  AppendHeaders(request.headers, &text);
  if (!request.budget_header.empty()) {
    const auto left = static_cast<int64_t>(ToMilliseconds(request.budget - elapsed));
    AppendHeader(request.budget_header, std::to_string(std::max<int64_t>(1, left)), &text);
  }
  if (request.method.empty() && !request.body_text().empty()) {
    AppendHeader("Content-Type", "application/json", &text);
  }
  if (!request.idempotency_key.empty()) {
    AppendHeader("Idempotency-Key", request.idempotency_key, &text);
  }
  if (!request.authorization.empty()) {
    AppendHeader("Authorization", request.authorization, &text);
  }
  AppendEndOfHead(MethodOf(request), request.body_text().size(), /*keep_alive=*/true, &text);
  return text;
}

}  // namespace pumicedyke::http
