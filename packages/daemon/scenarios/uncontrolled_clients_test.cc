/// Scenarios of clients that nobody controls, against each HTTP listener of the system's processes.
///
/// The load and the bounds are fixed: they come from the smallest machines of a deployment, never
/// from measured results. No check depends on a time or on a share of served requests.
#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <string>

#include "attacked_process.h"
#include "client_load.h"

namespace ebonypin::daemon {
namespace {

/// With kBytes each, more than the memory of the largest machine that is checked.
constexpr std::size_t kFloods = 8;
constexpr std::size_t kBytes = std::size_t{32} << 20U;
constexpr int kReopenings = 8;
/// Largest body of any listener, that of a heartbeat. The others refuse it.
constexpr std::size_t kLargestBody = std::size_t{4} << 20U;
constexpr std::size_t kBodies = 64;
/// More than the process has descriptors.
constexpr std::size_t kCrowd = 500;
constexpr std::size_t kSmallBuffer = 4096;
/// The time-out is longer than any test, so that none passes because it has expired.
constexpr auto kFewConnections = "connections = 16\nwrite_timeout = 600s\n";
constexpr std::size_t kMoreThanFewConnections = 64;
/// On each of kFloods connections, and what they may make the process write: a line for each fifty
/// of them.
constexpr std::size_t kRefusedRequests = 2500;
constexpr std::size_t kLogBytes = std::size_t{64} << 10U;

class UncontrolledClientsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UncontrolledClientsTest);
  CPPUNIT_TEST(HeadFarOverTheLimit);
  CPPUNIT_TEST(HeaderLineThatNeverEnds);
  CPPUNIT_TEST(HeaderLinesWithoutEnd);
  CPPUNIT_TEST(RequestLineThatNeverEnds);
  CPPUNIT_TEST(EmptyLinesWithoutEnd);
  CPPUNIT_TEST(TrailersWithoutEnd);
  CPPUNIT_TEST(ChunkSizeThatNeverEnds);
  CPPUNIT_TEST(ChunkExtensionThatNeverEnds);
  CPPUNIT_TEST(DeclaredBodyFarOverTheLimit);
  CPPUNIT_TEST(ChunkedBodyWithoutEnd);
  CPPUNIT_TEST(BodiesBelowTheLimitThatNeverEnd);
  CPPUNIT_TEST(MoreRequestsThanResponses);
  CPPUNIT_TEST(ResponsesThatAreNeverRead);
  CPPUNIT_TEST(ResponsesThatAreNeverReadOnEveryConnection);
  CPPUNIT_TEST(SilentConnections);
  CPPUNIT_TEST(ConnectionsSilentWithinAHead);
  CPPUNIT_TEST(ConnectionsSilentWithinABody);
  CPPUNIT_TEST(ConnectionsSilentAfterAResponse);
  CPPUNIT_TEST(HeadsThatArriveByteByByte);
  CPPUNIT_TEST(BodiesThatArriveByteByByte);
  CPPUNIT_TEST_SUITE_END_ABSTRACT();

 public:
  /// Guards against complete heads that are kept whole however long they are.
  void HeadFarOverTheLimit() {
    Flood([](const std::string& head) {
      return ClientStream{.m_first = head, .m_repeated = HeaderLine(), .m_last = "\r\n\r\n"};
    });
  }

  /// Guards against a header line that is kept until its end comes.
  void HeaderLineThatNeverEnds() {
    Flood([](const std::string& head) {
      return ClientStream{.m_first = head + "X-Long: ", .m_repeated = "a"};
    });
  }

  /// Guards against headers that are kept until the end of the head comes.
  void HeaderLinesWithoutEnd() {
    Flood([](const std::string& head) {
      return ClientStream{.m_first = head, .m_repeated = HeaderLine()};
    });
  }

  /// Guards against a request line that is kept until its end comes.
  void RequestLineThatNeverEnds() {
    Flood([](const std::string& head) {
      return ClientStream{.m_first = head.substr(0, head.find(" HTTP/")) + "?", .m_repeated = "a"};
    });
  }

  /// Guards against empty lines before a request that are kept or read without a bound.
  void EmptyLinesWithoutEnd() {
    Flood([](const std::string&) { return ClientStream{.m_repeated = "\r\n"}; });
  }

  /// Guards against trailers that are kept until their end comes.
  void TrailersWithoutEnd() {
    Flood([](const std::string& head) {
      return ClientStream{.m_first = head + kChunked + "0\r\n", .m_repeated = HeaderLine()};
    });
  }

  /// Guards against a chunk size that is kept until the end of its line comes.
  void ChunkSizeThatNeverEnds() {
    Flood([](const std::string& head) {
      return ClientStream{.m_first = head + kChunked, .m_repeated = "0"};
    });
  }

