#include "e2e/whole_response.h"

namespace pumicedyke::e2e {
namespace {

constexpr char kVersion[] = "HTTP/1.1 ";
constexpr char kLengthHeader[] = "Content-Length: ";
constexpr char kHeadEnd[] = "\r\n\r\n";
constexpr size_t kStatusDigits = 3;

}  // namespace

bool IsWholeResponse(const std::string& text) {
  const size_t length = text.find(kLengthHeader);
  const size_t head_end = text.find(kHeadEnd);
  if (!text.starts_with(kVersion) || length == std::string::npos || head_end == std::string::npos) {
    return false;
  }
  const size_t announced = std::stoul(text.substr(length + sizeof(kLengthHeader) - 1));
  return text.size() == head_end + sizeof(kHeadEnd) - 1 + announced;
}

int StatusOf(const std::string& response) {
  const size_t digits = sizeof(kVersion) - 1;
  const bool has_status =
      response.starts_with(kVersion) && response.find("\r\n") != std::string::npos;
  return has_status ? std::stoi(response.substr(digits, kStatusDigits)) : 0;
}

}  // namespace pumicedyke::e2e
