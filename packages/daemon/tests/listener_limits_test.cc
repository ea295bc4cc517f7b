#include "listener_limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include "listener_report.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

class ListenerLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ListenerLimitsTest);
  CPPUNIT_TEST(SettingsReduceTheLimitsOfEachListener);
  CPPUNIT_TEST(TheConfigurationReplacesOnlyWhatItGives);
  CPPUNIT_TEST(OnlyNewlyClosedConnectionsAreReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a setting that is accepted and ignored, and against one that raises the limit
  /// of a listener above what its share was derived for.
  void SettingsReduceTheLimitsOfEachListener() {
    const auto api = ApiLimits({.m_memory_mb = 160, .m_descriptors = 4100}, kMaxJobBodyBytes);
    CPPUNIT_ASSERT_EQUAL(kMaxJobBodyBytes, api.m_max_body_bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1280}, api.m_max_connections);
    const config::Settings set{.m_max_head_bytes = 4096,
                               .m_max_body_bytes = 8192,
                               .m_head_timeout = 1s,
                               .m_idle_timeout = 2s,
                               .m_body_timeout = 3s,
                               .m_write_timeout = 4s,
                               .m_max_connections = 100,
                               .m_max_buffered_mb = 8};
    http::ServerLimits expected{.m_max_head_bytes = 4096,
                                .m_max_body_bytes = 8192,
                                .m_head_timeout = 1s,
                                .m_idle_timeout = 2s,
                                .m_body_timeout = 3s,
                                .m_write_timeout = 4s,
                                .m_max_connections = 100,
                                .m_max_buffered_bytes = std::size_t{8} << 20U};
    CPPUNIT_ASSERT(ApiLimits(set, kMaxJobBodyBytes) == expected);
    expected.m_max_connections = 64;
    expected.m_max_buffered_bytes = (std::size_t{1} << 20U) + 2 * std::size_t{4096 + 8192};
    CPPUNIT_ASSERT(SideLimits(set, kMaxHeartbeatBytes) == expected);
    CPPUNIT_ASSERT_EQUAL(kMaxProbeBodyBytes, SideLimits(set, kMaxProbeBodyBytes).m_max_body_bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{975}, RpcLimits({.m_descriptors = 4100}).m_max_connections);
    CPPUNIT_ASSERT_EQUAL(std::size_t{64},
                         RpcLimits({.m_max_rpc_connections = 64}).m_max_connections);
  }

  /// Guards against a configuration without limits that removes those of the settings, and against
  /// a limit with which no request is served.
  void TheConfigurationReplacesOnlyWhatItGives() {
    const auto settings = ApiLimits({}, kMaxJobBodyBytes);
    CPPUNIT_ASSERT(WithConfiguration(settings, {.m_version = 1}) == settings);
    auto expected = settings;
    expected.m_max_head_bytes = 1000;
    expected.m_max_body_bytes = 10'000;
    expected.m_head_timeout = 1s;
    expected.m_idle_timeout = 9s;
    CPPUNIT_ASSERT(WithConfiguration(settings, {.m_version = 1,
                                                .m_max_head_bytes = 1000,
                                                .m_max_body_bytes = 10'000,
                                                .m_head_timeout = 1s,
                                                .m_idle_timeout = 9s}) == expected);
    const auto large = WithConfiguration({.m_max_buffered_bytes = 1000},
                                         {.m_version = 1, .m_max_body_bytes = UINT64_MAX});
    CPPUNIT_ASSERT_EQUAL(kMaxConfiguredBodyBytes, large.m_max_body_bytes);
    CPPUNIT_ASSERT(large.m_max_buffered_bytes > kMaxConfiguredBodyBytes);
  }

  /// Guards against a line for each interval in which nothing happened.
  void OnlyNewlyClosedConnectionsAreReported() {
    const http::ServerCounters before{.m_closed = {{"head_timeout", 2}, {"malformed", 1}}};
    http::ServerCounters now = before;
    CPPUNIT_ASSERT_EQUAL(std::string{}, ClosedSince(before, now));
    now.m_closed["idle_timeout"] = 7;
    CPPUNIT_ASSERT_EQUAL(std::string{}, ClosedSince(before, now));
    now.m_closed["body_limit"] = 3;
    now.m_closed["head_timeout"] = 4;
    CPPUNIT_ASSERT_EQUAL(std::string{"body_limit 3, head_timeout 2"}, ClosedSince(before, now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListenerLimitsTest);

}  // namespace
}  // namespace ebonypin::daemon
