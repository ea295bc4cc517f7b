#include <cppunit/extensions/HelperMacros.h>

#include "ebonypin/core/fleet/takeover.h"
#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

constexpr GrantTimes kTimes{.m_authority = 10s, .m_grant = 5600ms};
constexpr Time kNow{1h};
constexpr Duration kLongest = kTimes.m_authority + kTimes.m_grant;

/// Wait of a new coordinator for members that stay silent.
class TakeoverWaitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TakeoverWaitTest);
  CPPUNIT_TEST(APlannedChangeWaitsForTheGrantsOfThePredecessor);
  CPPUNIT_TEST(ARestartAtTheSameAddressWaitsForItsOwnGrants);
  CPPUNIT_TEST(ALostPredecessorIsWaitedForUntilItsAuthorityEnds);
  CPPUNIT_TEST(AnEpochBeforeASteppedDownPredecessorIsWaitedFor);
  CPPUNIT_TEST(AnEpochBeforeARestartedPredecessorIsWaitedFor);
  CPPUNIT_TEST(ThePredecessorPassesOnTheRestOfItsWait);
  CPPUNIT_TEST(ARestartedPredecessorTellsNothing);
  CPPUNIT_TEST(AnOddAnswerDelaysNoStartBeyondTheLongestWait);
  CPPUNIT_TEST(MissingRecordsMeanTheLongestWait);
  CPPUNIT_TEST(ACoordinatorIsSettledOnceNoMemberIsSilent);
  CPPUNIT_TEST(ACoordinatorWithoutAgentsAppendsNothing);
  CPPUNIT_TEST(ASettledRecordOfALaterEpochIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against planned changes of coordinator that delay waiting work.
  void APlannedChangeWaitsForTheGrantsOfThePredecessor() {
    const EarlierEpochs earlier{.m_previous = 7, .m_settled = 7};
    const auto wait = WaitAfterFence(kTimes, kNow, earlier);
    CPPUNIT_ASSERT(wait.m_until == kNow + kLongest);
    const SilentWait expected{.m_until = kNow + 1s + kTimes.m_grant,
                              .m_cause = WaitCause::kPreviousStepped};
    CPPUNIT_ASSERT(expected ==
                   WaitAfterStepDown(kTimes, kNow + 1s, earlier, wait, {.m_stepped_down = true}));
    CPPUNIT_ASSERT(wait == WaitAfterStepDown(kTimes, kNow + 1s, earlier, wait, {}));
  }

  void ARestartAtTheSameAddressWaitsForItsOwnGrants() {
    const SilentWait expected{.m_until = kNow + kTimes.m_grant,
                              .m_cause = WaitCause::kPreviousEnded};
    CPPUNIT_ASSERT(
        expected ==
        WaitAfterFence(kTimes, kNow, {.m_previous = 7, .m_settled = 7, .m_previous_ended = true}));
  }

  void ALostPredecessorIsWaitedForUntilItsAuthorityEnds() {
    const SilentWait expected{.m_until = kNow + kLongest, .m_cause = WaitCause::kPreviousMayAct};
    CPPUNIT_ASSERT(expected == WaitAfterFence(kTimes, kNow, {.m_previous = 7, .m_settled = 7}));
  }

  /// Guards against two runs of a task after two changes of coordinator in a row: epoch 6 may still
  /// grant to an agent that neither epoch 7 nor epoch 8 has reached.
  void AnEpochBeforeASteppedDownPredecessorIsWaitedFor() {
    const EarlierEpochs earlier{.m_previous = 7, .m_settled = 6};
    const auto wait = WaitAfterFence(kTimes, kNow, earlier);
    CPPUNIT_ASSERT(wait.m_cause == WaitCause::kEarlierMayAct);
    CPPUNIT_ASSERT(wait.m_until == kNow + kLongest);
    CPPUNIT_ASSERT(wait ==
                   WaitAfterStepDown(kTimes, kNow, earlier, wait, {.m_stepped_down = true}));
  }

  /// Guards against the same after a claim whose process was killed before its wait was over, and
  /// which claims again after its restart.
  void AnEpochBeforeARestartedPredecessorIsWaitedFor() {
    const EarlierEpochs earlier{.m_previous = 7, .m_settled = 5, .m_previous_ended = true};
    const auto wait = WaitAfterFence(kTimes, kNow, earlier);
    CPPUNIT_ASSERT(wait.m_until == kNow + kLongest);
  }

  void ThePredecessorPassesOnTheRestOfItsWait() {
    const EarlierEpochs earlier{.m_previous = 7, .m_settled = 6};
    const auto wait = WaitAfterFence(kTimes, kNow, earlier);
    const auto until = [&](const Duration left) {
      const StepDownReply reply{
          .m_stepped_down = true, .m_epoch = 7, .m_earlier_grants_left = left};
      return WaitAfterStepDown(kTimes, kNow, earlier, wait, reply).m_until;
    };
    CPPUNIT_ASSERT(until(9s) == kNow + 9s);
    // The predecessor's own grants last as long as after any step-down.
    CPPUNIT_ASSERT(until({}) == kNow + kTimes.m_grant);
  }

  /// Guards against the answer of a process that was not active in the previous epoch.
  void ARestartedPredecessorTellsNothing() {
    const EarlierEpochs earlier{.m_previous = 7, .m_settled = 6};
    const auto wait = WaitAfterFence(kTimes, kNow, earlier);
    for (const Epoch epoch : {Epoch{0}, Epoch{6}, Epoch{8}}) {
      const StepDownReply reply{.m_stepped_down = true, .m_epoch = epoch};
      CPPUNIT_ASSERT(wait == WaitAfterStepDown(kTimes, kNow, earlier, wait, reply));
    }
  }

  void AnOddAnswerDelaysNoStartBeyondTheLongestWait() {
    const EarlierEpochs earlier{.m_previous = 7, .m_settled = 6};
    const auto wait = WaitAfterFence(kTimes, kNow, earlier);
    for (const Duration left : {Duration::max(), Duration::min(), Duration{-1s}}) {
      const StepDownReply reply{
          .m_stepped_down = true, .m_epoch = 7, .m_earlier_grants_left = left};
      const auto after = WaitAfterStepDown(kTimes, kNow, earlier, wait, reply);
      CPPUNIT_ASSERT(after.m_until <= wait.m_until);
      CPPUNIT_ASSERT(after.m_until >= kNow + kTimes.m_grant);
    }
  }

  /// Guards against records that a coordinator of an earlier version, or another writer, left out.
  void MissingRecordsMeanTheLongestWait() {
    for (const EarlierEpochs& earlier :
         {EarlierEpochs{}, EarlierEpochs{.m_previous_ended = true},
          EarlierEpochs{.m_previous = 7, .m_previous_ended = true}}) {
      const auto wait = WaitAfterFence(kTimes, kNow, earlier);
      CPPUNIT_ASSERT(wait.m_until == kNow + kLongest);
      CPPUNIT_ASSERT(wait ==
                     WaitAfterStepDown(kTimes, kNow, earlier, wait, {.m_stepped_down = true}));
    }
  }

  void ACoordinatorIsSettledOnceNoMemberIsSilent() {
    Site site;
    site.m_state.m_epoch = 8;
    Restore(site.m_state, MemberRecord{.m_agent = {"a"}, .m_rpc_address = "a"});
    Restore(site.m_state, SettledRecord{.m_epoch = 7});
    FinishRestore(site.m_state, site.m_now, {.m_until = site.m_now + kLongest});
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    CPPUNIT_ASSERT(!HasWrites(site.m_state));
    CPPUNIT_ASSERT(EarlierGrantsLeft(site.m_state, site.m_now + 1s) == kLongest - 1s);
    site.Join("a");
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    CPPUNIT_ASSERT(EarlierGrantsLeft(site.m_state, site.m_now) == Duration{});
    const auto records = TakeWrites(site.m_state, site.m_wall).m_records;
    CPPUNIT_ASSERT(std::any_of(records.begin(), records.end(), [](const RecordChange& record) {
      return record == RecordChange{SettledRecord{.m_epoch = 8}};
    }));
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    CPPUNIT_ASSERT(!HasWrites(site.m_state));
  }

  /// Guards against an append that a first submission has to wait for.
  void ACoordinatorWithoutAgentsAppendsNothing() {
    Site site;
    FinishRestore(site.m_state, site.m_now, {.m_until = site.m_now + kLongest});
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    CPPUNIT_ASSERT(!HasWrites(site.m_state));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeWrites(site.m_state, site.m_wall).m_records.size());
  }

  /// Guards against a record of another writer that would shorten the wait of a later coordinator.
  void ASettledRecordOfALaterEpochIsIgnored() {
    Site site;
    site.m_state.m_epoch = 8;
    Restore(site.m_state, SettledRecord{.m_epoch = 9});
    CPPUNIT_ASSERT_EQUAL(Epoch{0}, site.m_state.m_settled_epoch);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.m_state.m_decisions.size());
    CPPUNIT_ASSERT(site.m_state.m_decisions.front().m_failure);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverWaitTest);

}  // namespace
}  // namespace ebonypin::core::fleet
