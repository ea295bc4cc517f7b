/// Scenarios of connections to the RPC port that do not behave as those of the system's processes.
///
/// The load and the bounds are fixed, as in uncontrolled_clients_test.cc.
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <optional>
#include <string>

#include "attacked_process.h"
#include "client_load.h"
#include "process_site.h"
#include "site.h"

namespace ebonypin::daemon {
namespace {

/// More than the descriptors of the attacked process.
constexpr std::size_t kCrowd = 500;
/// More than the largest number of incoming connections of a process with 4,096 descriptors.
constexpr std::size_t kLargeCrowd = 1100;
/// With a message of 1 MiB each, more than the memory of the machine.
constexpr std::size_t kMessages = 300;
constexpr std::uint32_t kMessageWords = (std::uint32_t{1} << 20U) / 8;

class RpcClientsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RpcClientsTest);
  CPPUNIT_TEST(SilentConnections);
  CPPUNIT_TEST(MessagesThatNeverEnd);
  CPPUNIT_TEST(AnEntryStartsBesideSilentConnectionsToTheCoordinator);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against silent connections that use all descriptors of a process.
  void SilentConnections() {
    AttackedProcess process(AttackedListener::kJobApi);
    const ClientLoad load(process.RpcAddress(), kCrowd);
    Check(process);
  }

  /// Guards against messages that are announced and each get their memory before they arrive.
  void MessagesThatNeverEnd() {
    AttackedProcess process(AttackedListener::kJobApi);
    ClientLoad load(process.RpcAddress(), kMessages);
    // The segment table of a message: the number of segments less one, and the size of the first.
    std::string head(2 * sizeof(std::uint32_t), '\0');
    std::memcpy(head.data() + sizeof(std::uint32_t), &kMessageWords, sizeof(kMessageWords));
    load.Send({.m_first = head,
               .m_repeated = std::string(1024, '\0'),
               .m_repetitions = std::size_t{kMessageWords} * 8 - 1});
    Check(process);
  }

  /// Guards against silent connections, such as those of machines that have lost power, that keep
  /// processes of the system from their coordinator.
  void AnEntryStartsBesideSilentConnectionsToTheCoordinator() {
    auto folder = (std::filesystem::temp_directory_path() / "ebonypin-rpc-XXXXXX").string();
    CPPUNIT_ASSERT(::mkdtemp(folder.data()) != nullptr);
    {
      ProcessSite site(2, 1, folder);
      std::optional<std::size_t> coordinator;
      CPPUNIT_ASSERT(WaitUntil([&] {
        coordinator = site.Coordinator({0, 1});
        return coordinator.has_value();
      }));
      const std::size_t other = 1 - *coordinator;
      site.Signal(other, SIGKILL);
      CPPUNIT_ASSERT(WaitUntil([&] { return site.Call(other, "GET", "/renders/").m_status == 0; }));
      const ClientLoad load(site.RpcAddress(*coordinator), kLargeCrowd);
      CPPUNIT_ASSERT(WaitUntil([&] { return !site.RestartEnded().empty(); }));
      const bool answered =
          WaitUntil([&] { return site.Submit(other, "0123456789abcdef", "run 1", 1) == 200; });
      CPPUNIT_ASSERT_MESSAGE("no answer to an ordinary request", answered);
    }
    std::filesystem::remove_all(folder);
  }

 private:
  static void Check(AttackedProcess& process) {
    const auto faults = process.FindFaults();
    std::cout << " [" << process.DescribeUse() << "] ";
    CPPUNIT_ASSERT_EQUAL(std::string{}, faults);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RpcClientsTest);

}  // namespace
}  // namespace ebonypin::daemon
