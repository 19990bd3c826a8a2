#include "gateway/messages.h"

namespace pumicedyke::gateway {

std::shared_ptr<const std::string> HeadWithCallerHeaders(const PayloadRequest& request) {
  if (request.caller_headers.empty()) {
    return nullptr;
  }
  std::string head = request.encoded_head;
  http::AppendHeaders(request.caller_headers, &head);
  return std::make_shared<const std::string>(std::move(head));
}

}  // namespace pumicedyke::gateway
