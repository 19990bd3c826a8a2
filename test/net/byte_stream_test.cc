// Tests the options of a stream's socket that the operating system heeds after the process has
// ended.
#include "net/byte_stream.h"

#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <string>

#include "net/event_loop.h"

namespace pumicedyke::net {
namespace {

/// Returns for how many milliseconds the peer may leave bytes unacknowledged.
unsigned UserTimeout(ACE_HANDLE handle) {
  unsigned milliseconds = 0;
  socklen_t length = sizeof(milliseconds);
  CPPUNIT_ASSERT_EQUAL(0,
                       ::getsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, &length));
  return milliseconds;
}

}  // namespace

class ByteStreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ByteStreamTest);
  CPPUNIT_TEST(LastBytesWaitForASlowReader);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against last answers that the system drops after seconds although the client still
  /// reads, with pauses.
  void LastBytesWaitForASlowReader() {
    constexpr unsigned kPartitionedMilliseconds = 4000;
    constexpr unsigned kSlowReaderMilliseconds = 30000;
    EventLoop loop;
    ByteStream stream(&loop, ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), {});
    CPPUNIT_ASSERT_EQUAL(kPartitionedMilliseconds, UserTimeout(stream.get_handle()));
    stream.StopSending();
    CPPUNIT_ASSERT_EQUAL(kSlowReaderMilliseconds, UserTimeout(stream.get_handle()));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ByteStreamTest);

}  // namespace pumicedyke::net
