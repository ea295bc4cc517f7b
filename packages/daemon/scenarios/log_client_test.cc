#include <cpprest/http_client.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "ebonypin/platform/log_service.h"
#include "ebonypin/standin/standin.h"
#include "site.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

/// More than the threads that the HTTP client has by default, 40.
constexpr int kReaders = 100;

/// Tests the client of the log service against the stand-in of the log.
class LogClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogClientTest);
  CPPUNIT_TEST(ManyReadsAreAnsweredAtOnce);
  CPPUNIT_TEST_SUITE_END();

  static int ReadsArrived(const std::string& address) {
    web::http::client::http_client client("http://" + address);
    const auto status = client.request(web::http::methods::GET, "/status").get();
    return status.extract_json().get().at("reads").as_integer();
  }

 public:
  /// Guards against answers that wait for one another on the threads of the HTTP client, after
  /// which no call of the process is answered.
  void ManyReadsAreAnsweredAtOnce() {
    const auto address = FreeAddress();
    const auto standin = standin::CreateStandin("log", address);
    standin->Start();
    const auto log = platform::NewHttpLogService("http://" + address, 10s);
    std::vector<std::future<std::size_t>> reads;
    reads.reserve(kReaders);
    for (int i = 0; i < kReaders; ++i) {
      reads.push_back(std::async(std::launch::async, [&log] {
        const auto chunk = log->Read("jobs", {.m_from = 1, .m_wait = 10s});
        return chunk ? chunk->m_entries.size() : std::size_t{0};
      }));
    }
    // All of them wait for the same entry, which answers them at the same time.
    while (ReadsArrived(address) < kReaders) std::this_thread::sleep_for(10ms);
    const auto writer = platform::NewHttpLogService("http://" + address, 10s);
    CPPUNIT_ASSERT(writer->Append("jobs", "entry"));
    for (auto& read : reads) CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.get());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogClientTest);

}  // namespace
}  // namespace ebonypin::daemon