  /// Guards against a chunk extension that is kept until the end of its line comes.
  void ChunkExtensionThatNeverEnds() {
    Flood([](const std::string& head) {
      return ClientStream{.m_first = head + kChunked + "1;extension=", .m_repeated = "a"};
    });
  }

  /// Guards against a body that is kept although its declared length is over the limit.
  void DeclaredBodyFarOverTheLimit() {
    Flood([](const std::string& head) {
      return ClientStream{.m_first = head + "Content-Length: 4294967296\r\n\r\n",
                          .m_repeated = "a"};
    });
  }

  /// Guards against a body without a declared length that is kept beyond the limit.
  void ChunkedBodyWithoutEnd() {
    Flood([](const std::string& head) {
      return ClientStream{.m_first = head + kChunked,
                          .m_repeated = "1000\r\n" + std::string(0x1000, 'a') + "\r\n"};
    });
  }

  /// Guards against bodies that are each below the limit, and are together more than the memory.
  void BodiesBelowTheLimitThatNeverEnd() {
    AttackedProcess process(Target());
    ClientLoad load(process.Address(), kBodies);
    load.Send({.m_first = process.HeadOfRequest() +
                          "Content-Length: " + std::to_string(kLargestBody) + "\r\n\r\n",
               .m_repeated = "a",
               .m_repetitions = kLargestBody - 1});
    Check(process, load);
  }

  /// Guards against requests that are read ahead while earlier ones of the connection wait for
  /// their responses.
  void MoreRequestsThanResponses() {
    AttackedProcess process(Target());
    ClientLoad load(process.Address(), kFloods);
    load.Send(
        {.m_repeated = LongRequest(process), .m_repetitions = kBytes, .m_reopenings = kReopenings});
    Check(process, load);
  }

  /// Guards against responses that pile up for a client that does not read them.
  void ResponsesThatAreNeverRead() {
    AttackedProcess process(Target());
    ClientLoad load(process.Address(), kFloods, kSmallBuffer);
    load.Send({.m_repeated = LongRequest(process),
               .m_repetitions = kBytes,
               .m_reads = false,
               .m_reopenings = kReopenings});
    Check(process, load);
  }

  /// Guards against clients that keep every connection of the listener by not reading responses.
  void ResponsesThatAreNeverReadOnEveryConnection() {
    AttackedProcess process(Target(), kFewConnections);
    ClientLoad load(process.Address(), kMoreThanFewConnections, kSmallBuffer);
    load.Send({.m_repeated = LongRequest(process),
               .m_repetitions = kBytes,
               .m_reads = false,
               .m_reopenings = kReopenings});
    Check(process, load);
  }

  /// Guards against connections without a request that use all descriptors.
  void SilentConnections() { Crowd({}); }

  /// Guards against unfinished heads that use all descriptors.
  void ConnectionsSilentWithinAHead() {
    Crowd(
        [](AttackedProcess& process) { return ClientStream{.m_first = process.HeadOfRequest()}; });
  }

  /// Guards against unfinished bodies that use all descriptors.
  void ConnectionsSilentWithinABody() {
    Crowd([](AttackedProcess& process) {
      return ClientStream{.m_first = process.HeadOfRequest() + "Content-Length: 1000\r\n\r\n{"};
    });
  }

  /// Guards against connections kept open after their responses that use all descriptors.
  void ConnectionsSilentAfterAResponse() {
    Crowd([](AttackedProcess& process) {
      return ClientStream{.m_first = process.OrdinaryRequest(true), .m_awaits_response = true};
    });
  }

  /// Guards against time-outs that each byte of a head starts again.
  void HeadsThatArriveByteByByte() {
    Crowd(
        [](AttackedProcess& process) {
          return ClientStream{.m_first = process.HeadOfRequest() + "X-Long: "};
        },
        true);
  }

  /// Guards against time-outs that each byte of a body starts again.
  void BodiesThatArriveByteByByte() {
    Crowd(
        [](AttackedProcess& process) {
          return ClientStream{.m_first = process.HeadOfRequest() + "Content-Length: 10000\r\n\r\n"};
        },
        true);
  }

 protected:
  [[nodiscard]] virtual AttackedListener Target() const = 0;

 private:
  static constexpr auto kChunked = "Transfer-Encoding: chunked\r\n\r\n";

  static std::string HeaderLine() { return "X-Filler: " + std::string(1000, 'a') + "\r\n"; }

  /// Returns an ordinary request with a head that is long, but within the limit.
  static std::string LongRequest(AttackedProcess& process) {
    auto request = process.OrdinaryRequest(true);
    return request.insert(request.find("Content-Length"),
                          "X-Filler: " + std::string(3000, 'a') + "\r\n");
  }

