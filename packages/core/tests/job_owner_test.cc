#include "ebonypin/core/job_owner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "ebonypin/core/offset_clock.h"

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

const Time kStart{1h};
const AgentId kAgent{"agent-1"};
const JobId kJob{"job-1"};

/// One owner with a log whose appends are read back at once unless it is down.
struct Scene {
  JobTable m_table;
  std::map<ClassName, ClassSpec> m_classes;
  OwnerPolicy m_policy;
  JobOwner m_owner = MakeJobOwner({.m_entry = {"entry-1"}, .m_incarnation = 1});
  Time m_now = kStart;
  bool m_log_up = true;
  bool m_agent_live = true;
  std::vector<LogRecord> m_log;
  std::vector<CallAgent> m_calls;  ///< Not yet answered.
  std::vector<ReplyToReport> m_replies;

  Scene() {
    m_classes[{"render"}] = {.m_name = {"render"}, .m_exclusive = true, .m_non_idempotent = true};
    m_classes[{"once"}] = {.m_name = {"once"}, .m_exclusive = true};
    m_classes[{"sync"}] = {.m_name = {"sync"}};
    m_policy = {.m_place =
                    [](const JobState& job) {
                      if (job.m_request.m_payload == "huge") return OwnerPlacement{};
                      return OwnerPlacement{.m_kind = OwnerPlacementKind::kAgent,
                                            .m_agent = kAgent,
                                            .m_incarnation = 7};
                    },
                .m_class =
                    [this](const ClassName& name) {
                      const auto found = m_classes.find(name);
                      return found == m_classes.end() ? nullptr : &found->second;
                    },
                .m_is_live = [this](const AgentId&) { return m_agent_live; }};
    OnLogRead(m_owner, m_now);
  }

  OwnerContext Context() { return {.m_table = m_table, .m_policy = m_policy, .m_now = m_now}; }

  /// Appends records as one batch and reads it back.
  void Write(std::vector<LogRecord> records) {
    m_log.insert(m_log.end(), records.begin(), records.end());
    std::vector<JobEvent> events;
    const LogOffset offset = m_table.m_offset + 1;
    Apply(m_table, offset, {.m_batch_id = std::to_string(offset), .m_records = std::move(records)},
          events);
    Perform(OnJobEvents(m_owner, Context(), events));
  }
  void Write(LogRecord record) { Write(std::vector<LogRecord>{std::move(record)}); }

  void Perform(const OwnerActions& actions) {
    for (const OwnerAction& action : actions) {
      if (const auto* const append = std::get_if<AppendRecord>(&action)) {
        if (m_log_up) Write(append->m_record);
      } else if (const auto* const call = std::get_if<CallAgent>(&action)) {
        m_calls.push_back(*call);
      } else {
        m_replies.push_back(std::get<ReplyToReport>(action));
      }
    }
  }

  /// Lets time pass in ticks; calls are answered by a timeout while they pass.
  void Pass(const Duration duration) {
    for (const Time end = m_now + duration; m_now < end;) {
      m_now += 100ms;
      if (m_log_up) OnLogRead(m_owner, m_now);
      Perform(OnTick(m_owner, Context(), {}));
      const auto calls = std::exchange(m_calls, {});
      for (const CallAgent& call : calls)
        if (std::holds_alternative<FenceRequest>(call.m_request))
          Answer(call, Error{.m_kind = ErrorKind::kTimeout});
        else
          m_calls.push_back(call);
    }
  }

  void Answer(const CallAgent& call, const Message& reply) {
    Perform(OnAgentReply(m_owner, Context(), call.m_call, reply));
  }

  /// Takes the oldest call, which must carry a T.
  template <typename T>
  CallAgent Take() {
    CPPUNIT_ASSERT(!m_calls.empty());
    CallAgent call = m_calls.front();
    m_calls.erase(m_calls.begin());
    CPPUNIT_ASSERT(std::holds_alternative<T>(call.m_request));
    return call;
  }

  void Claim(const Epoch epoch, const std::string& entry = "entry-1") {
    for (ShardIndex i = 0; i < kShardCount; ++i)
      Write(ShardClaimed{.m_shard = i, .m_epoch = epoch, .m_entry = {entry}, .m_incarnation = 1});
  }

