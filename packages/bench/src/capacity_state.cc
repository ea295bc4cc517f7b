#include "capacity_state.h"

#include <random>
#include <string>
#include <vector>

#include "ebonypin/core/config_table.h"
#include "ebonypin/core/fleet_view.h"
#include "ebonypin/core/job_table.h"
#include "ebonypin/core/placement.h"
#include "ebonypin/wire/message_codec.h"
#include "ebonypin/wire/record_codec.h"
#include "thread_cpu.h"

namespace ebonypin::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kRecordsPerBatch = 64;
constexpr std::size_t kPayloadBytes = 200;

/// Encoded batches of a stream, as the log service would keep them.
std::vector<std::string> EncodeStream(const std::vector<core::LogRecord>& records) {
  std::vector<std::string> stream;
  for (std::size_t first = 0; first < records.size(); first += kRecordsPerBatch) {
    core::LogBatch batch{.m_batch_id = "batch-" + std::to_string(first), .m_entry = {"entry-1"}};
    const auto end = std::min(first + kRecordsPerBatch, records.size());
    batch.m_records.assign(records.begin() + static_cast<std::ptrdiff_t>(first),
                           records.begin() + static_cast<std::ptrdiff_t>(end));
    stream.push_back(wire::EncodeBatch(batch));
  }
  return stream;
}

std::size_t TotalBytes(const std::vector<std::string>& stream) {
  std::size_t bytes = 0;
  for (const auto& batch : stream) bytes += batch.size();
  return bytes;
}

std::vector<core::LogRecord> JobRecords(const std::size_t jobs) {
  std::vector<core::LogRecord> records;
  for (core::ShardIndex shard = 0; shard < core::kShardCount; ++shard) {
    records.emplace_back(core::ShardClaimed{
        .m_shard = shard, .m_epoch = 1, .m_entry = {"entry-1"}, .m_incarnation = 1});
  }
  for (std::size_t i = 0; i < jobs; ++i) {
    const core::JobId job{"job-" + std::to_string(i)};
    records.emplace_back(
        core::JobAccepted{.m_job = job,
                          .m_entry = {"entry-1"},
                          .m_request = {.m_id = {"request-" + std::to_string(i)},
                                        .m_class = {"certificate"},
                                        .m_key = "invoice-" + std::to_string(i),
                                        .m_size = {.m_cpu_millis = 1000, .m_memory_mb = 512},
                                        .m_payload = std::string(kPayloadBytes, 'x')}});
    records.emplace_back(core::JobAssigned{.m_job = job,
                                           .m_attempt = 1,
                                           .m_epoch = 1,
                                           .m_entry = {"entry-1"},
                                           .m_agent = {"agent-" + std::to_string(i % 1000)},
                                           .m_agent_incarnation = 1,
                                           .m_reservation = i});
  }
  return records;
}

core::ClassSpec MakeClass(const std::size_t index) {
  return {.m_name = {"class-" + std::to_string(index)},
          .m_team = {"team-" + std::to_string(index % 110)},
          .m_target = {.m_start_within = 200ms, .m_latency = 400ms}};
}

core::Heartbeat MakeHeartbeat(const std::size_t agent) {
  return {.m_agent = {"agent-" + std::to_string(agent)},
          .m_incarnation = 1,
          .m_domain = {"domain-" + std::to_string(agent % 3)},
          .m_rpc_address = "127.0.0.1:7201",
          .m_capacity = {.m_cpu_millis = 16000,
                         .m_memory_mb = 60000,
                         .m_accelerators = agent % 2 == 0 ? 2 : 0},
          .m_slots = 8};
}

}  // namespace

