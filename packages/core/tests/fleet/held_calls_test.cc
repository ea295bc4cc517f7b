/// Calls held while the store is unavailable.
#include "ebonypin/core/fleet/held_calls.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <string>

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

constexpr Duration kHold = 1500ms;
constexpr Duration kCallerWait = 3000ms;
constexpr Duration kProbeInterval = 100ms;
const Time kStart{1h};

HeldCall Submission(const std::string& job, const Time now, const std::uint32_t priority = 1,
                    const Duration hold = kHold) {
  return {.m_kind = JobCallKind::kSubmit,
          .m_job = {job},
          .m_priority = priority,
          .m_bytes = 100,
          .m_arrived = now,
          .m_give_up = now + hold};
}

HeldCall Read(const std::string& job, const Time now) {
  auto call = Submission(job, now, 0);
  call.m_kind = JobCallKind::kState;
  call.m_bytes = 0;
  return call;
}

/// How a store that is unavailable answers the calls that probe it.
enum class Outage { kRefusing, kSilent, kSlow };

/// Store that is unavailable from kStart for a time, probed while calls are held.
struct Replay {
  Outage m_outage = Outage::kRefusing;
  Duration m_length{};
  HeldCalls m_held;
  std::map<std::uint64_t, HeldCall> m_all;
  std::map<std::uint64_t, Time> m_released;
  std::map<std::uint64_t, Time> m_expired;
  std::set<std::uint64_t> m_displaced;
  std::size_t m_largest_batch = 0;

  /// A slow store answers each probe, but only after a second; the others answer none of them.
  [[nodiscard]] Time AnswerOf(const Time sent) const {
    if (sent >= kStart + m_length) return sent + 2ms;
    return m_outage == Outage::kSlow ? sent + 1s : Time::max();
  }

  void Arrive(const HeldCall& call) {
    const auto result = Hold(m_held, call.m_arrived, call);
    m_all[result.m_number] = call;
    m_displaced.insert(result.m_displaced.begin(), result.m_displaced.end());
    for (const auto number : result.m_displaced) {
      const auto& gone = m_all.at(number);
      for (const auto& [other, stays] : m_held.m_calls) {
        CPPUNIT_ASSERT(std::pair(stays.m_priority, stays.m_give_up) <=
                       std::pair(gone.m_priority, gone.m_give_up));
      }
    }
  }

  /// Runs until no call is held, with `rate` submissions a second and ten times as many in a burst
  /// of 0.2 s during the outage.
  void Run(const int rate) {
    std::vector<Time> answers;
    Time next_probe = kStart;
    for (Time now = kStart; now <= kStart + m_length + 3s; now += 10ms) {
      const bool burst = now >= kStart + 500ms && now < kStart + 700ms;
      const bool arrives = now < kStart + m_length;
      for (int i = 0; arrives && i < rate / 100 * (burst ? 10 : 1); ++i) {
        const auto number = m_all.size();
        Arrive(Submission("j" + std::to_string(number), now, number % 3));
      }
      if (!m_held.m_calls.empty() && now >= next_probe) {
        answers.push_back(AnswerOf(now));
        next_probe = now + kProbeInterval;
      }
      if (const auto due = std::find_if(answers.begin(), answers.end(),
                                        [now](const Time time) { return time <= now; });
          due != answers.end()) {
        answers.erase(due);
        const auto batch =
            Release(m_held, now, {.m_calls = 200, .m_bytes = std::size_t{512} * 1024});
        m_largest_batch = std::max(m_largest_batch, batch.size());
        for (const auto call : batch) m_released[call] = now;
        if (!batch.empty() && now >= kStart + m_length) answers.push_back(now + 2ms);
      }
      for (const auto call : TakeExpired(m_held, now)) m_expired[call] = now;
    }
  }
};

class HeldCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeldCallsTest);
  CPPUNIT_TEST(CallsOutliveAnOutageThatEndsWithinTheirTime);
  CPPUNIT_TEST(ABurstBeyondTheBoundsCostsOnlyTheLeastUrgent);
  CPPUNIT_TEST(TheBytesOfLargeJobsAreBounded);
  CPPUNIT_TEST(CallsAreReleasedInTheOrderOfTheirUrgency);
  CPPUNIT_TEST(ACallWhoseTimeHasPassedIsNotReleased);
  CPPUNIT_TEST(ARepeatJoinsAndACancelRemovesTheSubmissionsOfAJob);
  CPPUNIT_TEST(AnEpisodeCountsEveryCallOnce);
  CPPUNIT_TEST(ACallIsHeldForHalfOfItsCallersWait);
  CPPUNIT_TEST(EveryCallLeavesOnceAndIsCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against submissions that are answered as unknown before half of their caller's wait
  /// has passed, and against ones that are given up although the store responds in time.
  void CallsOutliveAnOutageThatEndsWithinTheirTime() {
    for (const auto outage : {Outage::kRefusing, Outage::kSilent, Outage::kSlow}) {
      for (const Duration length : {1s, 2s, 4s, 20s}) {
        Replay replay{.m_outage = outage, .m_length = length};
        replay.Run(100);
        const auto& all = replay.m_all;
        CPPUNIT_ASSERT(all.size() > 100);
        CPPUNIT_ASSERT_EQUAL(all.size(), replay.m_released.size() + replay.m_expired.size());
        for (const auto& [number, at] : replay.m_expired) {
          const auto& call = all.at(number);
          CPPUNIT_ASSERT(at >= call.m_arrived + kCallerWait / 2);
          // The next probe after the outage, and a batch of 200 calls every 12 ms for 1.5 s of
          // them.
          CPPUNIT_ASSERT(call.m_give_up < kStart + length + kProbeInterval + 50ms);
        }
        for (const auto& [number, at] : replay.m_released) {
          CPPUNIT_ASSERT(at < all.at(number).m_give_up);
        }
        CPPUNIT_ASSERT(replay.m_largest_batch <= 200);
        if (length == 1s) CPPUNIT_ASSERT(replay.m_expired.empty());
      }
    }
  }

  /// Guards against a process that runs out of memory in a burst, and against urgent jobs that are
  /// given up for others.
  void ABurstBeyondTheBoundsCostsOnlyTheLeastUrgent() {
    Replay replay{.m_length = 1s};
    replay.m_held.m_options.m_max_calls = 150;
    replay.Run(100);
    CPPUNIT_ASSERT(!replay.m_displaced.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{150}, replay.m_held.m_total.m_most);
    for (const auto number : replay.m_displaced) {
      // The jobs of priority 0 alone have room: a third of 80 and of 200 in the burst.
      CPPUNIT_ASSERT(replay.m_all.at(number).m_priority > 0);
    }
    HeldCalls held{.m_options = {.m_max_calls = 1}};
    (void)Hold(held, kStart, Submission("urgent", kStart, 0));
    for (const auto& call : {Submission("later", kStart, 1), Read("read", kStart),
                             Submission("newer", kStart + 1ms, 0)}) {
      const auto result = Hold(held, kStart, call);
      CPPUNIT_ASSERT(result.m_displaced == std::vector{result.m_number});
    }
    CPPUNIT_ASSERT(Hold(held, kStart, Submission("sooner", kStart, 0, 1s)).m_displaced ==
                   std::vector<std::uint64_t>{1});
  }

  /// Guards against a bound on calls alone, with which large jobs exceed the memory.
  void TheBytesOfLargeJobsAreBounded() {
    HeldCalls held{.m_options = {.m_max_bytes = 100'000}};
    std::size_t displaced = 0;
    for (int i = 0; i < 100; ++i) {
      auto call = Submission("j" + std::to_string(i), kStart + i * 1ms);
      call.m_bytes = 30'000;
      displaced += Hold(held, kStart, call).m_displaced.size();
      CPPUNIT_ASSERT(held.m_bytes <= 100'000);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{97}, displaced);
    // A batch is limited in bytes as well, but the most urgent write is always released.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         Release(held, kStart, {.m_calls = 9, .m_bytes = 60'000}).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Release(held, kStart, {.m_calls = 9}).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, held.m_bytes);
  }

  /// Guards against urgent jobs that wait for others after an outage.
  void CallsAreReleasedInTheOrderOfTheirUrgency() {
    HeldCalls held;
    (void)Hold(held, kStart, Submission("third", kStart, 1));
    (void)Hold(held, kStart, Submission("second", kStart, 0));
    (void)Hold(held, kStart, Submission("first", kStart, 0, 1s));
    (void)Hold(held, kStart, Read("read", kStart));
    const ReleaseRoom one{.m_calls = 1, .m_bytes = 1000};
    CPPUNIT_ASSERT(Release(held, kStart, {}) == std::vector<std::uint64_t>{4});
    CPPUNIT_ASSERT(Release(held, kStart, one) == std::vector<std::uint64_t>{3});
    CPPUNIT_ASSERT(Release(held, kStart, {.m_calls = 9, .m_bytes = 1000}) ==
                   (std::vector<std::uint64_t>{2, 1}));
  }

  /// Guards against an accepted job whose caller has been told to repeat it.
  void ACallWhoseTimeHasPassedIsNotReleased() {
    HeldCalls held;
    (void)Hold(held, kStart, Submission("j", kStart));
    CPPUNIT_ASSERT(TakeExpired(held, kStart + kHold - 1us).empty());
    CPPUNIT_ASSERT(Release(held, kStart + kHold, {.m_calls = 9, .m_bytes = 1000}).empty());
    CPPUNIT_ASSERT(TakeExpired(held, kStart + kHold) == std::vector<std::uint64_t>{1});
  }

  /// Guards against repeats that use up the room of other jobs, and against a held submission that
  /// is released after its cancel was acknowledged.
  void ARepeatJoinsAndACancelRemovesTheSubmissionsOfAJob() {
    HeldCalls held;
    (void)Hold(held, kStart, Submission("j", kStart));
    const auto once = held.m_bytes;
    (void)Hold(held, kStart, Submission("j", kStart + 1s));
    CPPUNIT_ASSERT_EQUAL(2 * (once - 100) + 100, held.m_bytes);
    (void)Hold(held, kStart, Submission("other", kStart));
    (void)Hold(held, kStart, Read("j", kStart));
    CPPUNIT_ASSERT(TakeExpired(held, kStart + kHold).size() == 3);
    CPPUNIT_ASSERT_EQUAL(once, held.m_bytes);
    CPPUNIT_ASSERT(TakeCancelled(held, kStart, {"other"}).empty());
    CPPUNIT_ASSERT(TakeCancelled(held, kStart, {"j"}) == std::vector<std::uint64_t>{2});
    CPPUNIT_ASSERT(held.m_calls.empty() && held.m_bytes == 0 && held.m_submissions.empty());
  }

  /// Guards against figures of an outage that leave out calls or count those of an earlier one.
  void AnEpisodeCountsEveryCallOnce() {
    HeldCalls held{.m_options = {.m_max_calls = 2}};
    for (int i = 0; i < 3; ++i) {
      (void)Hold(held, kStart, Submission("j" + std::to_string(i), kStart + i * 1ms));
    }
    (void)Release(held, kStart + 40ms, {.m_calls = 1, .m_bytes = 1000});
    (void)TakeAll(held, kStart + 30ms);
    const HeldCounts expected{
        .m_held = 3,
        .m_released = 1,
        .m_given_up = {{GiveUpCause::kDisplaced, 1}, {GiveUpCause::kEnded, 1}},
        .m_most = 2,
        .m_longest_wait = 40ms};
    CPPUNIT_ASSERT(EndEpisode(held) == expected);
    CPPUNIT_ASSERT(held.m_episode == HeldCounts{} && held.m_total == expected);
  }

  /// Guards against a response that is withheld until its caller has no time for another entry, and
  /// against repeats that all arrive at once.
  void ACallIsHeldForHalfOfItsCallersWait() {
    CPPUNIT_ASSERT(HoldTime(1500ms, 3s) == 1500ms);
    CPPUNIT_ASSERT(HoldTime(1500ms, 1s) == 500ms);
    CPPUNIT_ASSERT(HoldTime(1500ms, 20s) == 1500ms);
    CPPUNIT_ASSERT(HoldTime(0ms, 3s) == 0ms);
    std::map<Duration, int> spread;
    for (int i = 0; i < 1000; ++i) ++spread[SpreadRetryAfter({std::to_string(i)})];
    CPPUNIT_ASSERT(spread.size() == 2 && spread[1s] > 400 && spread[2s] > 400);
  }

  /// Guards against calls that get two answers or none, and against bounds that are not kept, in
  /// any order of events.
  void EveryCallLeavesOnceAndIsCounted() {
    CPPUNIT_ASSERT(rc::check("every held call leaves once", [] {
      HeldCalls held{.m_options = {.m_max_calls = 8, .m_max_bytes = 12'000}};
      std::set<std::uint64_t> inside;
      Time now = kStart;
      const auto leave = [&](const std::vector<std::uint64_t>& numbers) {
        for (const auto number : numbers) RC_ASSERT(inside.erase(number) == 1);
      };
      const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
      for (const int step : steps) {
        now += 1ms * *rc::gen::inRange(0, 400);
        const auto job = std::to_string(*rc::gen::inRange(0, 4));
        if (step < 5) {
          auto call = Submission(job, now, static_cast<std::uint32_t>(step) % 3);
          if (step == 0) call.m_kind = JobCallKind::kCancel;
          if (step == 1) call.m_kind = JobCallKind::kPending;
          call.m_bytes = *rc::gen::inRange<std::size_t>(0, 4000);
          const auto result = Hold(held, now, call);
          inside.insert(result.m_number);
          leave(result.m_displaced);
        } else if (step == 5) {
          leave(Release(held, now, {.m_calls = 2, .m_bytes = 4000}));
        } else if (step == 6) {
          leave(TakeCancelled(held, now, {job}));
        } else if (step == 7) {
          leave(TakeExpired(held, now));
        } else {
          leave(TakeAll(held, now));
        }
        RC_ASSERT(held.m_calls.size() <= 8U && held.m_bytes <= 12'000U);
        RC_ASSERT(held.m_calls.size() == inside.size() && held.m_order.size() == inside.size());
      }
      leave(TakeAll(held, now));
      RC_ASSERT(inside.empty() && held.m_bytes == 0U && held.m_submissions.empty());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldCallsTest);

}  // namespace
}  // namespace ebonypin::core::fleet