  void Accept(const JobId& job, const std::string& klass) {
    Write(JobAccepted{.m_job = job, .m_request = {.m_class = {klass}, .m_payload = "p"}});
  }

  /// Brings the job to a running attempt.
  void Run(const std::string& klass) {
    Claim(1);
    Accept(kJob, klass);
    Answer(Take<ReserveRequest>(), ReserveReply{.m_granted = true, .m_reservation = 5});
    Answer(Take<StartRequest>(), StartReply{.m_started = true});
  }

  bool Assigned() const {
    const auto* const state = FindOpen(m_table, kJob);
    return state != nullptr && state->m_assigned;
  }

  std::vector<Grant> Beat(const Epoch epoch = 1) {
    return OnHeartbeat(m_owner, Context(),
                       {.m_agent = kAgent,
                        .m_incarnation = 7,
                        .m_attempts = {{.m_job = kJob, .m_attempt = 1, .m_epoch = epoch}}});
  }
};

class JobOwnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobOwnerTest);
  CPPUNIT_TEST(StartFollowsTheReadBackOfItsAssignment);
  CPPUNIT_TEST(LostStartIsFencedBeforeTheNextAttempt);
  CPPUNIT_TEST(ExclusiveJobWaitsForItsGrantsToEnd);
  CPPUNIT_TEST(NewOwnerAdoptsWithoutStopping);
  CPPUNIT_TEST(NewOwnerWaitsForGrantsOfTheFormerOne);
  CPPUNIT_TEST(UnknownEndOfANonIdempotentRunIsNotRepeated);
  CPPUNIT_TEST(ReplacedAgentProcessDoesNotProveThatNothingRan);
  CPPUNIT_TEST(GrantsEndWithTheOwnersAuthority);
  CPPUNIT_TEST(JobThatFitsNowhereBlocksNoOther);
  CPPUNIT_TEST(CancelledJobIsStoppedAndNeverStarted);
  CPPUNIT_TEST(ReportIsAcknowledgedWhenItsEndIsReadBack);
  CPPUNIT_TEST(ReportOfAJobNotReadYetIsNotAcknowledged);
  CPPUNIT_TEST(ReleasedShardGetsNoNewAttempts);
  CPPUNIT_TEST(ShardOfAnOwnerWithoutLogIsTakenBeforeItsClaimIsLost);
  CPPUNIT_TEST(ClaimBehindTruncatedOnesHasALargerEpoch);
  CPPUNIT_TEST(OldRecordsAreRewrittenBehindARenewedClaim);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against work that starts although its assignment may lose in the log.
  void StartFollowsTheReadBackOfItsAssignment() {
    Scene scene;
    scene.Claim(1);
    scene.Accept(kJob, "render");
    scene.m_log_up = false;
    const auto reserve = scene.Take<ReserveRequest>();
    scene.Answer(reserve, ReserveReply{.m_granted = true, .m_reservation = 5});
    CPPUNIT_ASSERT(scene.m_calls.empty());
    // A second answer to the same call changes nothing.
    scene.Answer(reserve, ReserveReply{.m_granted = true, .m_reservation = 6});
    scene.Write(JobAssigned{.m_job = kJob,
                            .m_attempt = 1,
                            .m_epoch = 1,
                            .m_agent = kAgent,
                            .m_agent_incarnation = 7,
                            .m_reservation = 5});
    const auto start = std::get<StartRequest>(scene.Take<StartRequest>().m_request);
    CPPUNIT_ASSERT(start.m_reservation == 5 && start.m_exclusive && start.m_payload == "p");
  }

  /// Guards against a second attempt while the first start may still arrive.
  void LostStartIsFencedBeforeTheNextAttempt() {
    Scene scene;
    scene.Claim(1);
    scene.Accept(kJob, "render");
    scene.Answer(scene.Take<ReserveRequest>(), ReserveReply{.m_granted = true});
    scene.Answer(scene.Take<StartRequest>(), Error{.m_kind = ErrorKind::kTimeout});
    CPPUNIT_ASSERT(scene.Assigned());
    scene.Answer(scene.Take<FenceRequest>(), FenceReply{.m_incarnation = 7});
    CPPUNIT_ASSERT(!scene.Assigned());
    const auto second = std::get<ReserveRequest>(scene.Take<ReserveRequest>().m_request);
    CPPUNIT_ASSERT_EQUAL(Attempt{2}, second.m_attempt);
  }

  /// Guards against an early restart of exclusive work whose agent is silent.
  void ExclusiveJobWaitsForItsGrantsToEnd() {
    Scene scene;
    scene.Run("once");
    scene.Pass(4s);
    CPPUNIT_ASSERT(scene.Beat().at(0).m_granted);
    scene.m_agent_live = false;
    scene.Perform(OnAgentRemoved(scene.m_owner, scene.Context(), kAgent));
    // 10 s lengthened by 1 % and 500 ms.
    scene.Pass(10500ms);
    CPPUNIT_ASSERT(scene.Assigned());
    scene.Pass(2s);
    CPPUNIT_ASSERT(!scene.Assigned());
    CPPUNIT_ASSERT(!scene.Beat().at(0).m_granted);
    CPPUNIT_ASSERT_EQUAL(Attempt{2}, scene.Beat().at(0).m_attempt);
  }

  /// Guards against a change of owner that interrupts running work.
  void NewOwnerAdoptsWithoutStopping() {
    Scene scene;
    scene.Run("render");
    scene.Claim(2, "entry-2");
    CPPUNIT_ASSERT(scene.Beat().empty());
    scene.Claim(3);
    const auto fence = scene.Take<FenceRequest>();
    CPPUNIT_ASSERT(!std::get<FenceRequest>(fence.m_request).m_stop);
    scene.Answer(fence, FenceReply{.m_phase = AttemptPhase::kRunning, .m_incarnation = 7});
    CPPUNIT_ASSERT(scene.Assigned());
    CPPUNIT_ASSERT(scene.Beat().at(0).m_granted);
  }

  /// Guards against a restart while the former owner may still grant.
  void NewOwnerWaitsForGrantsOfTheFormerOne() {
    Scene scene;
    scene.Run("once");
    scene.m_agent_live = false;
    scene.Claim(2, "entry-2");
    scene.Claim(3);
    // 120 s + 10 s + 3 s, lengthened by 1 % and 500 ms, is 134.83 s.
    scene.Pass(134800ms);
    CPPUNIT_ASSERT(scene.Assigned());
    scene.Pass(2s);
    CPPUNIT_ASSERT(!scene.Assigned());
  }

  /// Guards against billing twice for work whose end is not known.
  void UnknownEndOfANonIdempotentRunIsNotRepeated() {
    Scene scene;
    scene.Run("render");
    scene.m_agent_live = false;
    scene.Perform(OnAgentRemoved(scene.m_owner, scene.Context(), kAgent));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, UnresolvedCount(scene.m_owner));
    scene.Pass(598s);
    CPPUNIT_ASSERT(scene.Assigned());
    scene.Pass(5s);
    const auto* const trace = FindClosed(scene.m_table, kJob);
    CPPUNIT_ASSERT(trace != nullptr && trace->m_outcome == JobOutcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(Attempt{1}, trace->m_attempt);
  }

  /// Guards against repeating a run that an earlier process of the agent may have done.
  void ReplacedAgentProcessDoesNotProveThatNothingRan() {
    Scene scene;
    scene.Run("render");
    static_cast<void>(
        OnHeartbeat(scene.m_owner, scene.Context(), {.m_agent = kAgent, .m_incarnation = 8}));
    scene.Perform(OnTick(scene.m_owner, scene.Context(), {}));
    scene.Answer(scene.Take<FenceRequest>(), FenceReply{.m_incarnation = 8});
    CPPUNIT_ASSERT(scene.Assigned());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, UnresolvedCount(scene.m_owner));
  }

  /// Guards against grants by an owner that may have been replaced without knowing it.
  void GrantsEndWithTheOwnersAuthority() {
    Scene scene;
    scene.Run("render");
    scene.m_log_up = false;
    scene.Pass(120s);
    CPPUNIT_ASSERT(scene.Beat().at(0).m_granted);
    scene.Pass(100ms);
    CPPUNIT_ASSERT(scene.Beat().empty());
    OnLogRead(scene.m_owner, scene.m_now);
    CPPUNIT_ASSERT(scene.Beat().at(0).m_granted);
  }

  /// Guards against head-of-line blocking, and against an order that ignores deadlines.
  void JobThatFitsNowhereBlocksNoOther() {
    Scene scene;
    scene.Claim(1);
    scene.m_owner.m_options.m_max_starting = 1;
    scene.Accept({"first"}, "sync");
    const auto accept = [&scene](const std::string& id, const Duration deadline,
                                 const std::string& payload) {
      scene.Write(JobAccepted{
          .m_job = {id},
          .m_request = {.m_class = {"sync"}, .m_deadline = deadline, .m_payload = payload}});
    };
    accept("late", 60s, "p");
    accept("blocked", 1s, "huge");
    accept("soon", 30s, "p");
    scene.Answer(scene.Take<ReserveRequest>(), ReserveReply{.m_granted = true});
    scene.Answer(scene.Take<StartRequest>(), StartReply{.m_started = true});
    const auto next = std::get<ReserveRequest>(scene.Take<ReserveRequest>().m_request);
    CPPUNIT_ASSERT_EQUAL(std::string("soon"), next.m_job.m_value);
  }

  /// Guards against cancelled work that starts, and against a cancellation that is forgotten.
  void CancelledJobIsStoppedAndNeverStarted() {
    Scene scene;
    scene.Run("render");
    scene.Write(JobCancelled{.m_job = kJob});
    scene.Answer(scene.Take<CancelRequest>(), CancelReply{.m_stopped = true});
    scene.Answer(scene.Take<FenceRequest>(),
                 FenceReply{.m_phase = AttemptPhase::kStopped, .m_incarnation = 7});
    CPPUNIT_ASSERT(FindClosed(scene.m_table, kJob)->m_outcome == JobOutcome::kCancelled);

    const JobId second{"job-2"};
    scene.Accept(second, "render");
    scene.m_log_up = false;
    scene.Answer(scene.Take<ReserveRequest>(), ReserveReply{.m_granted = true});
    // Both records are read back together, so the cancellation is known before the start.
    scene.Write({JobAssigned{.m_job = second,
                             .m_attempt = 1,
                             .m_epoch = 1,
                             .m_agent = kAgent,
                             .m_agent_incarnation = 7},
                 JobCancelled{.m_job = second}});
    scene.Pass(100ms);
    CPPUNIT_ASSERT(scene.m_calls.empty());
  }

  /// Guards against a completion that is lost because the agent forgot it too early.
  void ReportIsAcknowledgedWhenItsEndIsReadBack() {
    Scene scene;
    scene.Run("render");
    const TaskReport report{.m_agent = kAgent, .m_job = kJob, .m_attempt = 1, .m_result = "r"};
    scene.m_log_up = false;
    scene.Pass(3s);
    scene.Perform(OnTaskReport(scene.m_owner, scene.Context(), 1, report));
    CPPUNIT_ASSERT(!scene.m_replies.at(0).m_reply.m_acknowledged);
    OnLogRead(scene.m_owner, scene.m_now);
    scene.Perform(OnTaskReport(scene.m_owner, scene.Context(), 2, report));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scene.m_replies.size());
    scene.Write(JobFinished{.m_job = kJob, .m_attempt = 1, .m_epoch = 1, .m_result = "r"});
    CPPUNIT_ASSERT(scene.m_replies.at(1).m_call == 2 &&
                   scene.m_replies.at(1).m_reply.m_acknowledged);
    scene.Claim(2, "entry-2");
    scene.Perform(OnTaskReport(scene.m_owner, scene.Context(), 3, report));
    CPPUNIT_ASSERT(scene.m_replies.at(2).m_reply.m_not_owner);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-2"),
                         scene.m_replies.at(2).m_reply.m_owner.m_entry.m_value);
  }

  /// Guards against a completion that a former owner, paused since before the job was accepted,
  /// takes for one of a job long forgotten. Found by a fault schedule: the result was lost.
  void ReportOfAJobNotReadYetIsNotAcknowledged() {
    Scene scene;
    scene.Claim(1);
    const TaskReport report{.m_agent = kAgent, .m_job = kJob, .m_attempt = 1, .m_result = "r"};
    scene.m_now += 30s;
    scene.Perform(OnTaskReport(scene.m_owner, scene.Context(), 1, report));
    CPPUNIT_ASSERT(scene.m_replies.empty());
    // The log's present shows the next owner and the job.
    scene.Claim(2, "entry-2");
    scene.Accept(kJob, "sync");
    OnLogRead(scene.m_owner, scene.m_now);
    scene.Perform(OnTick(scene.m_owner, scene.Context(), {}));
    CPPUNIT_ASSERT(scene.m_replies.at(0).m_reply.m_not_owner);
    // A job that a read of the present does not show is forgotten.
    scene.Claim(3);
    const TaskReport old{.m_agent = kAgent, .m_job = {"old"}, .m_attempt = 1};
    scene.Perform(OnTaskReport(scene.m_owner, scene.Context(), 2, old));
    scene.m_now += 100ms;
    OnLogRead(scene.m_owner, scene.m_now);
    scene.Perform(OnTick(scene.m_owner, scene.Context(), {}));
    CPPUNIT_ASSERT(scene.m_replies.at(1).m_reply.m_acknowledged);
  }

  /// Guards against attempts that begin while their shard is handed over.
  void ReleasedShardGetsNoNewAttempts() {
    Scene scene;
    scene.Claim(1);
    TickInput input;
    for (ShardIndex i = 0; i < kShardCount; ++i) input.m_plan.m_release.push_back(i);
    scene.Perform(OnTick(scene.m_owner, scene.Context(), input));
    scene.Accept(kJob, "sync");
    CPPUNIT_ASSERT(scene.m_calls.empty());
    scene.m_now += 1s;
    OnLogRead(scene.m_owner, scene.m_now);
    scene.Perform(OnTick(scene.m_owner, scene.Context(), input));
    CPPUNIT_ASSERT(scene.m_table.m_shards[0].m_owner.IsEmpty());
    CPPUNIT_ASSERT(scene.m_owner.m_jobs.empty() && scene.m_owner.m_timers.empty());
  }

  /// Guards against a shard whose epoch retention removes, because its owner answers heartbeats but
  /// does not reach the log. Found by a fault schedule: a newcomer claimed an old epoch again.
  void ShardOfAnOwnerWithoutLogIsTakenBeforeItsClaimIsLost() {
    Scene scene;
    scene.Claim(1, "entry-2");
    scene.Accept(kJob, "sync");
    const TickInput late{.m_rewrite_late_before = scene.m_table.m_offset + 1};
    scene.Perform(OnTick(scene.m_owner, scene.Context(), late));
    CPPUNIT_ASSERT_EQUAL(Epoch{2}, scene.m_table.m_shards[0].m_epoch);
    CPPUNIT_ASSERT(OwnsShard(scene.m_owner, scene.m_table, 0));
  }

  /// Guards against claims that agents refuse forever, after all entries were down for longer than
  /// the log's retention.
  void ClaimBehindTruncatedOnesHasALargerEpoch() {
    Scene scene;
    scene.m_table.m_partial = true;
    scene.m_table.m_offset = 99;
    scene.Accept(kJob, "sync");
    scene.Perform(OnTick(scene.m_owner, scene.Context(), {.m_plan = {.m_claim = {0}}}));
    CPPUNIT_ASSERT_EQUAL(Epoch{100}, scene.m_table.m_shards[0].m_epoch);
  }

  /// Guards against open jobs that retention removes from the log.
  void OldRecordsAreRewrittenBehindARenewedClaim() {
    Scene scene;
    scene.Run("sync");
    OffsetClock clock = MakeOffsetClock(scene.m_table.m_offset, 80min, scene.m_now);
    CPPUNIT_ASSERT_EQUAL(LogOffset{0}, OffsetBefore(clock, 40min, scene.m_now + 19min));
    const LogOffset before = OffsetBefore(clock, 40min, scene.m_now + 20min);
    CPPUNIT_ASSERT_EQUAL(scene.m_table.m_offset + 1, before);
    for (int i = 0; i < 3; ++i) {
      scene.m_now += 2s;
      OnLogRead(scene.m_owner, scene.m_now);
      scene.Perform(OnTick(scene.m_owner, scene.Context(), {.m_rewrite_before = before}));
    }
    CPPUNIT_ASSERT_EQUAL(Epoch{2}, scene.m_table.m_shards[0].m_epoch);
    CPPUNIT_ASSERT(std::holds_alternative<JobSnapshot>(scene.m_log.back()));
    CPPUNIT_ASSERT(scene.Assigned() && scene.m_calls.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobOwnerTest);

}  // namespace
}  // namespace ebonypin::core
