/// Replays a serving job with tasks on two workers, one of which also runs a filling task.
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cmath>

#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

class PeerLearningTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerLearningTest);
  CPPUNIT_TEST(ADisturbingImageIsFoundWhileTheOwnLoadChanges);
  CPPUNIT_TEST(AHarmlessImageIsRecognisedWhileTheOwnLoadChanges);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against mistaking a disturbance for a rise of the serving task's own load or the
  /// reverse: filling tasks rested for tens of seconds beside serving tasks that they did not
  /// disturb (quiet-1 with seed 3).
  void ADisturbingImageIsFoundWhileTheOwnLoadChanges() {
    Learn(3.2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.2, Growth(), 0.8);
  }

  void AHarmlessImageIsRecognisedWhileTheOwnLoadChanges() {
    Learn(0.0);
    CPPUNIT_ASSERT(Growth() < 0.7);
  }

 private:
  static constexpr double kIdleMs = 10.0;

  [[nodiscard]] double Growth() const {
    return GrowthWhenFull(m_site.m_state.m_pairs, {"watch"}, {"press"}, m_site.m_now);
  }

  /// Simulates a load that rises by half within 5 s, beside an image that raises the utilisation by
  /// `growth_when_full` on a worker full of it.
  void Learn(const double growth_when_full) {
    for (const auto* agent : {"a", "b"}) m_site.Join(agent);
    auto watch = MakeServingJob("watch", 2, {"watch"});
    watch.m_steps[0].m_max_per_worker = 1;
    m_site.Accept(watch);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_site.Starts().size());
    m_site.Accept(MakeFillingJob("press", 1, {"press"}));
    const auto starts = m_site.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    ObserveLatency(m_site.m_state.m_pairs, {"watch"}, kIdleMs);
    const double idle = IdleLatency(m_site.m_state.m_pairs, {"watch"});
    for (int i = 0; i < 12; ++i) {
      m_site.Advance(500ms);
      const double load = 0.4 + 0.2 * std::sin(0.45 * 0.5 * i);
      for (const std::string agent : {"a", "b"}) {
        const bool disturbed = starts[0].first == agent;
        const double growth = disturbed ? 1.0 + growth_when_full * 0.25 : 1.0;
        auto report = m_site.Report(agent);
        const auto& placed = m_site.m_state.m_agents.at({agent}).m_placed_runs;
        const std::uint32_t index = placed.count(Ref("watch", 0)) > 0 ? 0 : 1;
        report.m_runs = {{.m_task = Ref("watch", index),
                          .m_run = 1,
                          .m_percent = 100,
                          .m_figure = idle / (1.0 - std::min(load * growth, 0.97))}};
        if (disturbed) {
          report.m_runs.push_back({.m_task = Ref("press"), .m_run = 1, .m_figure = 1000.0});
        }
        (void)OnReport(m_site.m_state, m_site.m_now, report);
      }
    }
  }

  Site m_site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLearningTest);

}  // namespace
}  // namespace ebonypin::core::fleet
