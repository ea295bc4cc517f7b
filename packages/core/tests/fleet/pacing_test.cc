#include "ebonypin/core/fleet/pacing.h"

#include <cppunit/extensions/HelperMacros.h>

#include "ebonypin/core/fleet/worker_agent.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

const ImageName kWatch{"watch"};
const ImageName kPress{"press"};
const ImageName kBrush{"brush"};

/// Worker of 16 processors with a serving task, whose latency is set by the test, and filling tasks
/// of two processors each that use all that their share allows.
class PacedWorker {
 public:
  static constexpr std::uint32_t kServing = 0;
  static constexpr double kIdleMs = 4.0;
  static constexpr double kTargetMs = 18.0;

  explicit PacedWorker(const std::uint32_t filling) : m_filling(filling) {
    Begin(m_agent, m_now);
    OnHeartbeat(m_agent, m_now,
                {.m_id = {"w"}, .m_born = 1, .m_capacity = {.m_cpu_millis = 16'000}}, 1);
    OnCoordinatorRead(m_agent, m_now, CoordinatorRecord{.m_epoch = 1, .m_rpc_address = "c"});
    OnReportReply(m_agent, m_now,
                  {.m_accepted = true, .m_epoch = 1, .m_session = 9, .m_grant = 1h});
    ObserveLatency(m_agent.m_pairs, kWatch, kIdleMs);
    for (std::uint32_t i = 0; i <= filling; ++i) {
      StartOrder order{.m_task = Task(i), .m_run = 1, .m_image = kWatch};
      if (i == kServing) {
        order.m_latency_target = std::chrono::milliseconds{18};
      } else {
        order.m_fills = true;
        order.m_image = kPress;
        order.m_cpu_millis = 2000;
      }
      (void)OnOrders(
          m_agent, m_now,
          {.m_epoch = 1, .m_session = 9, .m_orders = {{.m_number = i + 1, .m_start = order}}});
    }
  }

  static TaskRef Task(const std::uint32_t index) { return {.m_job = {"j"}, .m_index = index}; }

  /// Simulates half a second at the end of which the serving task reports `latency_ms`.
  void Play(const double latency_ms) {
    m_now += 500ms;
    const auto sent = m_now;
    if (!NextHold(m_agent, sent)) return;
    HoldAnswer answer{.m_born = 1, .m_clock_ms = 5000};
    for (std::uint32_t i = 0; i <= m_filling; ++i) {
      const double figure = i == kServing ? latency_ms : 20.0 * Allowed(i);
      answer.m_runs.push_back(
          {.m_task = Task(i), .m_run = 1, .m_percent = 100, .m_figure = figure});
    }
    OnHold(m_agent, sent, m_now += 1ms, answer);
    for (int calls = 0; calls < 4; ++calls) {
      for (const auto& call : NextCalls(m_agent, m_now)) {
        OnRunAnswer(m_agent, m_now, call, RunAnswer::kOk);
      }
    }
  }

  std::uint32_t Allowed(const std::uint32_t index) {
    const auto found = m_agent.m_runs.find(Task(index));
    return found != m_agent.m_runs.end() ? found->second.m_allowed : 0;
  }

  /// Returns the sum of the shares of all filling runs in percent; 100 is one full share.
  std::uint32_t Total() {
    std::uint32_t total = 0;
    for (std::uint32_t i = 1; i <= m_filling; ++i) total += Allowed(i);
    return total;
  }

  WorkerAgent m_agent{.m_id = {"a"}, .m_rpc_address = "a", .m_fence = 100};
  Time m_now{1h};

 private:
  std::uint32_t m_filling;
};

class PacingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacingTest);
  CPPUNIT_TEST(AMissedTargetMakesFillingTasksRestInTime);
  CPPUNIT_TEST(AReducedShareIsRestoredAfterPeakLoad);
  CPPUNIT_TEST(AFewRunsGetTheFullShareRatherThanAllASmallOne);
  CPPUNIT_TEST(APeakOfTheOwnLoadDoesNotThrottleHarmlessTasks);
  CPPUNIT_TEST(TheDisturbingImageIsThrottledFirst);
  CPPUNIT_TEST(TheOwnLoadIsTrackedBesideFillingTasks);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Replays filling tasks that keep a serving task above its target although the model regards
  /// them as nearly harmless. They rest, before the 4 s of a breach are over, until the target is
  /// met.
  void AMissedTargetMakesFillingTasksRestInTime() {
    PacedWorker worker(4);
    worker.m_agent.m_pairs.m_pairs[{kWatch, kPress}] = {.m_growth = 0.5, .m_learned = worker.m_now};
    for (int i = 0; i < 4; ++i) worker.Play(6.0);
    CPPUNIT_ASSERT_EQUAL(400U, worker.Total());
    const Time began = worker.m_now;
    while (worker.Total() > 0 && worker.m_now - began < 10s) worker.Play(27.0);
    CPPUNIT_ASSERT(worker.m_now - began <= 3s);
    for (int i = 0; i < 10; ++i) {
      worker.Play(27.0);
      CPPUNIT_ASSERT_EQUAL(0U, worker.Total());
    }
    for (int i = 0; i < 6; ++i) worker.Play(5.0);
    CPPUNIT_ASSERT_EQUAL(400U, worker.Total());
  }

  /// Guards against filling tasks that keep a reduced share after peak load: nearly all shares
  /// stayed at 50 % (trouble-3).
  void AReducedShareIsRestoredAfterPeakLoad() {
    PacedWorker worker(4);
    worker.m_agent.m_pairs.m_pairs[{kWatch, kPress}] = {.m_growth = 2.0, .m_learned = worker.m_now};
    for (int i = 0; i < 3; ++i) worker.Play(40.0);
    CPPUNIT_ASSERT(worker.Total() < 200);
    for (int i = 0; i < 10; ++i) worker.Play(5.0);
    CPPUNIT_ASSERT_EQUAL(400U, worker.Total());
  }

  /// Replays disturbing images under normal load: all filling tasks ran at the same time at 6 to
  /// 30 % of their speed, and 1 of 52 jobs was on time (quiet-1 with seed 3).
  void AFewRunsGetTheFullShareRatherThanAllASmallOne() {
    PacedWorker worker(6);
    worker.m_agent.m_pairs.m_pairs[{kWatch, kPress}] = {.m_growth = 4.0, .m_learned = worker.m_now};
    for (int i = 0; i < 3; ++i) worker.Play(24.0);
    int full = 0;
    int partial = 0;
    for (std::uint32_t i = 1; i <= 6; ++i) {
      if (worker.Allowed(i) == 100) ++full;
      if (worker.Allowed(i) > 0 && worker.Allowed(i) < 100) ++partial;
    }
    CPPUNIT_ASSERT(full >= 1);
    CPPUNIT_ASSERT(partial <= 1);
    CPPUNIT_ASSERT(worker.Total() < 600);
    CPPUNIT_ASSERT_EQUAL(100U, worker.Allowed(1));
  }

  /// Replays the peak of a serving task's own load beside a harmless image, which keeps its full
  /// share. If the target stays missed, all filling tasks rest once, because the model may be
  /// wrong.
  void APeakOfTheOwnLoadDoesNotThrottleHarmlessTasks() {
    ImagePairs pairs;
    const Time now{1h};
    ObserveLatency(pairs, kWatch, 4.0);
    pairs.m_pairs[{kWatch, kBrush}] = {.m_growth = 0.16, .m_learned = now};
    const double peak = LoadFromLatency(17.0, IdleLatency(pairs, kWatch));
    const auto shares =
        AllowedShares(pairs, {{.m_image = kWatch, .m_load = peak, .m_target_ms = 18.0}},
                      {{.m_image = kBrush, .m_load = 5.0 / 16.0}}, now);
    CPPUNIT_ASSERT_EQUAL(1.0, shares.at(0));
    CPPUNIT_ASSERT(!MustRestAll({}, now));
    CPPUNIT_ASSERT(!MustRestAll(now - 1s, now));
    CPPUNIT_ASSERT(MustRestAll(now - 2500ms, now));
    CPPUNIT_ASSERT(!MustRestAll(now - 4s, now));
    CPPUNIT_ASSERT(!MustRestSuspects(now - 1s, now));
    CPPUNIT_ASSERT(MustRestSuspects(now - 4s, now));
  }

  /// Replays two filling images beside a serving task, of which only one disturbs it.
  void TheDisturbingImageIsThrottledFirst() {
    ImagePairs pairs;
    const Time now{1h};
    ObserveLatency(pairs, kWatch, 4.0);
    pairs.m_pairs[{kWatch, kPress}] = {.m_growth = 32.0, .m_learned = now};
    pairs.m_pairs[{kWatch, kBrush}] = {.m_growth = 0.32, .m_learned = now};
    const double load = LoadFromLatency(8.0, IdleLatency(pairs, kWatch));
    const auto shares = AllowedShares(
        pairs, {{.m_image = kWatch, .m_load = load, .m_target_ms = 18.0}},
        {{.m_image = kPress, .m_load = 3.0 / 16.0}, {.m_image = kBrush, .m_load = 6.0 / 16.0}},
        now);
    CPPUNIT_ASSERT(shares.at(0) < 0.15);
    CPPUNIT_ASSERT_EQUAL(1.0, shares.at(1));
  }

  /// Guards against an estimate of a serving task's own load that lags behind its changes or
  /// includes the disturbance by filling tasks.
  void TheOwnLoadIsTrackedBesideFillingTasks() {
    ImagePairs pairs;
    ObserveLatency(pairs, kWatch, 10.0);
    const double idle = IdleLatency(pairs, kWatch);
    OwnLoadEstimate own_load;
    double own = 0.25;
    for (int i = 0; i < 8; ++i) {
      own += 0.04;
      const double growth = i % 2 == 0 ? 0.3 : 0.6;
      TrackOwnLoad(own_load, pairs, kWatch, idle / (1.0 - own * (1.0 + growth)), growth, 500ms);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(own, own_load.m_load, 0.05);
    }
    CPPUNIT_ASSERT(ForecastLoad(own_load, 500ms) > own);
    TrackOwnLoad(own_load, pairs, kWatch, idle / (1.0 - 0.3), 0.0, 5s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, ForecastLoad(own_load, 500ms), 0.01);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacingTest);

}  // namespace
}  // namespace ebonypin::core::fleet
