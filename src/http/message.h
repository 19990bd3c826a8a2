// HTTP/1.1 messages as values, and their encoding. Header names are compared case-insensitively.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pumicedyke::http {

struct Header {
  std::string name;
  std::string value;
  bool operator==(const Header&) const = default;
};
using Headers = std::vector<Header>;

bool SameName(std::string_view a, std::string_view b);
/// @return the value of the first header of that name, or null.
const std::string* FindHeader(const Headers& headers, std::string_view name);
/// Whether a header with a list of tokens (Connection, for instance) contains `token`.
bool HasToken(const Headers& headers, std::string_view name, std::string_view token);
/// Whether a header applies to one connection only and must not be forwarded (RFC 9110, 7.6.1).
/// Includes the headers that Connection names.
bool IsHopByHop(const Headers& headers, std::string_view name);

struct RequestMessage {
  std::string method;
  /// Path and query as received, not decoded.
  std::string target;
  Headers headers;
  std::string body;
  /// Whether the sender intends to reuse the connection.
  bool keep_alive = true;
};

struct ResponseMessage {
  int status = 0;
  std::string reason;
  Headers headers;
  std::string body;
  bool keep_alive = true;
};

/// Returns the standard reason phrase, or "Unknown" for numbers without one.
std::string_view ReasonPhrase(int status);

/// Encodes the request line and headers, without the empty line that ends the head.
std::string EncodeHead(std::string_view method, std::string_view target, const Headers& headers);
/// Ends the head of a request whose body follows. Adds Content-Length if there is a body or the
/// method expects one. @param keep_alive whether the sender intends to reuse the connection.
void AppendEndOfHead(std::string_view method, size_t body_bytes, bool keep_alive,
                     std::string* text);
void AppendHeader(std::string_view name, std::string_view value, std::string* text);
void AppendHeaders(const Headers& headers, std::string* text);
/// Encodes a request. Adds Content-Length if there is a body or the method expects one.
std::string EncodeRequest(const RequestMessage& request);
/// Encodes a response. @param head_only the response answers HEAD: Content-Length without a body.
std::string EncodeResponse(const ResponseMessage& response, bool head_only);

}  // namespace pumicedyke::http
