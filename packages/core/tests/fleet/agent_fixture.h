/// Agent whose worker and coordinator are played by the test.
#pragma once

#include <cppunit/TestAssert.h>

#include <chrono>
#include <vector>

#include "ebonypin/core/fleet/worker_agent.h"

namespace ebonypin::core::fleet {

inline const TaskRef kTask{.m_job = {"j"}};

/// Agent with a grant of five seconds, whose worker has listed no runs.
class GrantedAgent {
 public:
  WorkerAgent m_agent{.m_id = {"a"}, .m_rpc_address = "a", .m_fence = 100};
  Time m_now{std::chrono::hours{1}};
  WorkerInfo m_worker{.m_id = {"w"},
                      .m_born = 1000,
                      .m_service = {"desk"},
                      .m_capacity = {.m_cpu_millis = 4000, .m_memory_mb = 4000}};

  std::uint64_t m_session = 9;

  GrantedAgent() {
    Begin(m_agent, m_now);
    OnHeartbeat(m_agent, m_now, m_worker, 1);
    Hold({});
    OnCoordinatorRead(m_agent, m_now, CoordinatorRecord{.m_epoch = 1, .m_rpc_address = "c"});
    Grant(std::chrono::seconds{5});
  }

  void Grant(const Duration grant) {
    OnReportReply(m_agent, m_now,
                  {.m_accepted = true, .m_epoch = 1, .m_session = m_session, .m_grant = grant});
  }

  /// Makes a hold call whose answer lists `runs` and `ends`.
  HoldCall Hold(const std::vector<ListedRun>& runs, const std::vector<RunEnded>& ends = {},
                const bool ends_complete = true) {
    m_now += std::chrono::milliseconds{100};
    const auto sent = m_now;
    auto call = NextHold(m_agent, sent);
    CPPUNIT_ASSERT(call.has_value());
    m_now += std::chrono::milliseconds{1};
    OnHold(m_agent, sent, m_now,
           HoldAnswer{.m_born = m_worker.m_born,
                      .m_clock_ms = 5000,
                      .m_runs = runs,
                      .m_ends = ends,
                      .m_ends_complete = ends_complete});
    return *call;
  }

  bool Order(const std::uint64_t number, const RunNumber run,
             const OrderKind kind = OrderKind::kStart) {
    return OnOrders(m_agent, m_now,
                    {.m_epoch = 1,
                     .m_session = m_session,
                     .m_orders = {{.m_number = number,
                                   .m_kind = kind,
                                   .m_start = {.m_task = kTask, .m_run = run}}}})
        .m_accepted;
  }

  /// Orders a start that the worker carries out.
  void StartRun(const std::uint64_t number, const RunNumber run) {
    CPPUNIT_ASSERT(Order(number, run));
    const auto calls = NextCalls(m_agent, m_now);
    OnRunAnswer(m_agent, m_now, calls.at(0), RunAnswer::kOk);
  }

  /// Makes a hold call that the worker does not answer.
  void FallSilent() {
    m_now += std::chrono::milliseconds{50};
    CPPUNIT_ASSERT(NextHold(m_agent, m_now).has_value());
    OnHold(m_agent, m_now, m_now, std::nullopt);
  }

  /// Announces the next worker, with which the coordinator begins another session.
  void Restart() {
    ++m_session;
    m_worker.m_id.m_value += "+";
    m_worker.m_born += 1000;
    OnHeartbeat(m_agent, m_now, m_worker, 1);
  }

  [[nodiscard]] std::size_t Crashes() { return MakeReport(m_agent, m_now).m_crashed.size(); }

  [[nodiscard]] bool Lists() { return !MakeReport(m_agent, m_now).m_runs.empty(); }
};

}  // namespace ebonypin::core::fleet
