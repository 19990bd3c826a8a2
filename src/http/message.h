// HTTP/1.1 messages as values, and their text. Names of headers compare without case.
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
/// @return the first header of that name, or null.
const std::string* FindHeader(const Headers& headers, std::string_view name);
/// Whether a header with a list of tokens (Connection, for instance) holds `token`.
bool HasToken(const Headers& headers, std::string_view name, std::string_view token);
/// Headers that concern one connection only and must not be passed on (RFC 9110, 7.6.1), those
/// named by Connection included.
bool IsHopByHop(const Headers& headers, std::string_view name);

struct RequestMessage {
  std::string method;
  /// As it came: path and query, not decoded.
  std::string target;
  Headers headers;
  std::string body;
  /// The sender means to use the connection again.
  bool keep_alive = true;
};

struct ResponseMessage {
  int status = 0;
  std::string reason;
  Headers headers;
  std::string body;
  bool keep_alive = true;
};

/// The usual reason phrase; "Unknown" for numbers without one.
std::string_view ReasonPhrase(int status);

/// The request line and headers, without the empty line that ends a head.
std::string EncodeHead(std::string_view method, std::string_view target, const Headers& headers);
/// Ends a head: Content-Length if there is a body or the method expects one, the empty line, the
/// body. @param keep_alive the sender means to use the connection again.
void AppendBody(std::string_view method, std::string_view body, bool keep_alive, std::string* text);
void AppendHeader(std::string_view name, std::string_view value, std::string* text);
void AppendHeaders(const Headers& headers, std::string* text);
/// The text of a request with Content-Length if there is a body or the method expects one.
std::string EncodeRequest(const RequestMessage& request);
/// The text of an answer. @param head_only the answer to HEAD: length without body.
std::string EncodeResponse(const ResponseMessage& response, bool head_only);

}  // namespace pumicedyke::http
