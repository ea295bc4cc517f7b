#include "ebonypin/core/fleet/filling_room.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

constexpr double kHeavyGrowth = 10.0;

/// Sets what is known of a pair of images.
void Measure(Coordinator& state, const Time now, const ImageName& serving, const ImageName& filling,
             const double growth) {
  state.m_pairs.m_idle_ms[serving] = 4.0;
  state.m_pairs.m_pairs[{serving, filling}] = {.m_growth = growth, .m_learned = now};
}

/// Room for filling tasks beside serving tasks.
class FillingRoomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FillingRoomTest);
  CPPUNIT_TEST(EachFurtherImageLeavesLessRoom);
  CPPUNIT_TEST(ImagesThatSufferFromTheSameOnesShareAWorkerWell);
  CPPUNIT_TEST(UnknownPairsCountLikeTheMeasuredOnes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachFurtherImageLeavesLessRoom() {
    Site site;
    Measure(site.m_state, site.m_now, {"a"}, {"press"}, 0.1);
    Measure(site.m_state, site.m_now, {"a"}, {"grind"}, kHeavyGrowth);
    Measure(site.m_state, site.m_now, {"b"}, {"press"}, kHeavyGrowth);
    Measure(site.m_state, site.m_now, {"b"}, {"grind"}, 0.1);
    const auto room = DescribeRoom(site.m_state.m_pairs, {{"grind"}, {"press"}}, site.m_now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, UsablePart(room, {}), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.55, UsablePart(room, {{"a"}}), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, UsablePart(room, {{"a"}, {"b"}}), 0.01);
  }

  void ImagesThatSufferFromTheSameOnesShareAWorkerWell() {
    Site site;
    for (const auto* const serving : {"a", "b"}) {
      Measure(site.m_state, site.m_now, {serving}, {"press"}, 0.1);
      Measure(site.m_state, site.m_now, {serving}, {"grind"}, kHeavyGrowth);
    }
    const auto room = DescribeRoom(site.m_state.m_pairs, {{"grind"}, {"press"}}, site.m_now);
    CPPUNIT_ASSERT(UsablePart(room, {{"a"}, {"b"}}) > 0.9 * UsablePart(room, {{"a"}}));
  }

  /// Guards against serving tasks that are spread over more workers than needed where images hardly
  /// disturb each other, and against mixed workers where most do.
  void UnknownPairsCountLikeTheMeasuredOnes() {
    const FillingRoomOptions options;
    const auto unmeasured = DescribeRoom({}, {{"press"}}, Time{});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(options.m_assumed_suitability, UsablePart(unmeasured, {{"a"}}),
                                 1e-9);
    CPPUNIT_ASSERT_EQUAL(UsablePart(unmeasured, {{"a"}}),
                         UsablePart(DescribeRoom({}, {}, Time{}), {{"a"}}));
    Site site;
    for (int i = 0; i < 30; ++i) {
      Measure(site.m_state, site.m_now, {std::to_string(i)}, {"grind"}, kHeavyGrowth);
    }
    const auto heavy = DescribeRoom(site.m_state.m_pairs, {{"press"}}, site.m_now);
    CPPUNIT_ASSERT(UsablePart(heavy, {{"a"}}) < 0.3);
  }
};