  /// Sends the stream that `create` returns for the beginning of a head.
  template <typename Create>
  void Flood(const Create& create) {
    AttackedProcess process(Target());
    ClientLoad load(process.Address(), kFloods);
    auto stream = create(process.HeadOfRequest());
    stream.m_repetitions = kBytes;
    stream.m_reopenings = kReopenings;
    load.Send(stream);
    Check(process, load);
  }

  /// Opens more connections than the process has descriptors, sends on each what `create` returns,
  /// and keeps them open. With `drips`, each of them then sends single bytes.
  void Crowd(const std::function<ClientStream(AttackedProcess&)>& create, bool drips = false) {
    AttackedProcess process(Target());
    ClientLoad load(process.Address(), kCrowd);
    if (create) load.Send(create(process));
    if (drips) load.BeginToDrip('a');
    Check(process, load);
  }

  /// The connections of the load are still open, unless the process has closed them.
  static void Check(AttackedProcess& process, const ClientLoad& load) {
    const auto faults = process.FindFaults();
    std::cout << " [" << process.DescribeUse() << ", " << load.SentBytes() << " bytes sent] ";
    CPPUNIT_ASSERT_EQUAL(std::string{}, faults);
  }
};

class JobApiClientsTest : public UncontrolledClientsTest {
  CPPUNIT_TEST_SUB_SUITE(JobApiClientsTest, UncontrolledClientsTest);
  CPPUNIT_TEST_SUITE_END();
  [[nodiscard]] AttackedListener Target() const override { return AttackedListener::kJobApi; }
};

/// What the clients of the job API make its process write to its log.
class JobApiClientsLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobApiClientsLogTest);
  CPPUNIT_TEST(ReadsOfUnknownJobs);
  CPPUNIT_TEST(SubmissionsThatAreNoJobs);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a line for each read of a job that does not exist.
  void ReadsOfUnknownJobs() {
    Refuse("GET /renders/fedcba9876543210 HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n");
  }

  /// Guards against a line for each body that is refused.
  void SubmissionsThatAreNoJobs() {
    Refuse(
        "POST /renders/fedcba9876543210 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        "Content-Length: 2\r\n\r\n{]");
  }

 private:
  static void Refuse(const std::string& request) {
    auto log = (std::filesystem::temp_directory_path() / "ebonypin-log-XXXXXX").string();
    ::close(::mkstemp(log.data()));
    {
      AttackedProcess process(AttackedListener::kJobApi, {}, log);
      ClientLoad load(process.Address(), kFloods);
      load.Send({.m_repeated = request, .m_repetitions = request.size() * kRefusedRequests});
      const auto faults = process.FindFaults();
      const auto logged = std::filesystem::file_size(log);
      std::cout << " [" << load.SentBytes() << " bytes sent, " << logged << " bytes logged] ";
      CPPUNIT_ASSERT_EQUAL(std::string{}, faults);
      CPPUNIT_ASSERT(logged <= kLogBytes);
    }
    std::filesystem::remove(log);
  }
};

class ReadinessClientsTest : public UncontrolledClientsTest {
  CPPUNIT_TEST_SUB_SUITE(ReadinessClientsTest, UncontrolledClientsTest);
  CPPUNIT_TEST_SUITE_END();
  [[nodiscard]] AttackedListener Target() const override { return AttackedListener::kReadiness; }
};

class ControlClientsTest : public UncontrolledClientsTest {
  CPPUNIT_TEST_SUB_SUITE(ControlClientsTest, UncontrolledClientsTest);
  CPPUNIT_TEST_SUITE_END();
  [[nodiscard]] AttackedListener Target() const override { return AttackedListener::kControl; }
};

class EntryApiClientsTest : public UncontrolledClientsTest {
  CPPUNIT_TEST_SUB_SUITE(EntryApiClientsTest, UncontrolledClientsTest);
  CPPUNIT_TEST_SUITE_END();
  [[nodiscard]] AttackedListener Target() const override { return AttackedListener::kEntryApi; }
};

class MetricsClientsTest : public UncontrolledClientsTest {
  CPPUNIT_TEST_SUB_SUITE(MetricsClientsTest, UncontrolledClientsTest);
  CPPUNIT_TEST_SUITE_END();
  [[nodiscard]] AttackedListener Target() const override { return AttackedListener::kMetrics; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobApiClientsTest);
CPPUNIT_TEST_SUITE_REGISTRATION(JobApiClientsLogTest);
CPPUNIT_TEST_SUITE_REGISTRATION(ReadinessClientsTest);
CPPUNIT_TEST_SUITE_REGISTRATION(ControlClientsTest);
CPPUNIT_TEST_SUITE_REGISTRATION(EntryApiClientsTest);
CPPUNIT_TEST_SUITE_REGISTRATION(MetricsClientsTest);

}  // namespace
}  // namespace ebonypin::daemon
