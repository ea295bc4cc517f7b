/// Stand-ins that cannot serve.
#include "ebonypin/standin/standin.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace ebonypin::daemon {
namespace {

class StandinTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinTest);
  CPPUNIT_TEST(AStandinWhoseAddressIsTakenThrowsAndCanBeDestroyed);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a process that is ended by the destructor of a stand-in, so that nothing tells
  /// that the address is in use.
  void AStandinWhoseAddressIsTakenThrowsAndCanBeDestroyed() {
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    const tcp::acceptor holder(context, {boost::asio::ip::address_v4::loopback(), 0});
    const auto address = "127.0.0.1:" + std::to_string(holder.local_endpoint().port());
    for (const auto& kind : standin::StandinKinds()) {
      const auto standin = standin::CreateStandin(kind, address);
      CPPUNIT_ASSERT_THROW_MESSAGE(kind, standin->Start(), std::exception);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinTest);

}  // namespace
}  // namespace ebonypin::daemon
