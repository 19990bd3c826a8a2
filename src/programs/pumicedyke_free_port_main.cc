// Prints a currently free TCP port on loopback, for test fleets whose processes must know each
// other's ports before they start.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <iostream>

int main() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  const bool ok = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
                  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0;
  if (!ok) {
    std::cerr << "no free port\n";
    return 1;
  }
  std::cout << ntohs(address.sin_port) << "\n";
  ::close(descriptor);
  return 0;
}
