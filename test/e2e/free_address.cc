#include "e2e/free_address.h"

#include <cppunit/TestAssert.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"

namespace pumicedyke::e2e {
namespace {

// Below the system's range for ports of outgoing connections. Such a connection could otherwise
// take a port before the process that it is meant for listens on it.
constexpr uint16_t kFirstPort = 10000;
constexpr uint16_t kBlocks = 50;

/// Binds the port. @return the socket; -1: the port is in use.
int BindPort(uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_ANY);
  address.sin_port = htons(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    return fd;
  }
  ::close(fd);
  return -1;
}

bool IsFree(uint16_t port) {
  const int fd = BindPort(port);
  if (fd >= 0) {
    ::close(fd);
  }
  return fd >= 0;
}

}  // namespace

PortBlocks::~PortBlocks() {
  for (const Block& block : blocks_) {
    ::close(block.socket);
  }
}

uint16_t PortBlocks::Next() {
  for (int tries = 0; tries < kBlocks * kPortsPerBlock; ++tries) {
    if (taken_ == kPortsPerBlock) {
      StartBlock();
    }
    const auto port = static_cast<uint16_t>(blocks_[current_].first_port + taken_++);
    if (IsFree(port)) {
      return port;
    }
  }
  CPPUNIT_FAIL("no free port");
  return 0;
}

void PortBlocks::StartBlock() {
  // The first port is the one that reserves the block.
  taken_ = 1;
  for (uint16_t i = 0; i < kBlocks; ++i) {
    const auto first_port = static_cast<uint16_t>(kFirstPort + i * kPortsPerBlock);
    const int socket = BindPort(first_port);
    if (socket >= 0) {
      blocks_.push_back({first_port, socket});
      current_ = blocks_.size() - 1;
      return;
    }
  }
  CPPUNIT_ASSERT_MESSAGE("no free block of ports", !blocks_.empty());
  current_ = (current_ + 1) % blocks_.size();
}

std::string FreeAddress() {
  static PortBlocks blocks;
  return absl::StrCat("127.0.0.1:", blocks.Next());
}

}  // namespace pumicedyke::e2e
