#include "ebonypin/core/listener_share.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace ebonypin::core {
namespace {

constexpr std::uint64_t kMiB = std::uint64_t{1} << 20U;
/// Largest request of the job API: 256 KiB of body and 16 KiB of head.
constexpr std::size_t kRequestBytes = std::size_t{272} << 10U;

class ListenerShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ListenerShareTest);
  CPPUNIT_TEST(TheSmallestEntryKeepsMemoryAndDescriptorsForItself);
  CPPUNIT_TEST(EveryMachineServesARequestOfTheLargestSize);
  CPPUNIT_TEST(SideListenersOfTheSmallestAgentStaySmall);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against connections that use up the memory or the descriptors of the process.
  void TheSmallestEntryKeepsMemoryAndDescriptorsForItself() {
    const auto share =
        ShareOfApi({.m_memory_bytes = 160 * kMiB, .m_descriptors = 4100}, kRequestBytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1280}, share.m_max_connections);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20 * kMiB}, share.m_max_buffered_bytes);
    // Requests, their decoded form, and what the kernel has received.
    const auto used =
        2 * share.m_max_buffered_bytes + share.m_max_connections * kKernelBytesPerConnection;
    CPPUNIT_ASSERT(used <= 80 * kMiB);
    CPPUNIT_ASSERT_EQUAL(std::size_t{975}, MaxRpcConnections(4100));
    const auto incoming = share.m_max_connections + MaxRpcConnections(4100);
    CPPUNIT_ASSERT(incoming + kFileDescriptors + 1000 <= 4100);
  }

  /// Guards against a subtraction that wraps, and against a share in which no request fits.
  void EveryMachineServesARequestOfTheLargestSize() {
    CPPUNIT_ASSERT(rc::check("two requests fit and descriptors remain", [] {
      const auto memory = *rc::gen::inRange<std::uint64_t>(0, 1024 * kMiB);
      const auto descriptors = *rc::gen::inRange<std::uint32_t>(0, 20'000);
      const auto share =
          ShareOfApi({.m_memory_bytes = memory, .m_descriptors = descriptors}, kRequestBytes);
      RC_ASSERT(share.m_max_buffered_bytes >= 2 * kRequestBytes);
      RC_ASSERT(share.m_max_connections >= 16);
      RC_ASSERT(share.m_max_connections <= std::max(16U, descriptors / 2));
      RC_ASSERT(MaxRpcConnections(descriptors) >= 16);
      RC_ASSERT(MaxRpcConnections(descriptors) <= std::max(16U, descriptors / 4));
    }));
  }

  /// Guards against the control listener, whose bodies are the largest, exceeding its agent.
  void SideListenersOfTheSmallestAgentStaySmall() {
    const auto share = ShareOfSideListener(4 * kMiB);
    const auto used =
        2 * share.m_max_buffered_bytes + share.m_max_connections * kKernelBytesPerConnection;
    CPPUNIT_ASSERT(used <= 32 * kMiB);
    CPPUNIT_ASSERT(share.m_max_buffered_bytes >= 8 * kMiB);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListenerShareTest);

}  // namespace
}  // namespace ebonypin::core
