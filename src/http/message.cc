#include "http/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace pumicedyke::http {
namespace {

constexpr std::array<std::string_view, 8> kConnectionHeaders = {
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "expect"};
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr size_t kHeadReserve = 512;

absl::string_view View(std::string_view text) { return {text.data(), text.size()}; }

}  // namespace

void AppendHeader(std::string_view name, std::string_view value, std::string* text) {
  text->append(name).append(": ").append(value).append("\r\n");
}

void AppendHeaders(const Headers& headers, std::string* text) {
  for (const Header& header : headers) {
    AppendHeader(header.name, header.value, text);
  }
}

bool SameName(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(View(a), View(b));
}

const std::string* FindHeader(const Headers& headers, std::string_view name) {
  const auto it = std::find_if(headers.begin(), headers.end(), [name](const Header& header) {
    return SameName(header.name, name);
  });
  return it == headers.end() ? nullptr : &it->value;
}

bool HasToken(const Headers& headers, std::string_view name, std::string_view token) {
  for (const Header& header : headers) {
    if (!SameName(header.name, name)) {
      continue;
    }
    for (const absl::string_view item : absl::StrSplit(View(header.value), ',')) {
      if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(item), View(token))) {
        return true;
      }
    }
  }
  return false;
}

bool IsHopByHop(const Headers& headers, std::string_view name) {
  const bool always =
      std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                  [name](std::string_view listed) { return SameName(listed, name); });
  return always || HasToken(headers, "Connection", name);
}

std::string_view ReasonPhrase(int status) {
  const auto phrase =
      boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
  return {phrase.data(), phrase.size()};
}

std::string EncodeHead(std::string_view method, std::string_view target, const Headers& headers) {
  std::string text;
  text.reserve(kHeadReserve);
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendHeaders(headers, &text);
  return text;
}

void AppendEndOfHead(std::string_view method, size_t body_bytes, bool keep_alive,
                     std::string* text) {
  const bool expects_body = method == "POST" || method == "PUT" || method == "PATCH";
  if (body_bytes > 0 || expects_body) {
    AppendHeader("Content-Length", std::to_string(body_bytes), text);
  }
  if (!keep_alive) {
    AppendHeader("Connection", "close", text);
  }
  text->append("\r\n");
}

std::string EncodeRequest(const RequestMessage& request) {
  std::string text = EncodeHead(request.method, request.target, request.headers);
  AppendEndOfHead(request.method, request.body.size(), request.keep_alive, &text);
  text.append(request.body);
  return text;
}

std::string EncodeResponse(const ResponseMessage& response, bool head_only) {
  std::string text;
  text.reserve(kHeadReserve + response.body.size());
  text.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  text.append(response.reason.empty() ? ReasonPhrase(response.status) : response.reason);
  text.append("\r\n");
  AppendHeaders(response.headers, &text);
  const bool bodiless = response.status == kNoContent || response.status == kNotModified;
  if (!bodiless) {
    AppendHeader("Content-Length", std::to_string(response.body.size()), &text);
  }
  if (!response.keep_alive) {
    AppendHeader("Connection", "close", &text);
  }
  text.append("\r\n");
  if (!bodiless && !head_only) {
    text.append(response.body);
  }
  return text;
}

}  // namespace pumicedyke::http
