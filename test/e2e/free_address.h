// Addresses for the processes of a test, which test programs that run at the same time do not take
// from each other.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pumicedyke::e2e {

/// Returns a loopback address whose port is currently free. No other test program returns the same
/// port while this one runs, so that a process may be restarted at its address. Not thread-safe.
std::string FreeAddress();

/// Ports of one test program, taken from blocks. The first port of each block is held, bound, as
/// long as this object exists, which reserves the block among all test programs. Not thread-safe.
class PortBlocks {
 public:
  /// A soak with a dozen gateways and sixty leafs needs about 150 ports.
  static constexpr uint16_t kPortsPerBlock = 400;

  PortBlocks() = default;
  ~PortBlocks();
  PortBlocks(const PortBlocks&) = delete;
  PortBlocks& operator=(const PortBlocks&) = delete;

  /// Returns the next port that is free. Once no block is left to reserve, the own ports are
  /// returned again, those of the oldest block first.
  uint16_t Next();

 private:
  struct Block {
    uint16_t first_port = 0;
    /// Bound to the first port.
    int socket = -1;
  };

  void StartBlock();

  std::vector<Block> blocks_;
  /// The block in use, and the number of ports taken from it.
  size_t current_ = 0;
  uint16_t taken_ = kPortsPerBlock;
};

}  // namespace pumicedyke::e2e