/// Moves of serving tasks. The load is that of a fleet whose workers all serve, where filling jobs
/// wait because every worker runs an image that they disturb.
class ServingMovesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServingMovesTest);
  CPPUNIT_TEST(ATaskJoinsOthersOfItsImage);
  CPPUNIT_TEST(TasksOfFullWorkersAreExchanged);
  CPPUNIT_TEST(NothingMovesWhileNoFillingWorkWaits);
  CPPUNIT_TEST(NothingMovesForASmallGain);
  CPPUNIT_TEST(OneTaskOfAStepIsAwayAtATime);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Worker a runs images one and two, worker b only image two. When the task of worker b joins
  /// the other one, worker b is free for all filling images.
  void ATaskJoinsOthersOfItsImage() {
    Site site = MixedSite();
    site.Advance(kStay);
    ReportAll(site);
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    CPPUNIT_ASSERT(site.Stops() == std::vector<TaskRef>{Ref("two-b")});
  }

  void TasksOfFullWorkersAreExchanged() {
    Site site = MixedSite();
    // With these, worker b has no room for another task, but for one in place of "one-more".
    site.Accept(MakeServingJob("one-more", 1, {"one"}));
    PlaceAt(site, "one-more", "b");
    site.Accept(MakeServingJob("fill-b", 2, {"two"}));
    PlaceAt(site, "fill-b", "b");
    site.Advance(kStay);
    ReportAll(site);
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    const auto stops = site.Stops();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stops.size());
    CPPUNIT_ASSERT(std::find(stops.begin(), stops.end(), Ref("two")) != stops.end());
    CPPUNIT_ASSERT(std::find(stops.begin(), stops.end(), Ref("one-more")) != stops.end());
  }

  void NothingMovesWhileNoFillingWorkWaits() {
    Site site = MixedSite();
    auto& step = site.m_state.m_jobs.at({"press"}).m_occurrences.at(0).m_steps[0];
    step.m_waits = false;
    site.Advance(kStay);
    ReportAll(site);
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    CPPUNIT_ASSERT(site.Stops().empty());
  }

  void NothingMovesForASmallGain() {
    Site site = MixedSite();
    site.m_state.m_options.m_min_room_gain = 1000.0;
    site.Advance(kStay);
    ReportAll(site);
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    CPPUNIT_ASSERT(site.Stops().empty());
  }

  /// Guards against a service that loses several tasks at once to a rearrangement.
  void OneTaskOfAStepIsAwayAtATime() {
    Site site = MixedSite();
    site.Accept(MakeServingJob("wide", 2, {"two"}));
    PlaceAt(site, "wide", "a");
    site.Advance(kStay);
    ReportAll(site);
    auto& tasks = site.m_state.m_jobs.at({"wide"}).m_occurrences.at(0).m_steps[0].m_tasks;
    tasks[1].m_percent = 60;
    tasks[1].m_progressed = site.m_now;
    for (int i = 0; i < 4; ++i) Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    for (const auto& ref : site.Stops()) CPPUNIT_ASSERT(ref.m_job.m_value != "wide");
  }

 private:
  static constexpr auto kStay = 6s;  ///< Longer than a serving task has to stay.

  static void PlaceAt(Site& site, const std::string& job, const std::string& agent) {
    auto& tasks = site.m_state.m_jobs.at({job}).m_occurrences.at(0).m_steps[0].m_tasks;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
      tasks[i].m_run = 1;
      tasks[i].m_agent = {agent};
      tasks[i].m_placed = site.m_now;
      tasks[i].m_percent = 100;
      auto& placed = site.m_state.m_agents.at({agent});
      placed.m_placed_runs[Ref(job, i)] = {
          .m_size = site.m_state.m_jobs.at({job}).m_spec.m_steps[0].m_size,
          .m_serving = true,
          .m_image = site.m_state.m_jobs.at({job}).m_spec.m_steps[0].m_image};
      tasks[i].m_phase = TaskPhase::kPlaced;
      placed.m_used.m_cpu_millis += 1000;
      placed.m_serving_cpu_millis += 1000;
      ++placed.m_serving;
    }
  }

  static void ReportAll(Site& site) {
    for (auto& [id, agent] : site.m_state.m_agents) agent.m_granted = site.m_now;
  }

  static Site MixedSite() {
    Site site;
    site.m_state.m_options.m_min_room_gain = 0.2;
    site.Join("a");
    site.Join("b");
    Measure(site.m_state, site.m_now, {"one"}, {"press"}, 0.1);
    Measure(site.m_state, site.m_now, {"two"}, {"press"}, kHeavyGrowth);
    site.Accept(MakeServingJob("one", 1, {"one"}));
    PlaceAt(site, "one", "a");
    site.Accept(MakeServingJob("two", 1, {"two"}));
    PlaceAt(site, "two", "a");
    site.Accept(MakeServingJob("two-b", 1, {"two"}));
    PlaceAt(site, "two-b", "b");
    site.Accept(MakeFillingJob("press", 1, {"press"}));
    site.m_state.m_jobs.at({"press"}).m_occurrences.at(0).m_steps[0].m_waits = true;
    return site;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FillingRoomTest);
CPPUNIT_TEST_SUITE_REGISTRATION(ServingMovesTest);

}  // namespace
}  // namespace ebonypin::core::fleet
