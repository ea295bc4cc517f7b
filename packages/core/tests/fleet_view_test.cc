#include "ebonypin/core/fleet_view.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

Heartbeat HeartbeatOf(const std::uint32_t agent, const Incarnation incarnation = 1) {
  return {.m_agent = {"a" + std::to_string(agent)},
          .m_incarnation = incarnation,
          .m_domain = {"d" + std::to_string(agent % 2)},
          .m_capacity = {.m_cpu_millis = 16000, .m_memory_mb = 60000},
          .m_slots = 8};
}

class FleetViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetViewTest);
  CPPUNIT_TEST(SilentAgentIsSuspectedThenRemoved);
  CPPUNIT_TEST(IsolatedEntrySuspectsNoAgent);
  CPPUNIT_TEST(NewIncarnationStartsWithNothingInFlight);
  CPPUNIT_TEST(SentWorkIsAddedToTheReport);
  CPPUNIT_TEST(PoolsHoldExactlyTheUsableAgents);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against work sent to an instance that has failed.
  void SilentAgentIsSuspectedThenRemoved() {
    FleetView fleet;
    const Time start{100s};
    for (std::uint32_t i = 0; i < 4; ++i) ObserveHeartbeat(fleet, HeartbeatOf(i), start);
    for (std::uint32_t i = 0; i < 3; ++i) ObserveHeartbeat(fleet, HeartbeatOf(i), start + 3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, SweepFleet(fleet, {}, start + 3100ms).m_suspected.size());
    CPPUNIT_ASSERT(!IsUsable(*FindAgent(fleet, {"a3"})));
    for (std::uint32_t i = 0; i < 3; ++i) ObserveHeartbeat(fleet, HeartbeatOf(i), start + 10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, SweepFleet(fleet, {}, start + 10100ms).m_removed.size());
    CPPUNIT_ASSERT(FindAgent(fleet, {"a3"}) == nullptr);
  }

  /// Guards against an entry that loses its own links and then suspects all workers.
  void IsolatedEntrySuspectsNoAgent() {
    FleetView fleet;
    const Time start{100s};
    for (std::uint32_t i = 0; i < 5; ++i) ObserveHeartbeat(fleet, HeartbeatOf(i), start);
    for (std::uint32_t i = 0; i < 2; ++i) ObserveHeartbeat(fleet, HeartbeatOf(i), start + 20s);
    const SweepResult result = SweepFleet(fleet, {}, start + 20s);
    CPPUNIT_ASSERT(result.m_isolated && result.m_suspected.empty() && result.m_removed.empty());
  }

  /// Guards against requests to a terminated agent process that stay counted as in flight at its
  /// successor.
  void NewIncarnationStartsWithNothingInFlight() {
    FleetView fleet;
    const AgentIndex index = ObserveHeartbeat(fleet, HeartbeatOf(1, 1), Time{1s});
    CountSent(fleet, index, {});
    ObserveHeartbeat(fleet, HeartbeatOf(1, 2), Time{2s});
    CountSent(fleet, index, {});
    CountEnded(fleet, {"a1"}, 1);
    CPPUNIT_ASSERT_EQUAL(1U, fleet.m_agents[index].m_in_flight);
    ObserveHeartbeat(fleet, HeartbeatOf(1, 1), Time{3s});
    CPPUNIT_ASSERT_EQUAL(Incarnation{2}, fleet.m_agents[index].m_incarnation);
  }

  /// Guards against herding: work that was sent after the last report is added to the reported
  /// load.
  void SentWorkIsAddedToTheReport() {
    FleetView fleet;
    Heartbeat heartbeat = HeartbeatOf(1);
    heartbeat.m_load = {.m_slots_busy = 3, .m_queued = 2};
    const AgentIndex index = ObserveHeartbeat(fleet, heartbeat, Time{1s});
    CountSent(fleet, index, {.m_cpu_millis = 1000});
    CPPUNIT_ASSERT_EQUAL(6U, Outstanding(fleet.m_agents[index]));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{15000}, FreeCapacity(fleet.m_agents[index]).m_cpu_millis);
    ObserveLoad(fleet, {"a1"}, {.m_slots_busy = 1}, Time{2s});
    CPPUNIT_ASSERT_EQUAL(1U, Outstanding(fleet.m_agents[index]));
  }

  /// Guards against unusable agents left in a pool, or usable ones lost from it.
  void PoolsHoldExactlyTheUsableAgents() {
    CPPUNIT_ASSERT(rc::check("pools match the flags after any sequence of events", [] {
      FleetView fleet;
      const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 6)));
      Time now{1s};
      for (const auto& [kind, number] : steps) {
        const AgentId agent{"a" + std::to_string(number)};
        now += 900ms;
        Heartbeat heartbeat = HeartbeatOf(static_cast<std::uint32_t>(number));
        if (kind <= 1) ObserveHeartbeat(fleet, heartbeat, now);
        if (kind == 2) ObserveLoad(fleet, agent, {.m_draining = number % 2 == 0}, now);
        if (kind == 3) SetEjected(fleet, agent, !fleet.m_agents.empty());
        if (kind == 4) SuspectAgent(fleet, agent);
        if (kind == 5) RemoveAgent(fleet, agent);
        if (kind == 6) SweepFleet(fleet, {}, now);
      }
      std::multiset<AgentIndex> pooled;
      for (const AgentPool& pool : fleet.m_pools) {
        pooled.insert(pool.m_members.begin(), pool.m_members.end());
      }
      std::multiset<AgentIndex> usable;
      for (const auto& [id, index] : fleet.m_index) {
        if (IsUsable(fleet.m_agents[index])) usable.insert(index);
      }
      RC_ASSERT(pooled == usable);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetViewTest);

}  // namespace
}  // namespace ebonypin::core
