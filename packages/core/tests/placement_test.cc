#include "ebonypin/core/placement.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

constexpr Resources kPlain{.m_cpu_millis = 16000, .m_memory_mb = 60000};
constexpr Resources kLarge{.m_cpu_millis = 16000, .m_memory_mb = 240000};
constexpr Resources kAccelerated{.m_cpu_millis = 16000, .m_memory_mb = 60000, .m_accelerators = 4};

AgentIndex Add(FleetView& fleet, const std::string& id, const std::string& domain,
               const Resources& capacity, const AgentLoad& load = {}) {
  return ObserveHeartbeat(fleet,
                          {.m_agent = {id},
                           .m_incarnation = 1,
                           .m_domain = {domain},
                           .m_capacity = capacity,
                           .m_slots = 8,
                           .m_load = load},
                          Time{1s});
}

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(SmallWorkLeavesScarceWorkersAlone);
  CPPUNIT_TEST(BusyNearAgentLosesToADistantOne);
  CPPUNIT_TEST(JobsSpreadOverDomains);
  CPPUNIT_TEST(StaleReportsDoNotConcentrateWorkOnOneAgent);
  CPPUNIT_TEST(NeverFitsNamesTheMissingResource);
  CPPUNIT_TEST(AgreesWithAScanOfAllAgents);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against small work that takes up workers with accelerators or large memory.
  void SmallWorkLeavesScarceWorkersAlone() {
    FleetView fleet;
    Add(fleet, "plain", "d", kPlain, {.m_slots_busy = 5});
    Add(fleet, "large", "d", kLarge);
    Add(fleet, "accelerated", "d", kAccelerated);
    std::mt19937_64 random{3};
    const PlacementOptions options{.m_own_domain = {"d"}};
    const auto small = PlaceWork(fleet, options, {.m_size = {.m_cpu_millis = 1000}}, random);
    CPPUNIT_ASSERT_EQUAL(std::string{"plain"},
                         fleet.m_agents[small.m_agent.value()].m_agent.m_value);
    const auto big = PlaceWork(fleet, options, {.m_size = {.m_memory_mb = 100000}}, random);
    CPPUNIT_ASSERT_EQUAL(std::string{"large"}, fleet.m_agents[big.m_agent.value()].m_agent.m_value);
  }

  void BusyNearAgentLosesToADistantOne() {
    FleetView fleet;
    const AgentIndex near = Add(fleet, "near", "d", kPlain, {.m_latency_us = 20000});
    const AgentIndex far = Add(fleet, "far", "e", kPlain, {.m_latency_us = 20000});
    std::mt19937_64 random{3};
    const PlacementOptions options{.m_own_domain = {"d"}};
    CountSent(fleet, near, {});
    CPPUNIT_ASSERT_EQUAL(near, PlaceWork(fleet, options, {}, random).m_agent.value());
    for (int i = 0; i < 6; ++i) CountSent(fleet, near, {});
    CPPUNIT_ASSERT_EQUAL(far, PlaceWork(fleet, options, {}, random).m_agent.value());
  }

  /// Guards against losing most jobs of an entry when one failure domain fails.
  void JobsSpreadOverDomains() {
    FleetView fleet;
    for (int i = 0; i < 9; ++i) {
      Add(fleet, "a" + std::to_string(i), "d" + std::to_string(i % 3), kPlain);
    }
    std::mt19937_64 random{3};
    std::map<std::string, int> jobs;
    for (int i = 0; i < 12; ++i) {
      const auto placement = PlaceWork(fleet, {.m_own_domain = {"d0"}}, {.m_job = true}, random);
      CountSent(fleet, placement.m_agent.value(), {});
      ++jobs[fleet.m_agents[*placement.m_agent].m_domain.m_value];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, jobs.size());
    for (const auto& [domain, count] : jobs) CPPUNIT_ASSERT(count <= 6);
  }

  /// Guards against herding: several requests between two reports spread over the agents.
  void StaleReportsDoNotConcentrateWorkOnOneAgent() {
    FleetView fleet;
    for (int i = 0; i < 11; ++i) {
      Add(fleet, "a" + std::to_string(i), "d", kPlain, {.m_slots_busy = i == 0 ? 0U : 1U});
    }
    std::mt19937_64 random{3};
    std::map<AgentIndex, int> placed;
    for (int i = 0; i < 44; ++i) {
      const auto placement = PlaceWork(fleet, {.m_own_domain = {"d"}}, {}, random);
      CountSent(fleet, placement.m_agent.value(), {});
      ++placed[*placement.m_agent];
    }
    for (const auto& [agent, count] : placed) CPPUNIT_ASSERT(count <= 7);
  }

  void NeverFitsNamesTheMissingResource() {
    FleetView fleet;
    std::mt19937_64 random{3};
    const PlacementNeed need{.m_size = {.m_accelerators = 5}, .m_job = true};
    CPPUNIT_ASSERT(PlaceWork(fleet, {}, need, random).m_error.m_kind == ErrorKind::kNoCapacity);
    Add(fleet, "a", "d", kAccelerated);
    const Error error = PlaceWork(fleet, {}, need, random).m_error;
    CPPUNIT_ASSERT(error.m_kind == ErrorKind::kNeverFits);
    CPPUNIT_ASSERT(error.m_message.find("accelerators: needs 5") != std::string::npos);
    SetPeerSizes(fleet, {"peer"}, {{.m_accelerators = 8}});
    CPPUNIT_ASSERT(PlaceWork(fleet, {}, need, random).m_error.m_kind == ErrorKind::kNoCapacity);
  }

  /// Compares PlaceWork with a scan of all agents: it finds an agent exactly when a suitable one
  /// exists, and never chooses an unsuitable one.
  void AgreesWithAScanOfAllAgents() {
    CPPUNIT_ASSERT(rc::check("placement finds an agent exactly when a scan does", [] {
      FleetView fleet;
      const auto count = *rc::gen::inRange<std::uint32_t>(0, 12);
      for (std::uint32_t i = 0; i < count; ++i) {
        const auto busy = *rc::gen::inRange<std::uint32_t>(0, 10);
        const auto shape = *rc::gen::element(kPlain, kLarge, kAccelerated);
        const AgentLoad load{
            .m_committed = {.m_cpu_millis = *rc::gen::inRange<std::int64_t>(0, 16000)},
            .m_slots_busy = busy,
            .m_draining = *rc::gen::inRange(0, 4) == 0};
        const auto domain = "d" + std::to_string(*rc::gen::inRange(0, 3));
        Add(fleet, "a" + std::to_string(i), domain, shape, load);
      }
      const PlacementNeed need{.m_size = {.m_cpu_millis = *rc::gen::inRange(0, 20000),
                                          .m_memory_mb = *rc::gen::inRange(0, 300000),
                                          .m_accelerators = *rc::gen::inRange(0, 6)},
                               .m_job = *rc::gen::arbitrary<bool>()};
      const auto suitable = [&need](const AgentView& agent) {
        return IsUsable(agent) && Fits(need.m_size, agent.m_capacity) &&
               (!need.m_job ||
                (Fits(need.m_size, FreeCapacity(agent)) && Outstanding(agent) + 1 < 8));
      };
      bool any = false;
      bool ever = fleet.m_index.empty();
      for (const auto& [id, index] : fleet.m_index) {
        any = any || suitable(fleet.m_agents[index]);
        ever = ever || Fits(need.m_size, fleet.m_agents[index].m_capacity);
      }
      std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
      // With 24 probes and fewer than 12 agents, every agent is compared.
      const auto placement =
          PlaceWork(fleet, {.m_own_domain = {"d0"}, .m_probes = 24}, need, random);
      RC_ASSERT(placement.m_agent.has_value() == any);
      if (any) {
        RC_ASSERT(suitable(fleet.m_agents[*placement.m_agent]));
      } else {
        RC_ASSERT((placement.m_error.m_kind == ErrorKind::kNeverFits) == !ever);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

}  // namespace
}  // namespace ebonypin::core