JobTableCost MeasureJobTable(const std::size_t jobs) {
  const auto records = JobRecords(jobs);
  const auto stream = EncodeStream(records);
  const auto heap_before = HeapBytes();
  const double cpu_before = ThreadCpuMicros();
  core::JobTable table;
  std::vector<core::JobEvent> events;
  core::LogOffset offset = 0;
  for (const auto& bytes : stream) {
    const auto batch = core::Capture([&] { return wire::DecodeBatch(bytes); });
    core::Apply(table, ++offset, *batch.m_value, events);
    events.clear();
  }
  const double cpu = ThreadCpuMicros() - cpu_before;
  const auto count = static_cast<double>(records.size());
  return {
      .m_jobs = core::OpenCount(table),
      .m_heap_bytes = static_cast<double>(HeapBytes() - heap_before) / static_cast<double>(jobs),
      .m_apply_us = cpu / count,
      .m_record_bytes = static_cast<double>(TotalBytes(stream)) / count,
      .m_replay_seconds = cpu / 1e6};
}

ConfigCost MeasureConfig(const std::size_t classes) {
  std::vector<core::LogRecord> records;
  for (std::size_t i = 0; i < classes; ++i) {
    records.emplace_back(core::ClassPut{.m_spec = MakeClass(i),
                                        .m_operator = "operator-1",
                                        .m_change_id = "change-" + std::to_string(i)});
  }
  const auto stream = EncodeStream(records);
  const auto heap_before = HeapBytes();
  const double cpu_before = ThreadCpuMicros();
  core::ConfigTable table;
  std::vector<core::AuditEntry> changes;
  core::LogOffset offset = 0;
  for (const auto& bytes : stream) {
    const auto batch = core::Capture([&] { return wire::DecodeBatch(bytes); });
    core::Apply(table, ++offset, *batch.m_value, changes);
    changes.clear();
  }
  const double cpu = ThreadCpuMicros() - cpu_before;
  core::HeartbeatReply reply{.m_config_offset = offset};
  for (const auto& [name, spec] : core::InForce(table).m_classes) reply.m_classes.push_back(spec);
  return {
      .m_classes = reply.m_classes.size(),
      .m_heap_bytes = static_cast<double>(HeapBytes() - heap_before) / static_cast<double>(classes),
      .m_apply_us = cpu / static_cast<double>(classes),
      .m_full_reply_bytes = static_cast<double>(wire::EncodedSize(reply))};
}

FleetCost MeasureFleet(const std::size_t agents) {
  std::vector<core::Heartbeat> heartbeats;
  for (std::size_t i = 0; i < agents; ++i) heartbeats.push_back(MakeHeartbeat(i));
  const auto heap_before = HeapBytes();
  core::FleetView fleet;
  core::Time now{1s};
  for (const auto& heartbeat : heartbeats) core::ObserveHeartbeat(fleet, heartbeat, now);
  FleetCost cost{
      .m_agents = agents,
      .m_heap_bytes = static_cast<double>(HeapBytes() - heap_before) / static_cast<double>(agents)};

  constexpr std::size_t kRepeats = 10;
  double before = ThreadCpuMicros();
  for (std::size_t round = 0; round < kRepeats; ++round) {
    now += 1s;
    for (const auto& heartbeat : heartbeats) core::ObserveHeartbeat(fleet, heartbeat, now);
  }
  cost.m_heartbeat_us = (ThreadCpuMicros() - before) / static_cast<double>(agents * kRepeats);

  before = ThreadCpuMicros();
  for (std::size_t round = 0; round < kRepeats; ++round) (void)core::SweepFleet(fleet, {}, now);
  cost.m_sweep_us = (ThreadCpuMicros() - before) / kRepeats;

  constexpr std::size_t kPlacements = 20'000;
  std::mt19937_64 random(1);
  const core::PlacementNeed need{.m_size = {.m_cpu_millis = 500, .m_memory_mb = 256}};
  before = ThreadCpuMicros();
  std::size_t placed = 0;
  for (std::size_t i = 0; i < kPlacements; ++i) {
    placed +=
        core::PlaceWork(fleet, {.m_own_domain = {"domain-0"}}, need, random).m_agent ? 1U : 0U;
  }
  cost.m_placement_us = (ThreadCpuMicros() - before) / static_cast<double>(placed);
  return cost;
}

}  // namespace ebonypin::bench
