#include "capacity_heartbeats.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "ebonypin/wire/rpc.h"
#include "thread_cpu.h"

namespace ebonypin::bench {
namespace {

using namespace std::chrono_literals;

/// Pause between rounds, so that exchanges do not share wake-ups more than spread-out heartbeats
/// would.
constexpr auto kRoundInterval = 50ms;

core::Heartbeat MakeHeartbeat(const std::uint32_t member, const std::uint32_t attempts) {
  core::Heartbeat heartbeat{.m_agent = {"agent-" + std::to_string(member)},
                            .m_incarnation = 1,
                            .m_domain = {"domain-1"},
                            .m_rpc_address = "127.0.0.1:7201",
                            .m_capacity = {.m_cpu_millis = 16000, .m_memory_mb = 60000},
                            .m_slots = 8,
                            .m_config_offset = 1};
  for (std::uint32_t i = 0; i < attempts; ++i) {
    heartbeat.m_attempts.push_back(
        {.m_job = {"job-" + std::to_string(member) + "-" + std::to_string(i)},
         .m_attempt = 1,
         .m_epoch = 1});
  }
  return heartbeat;
}

core::HeartbeatReply MakeReply(const core::Heartbeat& heartbeat) {
  core::HeartbeatReply reply{.m_config_offset = heartbeat.m_config_offset};
  for (const auto& attempt : heartbeat.m_attempts) {
    reply.m_grants.push_back({.m_job = attempt.m_job,
                              .m_attempt = attempt.m_attempt,
                              .m_epoch = attempt.m_epoch,
                              .m_granted = true});
  }
  for (int i = 0; i < 3; ++i) {
    reply.m_entries.push_back({.m_entry = {"entry-" + std::to_string(i)},
                               .m_incarnation = 1,
                               .m_rpc_address = "127.0.0.1:7101",
                               .m_http_address = "127.0.0.1:7001"});
  }
  return reply;
}

/// Processor time of one thread between the first and the last call of Mark on it.
struct CpuSpan {
  std::atomic<double> m_first{-1};
  std::atomic<double> m_last{0};
  std::atomic<std::uint64_t> m_marks{0};

  void Mark() noexcept {
    const double now = ThreadCpuMicros();
    if (m_first < 0) m_first = now;
    m_last = now;
    ++m_marks;
  }
  [[nodiscard]] double PerMark() const noexcept {
    return m_marks > 1 ? (m_last - m_first) / static_cast<double>(m_marks - 1) : 0;
  }
};

}  // namespace

HeartbeatCost MeasureHeartbeats(const std::uint32_t members, const std::uint32_t rounds,
                                const std::uint32_t attempts) {
  CpuSpan entry_cpu;
  std::vector<CpuSpan> agent_cpu(members);
  wire::Rpc entry(
      {.m_listen_ip = "127.0.0.1",
       .m_handler = [&entry_cpu](const core::Message& message, const wire::ReplyFunction& reply) {
         entry_cpu.Mark();
         reply(MakeReply(std::get<core::Heartbeat>(message)));
       }});
  const std::string address = "127.0.0.1:" + std::to_string(entry.Port());
  std::vector<std::unique_ptr<wire::Rpc>> agents;
  for (std::uint32_t i = 0; i < members; ++i)
    agents.push_back(std::make_unique<wire::Rpc>(wire::RpcOptions{}));
  const auto heap_before = HeapBytes();

  std::atomic<std::uint32_t> answered{0};
  for (std::uint32_t round = 0; round < rounds; ++round) {
    for (std::uint32_t i = 0; i < members; ++i) {
      agents[i]->Call(address, MakeHeartbeat(i, attempts), 5s,
                      [&answered, &agent_cpu, i](const wire::CallResult& result) {
                        agent_cpu[i].Mark();
                        if (result.Get<core::HeartbeatReply>() != nullptr) ++answered;
                      });
    }
    std::this_thread::sleep_for(kRoundInterval);
  }
  const auto give_up = std::chrono::steady_clock::now() + 20s;
  while (answered < members * rounds && std::chrono::steady_clock::now() < give_up)
    std::this_thread::sleep_for(1ms);

  const auto bytes = entry.Counters();
  const auto exchanges = static_cast<double>(bytes.m_served);
  HeartbeatCost cost{
      .m_members = members,
      .m_exchanges = answered,
      .m_entry_cpu_us = entry_cpu.PerMark(),
      .m_sent_bytes = static_cast<double>(bytes.m_bytes_received) / exchanges,
      .m_received_bytes = static_cast<double>(bytes.m_bytes_sent) / exchanges,
      .m_entry_heap_bytes = static_cast<double>(HeapBytes() - heap_before) / members};
  for (const auto& span : agent_cpu) cost.m_agent_cpu_us += span.PerMark() / members;
  return cost;
}

}  // namespace ebonypin::bench
