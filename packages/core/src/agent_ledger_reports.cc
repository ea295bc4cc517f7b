/// Reports of ended attempts, which are kept until acknowledged, and usage reports.
#include <algorithm>
#include <utility>

#include "agent_ledger_internal.h"

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

constexpr Duration kFirstResendDelay = 1s;
/// Rate at which unacknowledged reports are sent again, so that large ones do not use up the
/// control traffic of 8 KB/s. kMaxResendDelay bounds the delay after an outage. An acknowledgement
/// makes all other reports due within kFirstResendDelay.
constexpr std::int64_t kResendBytesPerSecond = 4096;
constexpr Duration kMaxResendDelay = 120s;
/// Limit of the exponential backoff while few bytes of reports are unacknowledged.
constexpr Duration kMaxDoubledDelay = 8s;

/// Processor use above which batch work is throttled while requests are present, and below which
/// its share grows, in percent.
constexpr std::int64_t kThrottleAbovePercent = 90;
constexpr std::int64_t kGrowBelowPercent = 80;
/// Growth of the batch share per usage report, in thousandths.
constexpr std::uint32_t kShareStep = 50;

std::size_t SizeOf(const TaskReport& report) {
  return report.m_result.size() + report.m_checkpoint.size();
}

Duration NextBackoff(const AgentLedger& ledger, const LedgerReport& held) {
  const auto doubled = std::min(held.m_backoff * 2, kMaxDoubledDelay);
  const auto seconds = static_cast<std::int64_t>(ledger.m_report_bytes) / kResendBytesPerSecond;
  return std::clamp<Duration>(std::chrono::seconds{seconds}, doubled, kMaxResendDelay);
}

}  // namespace

namespace agent {

void AddReport(AgentLedger& ledger, TaskReport report, const Time now, AgentActions& out) {
  const TaskId task{.m_job = report.m_job, .m_attempt = report.m_attempt};
  ledger.m_report_bytes += SizeOf(report);
  auto& held = ledger.m_reports[task];
  held = {.m_report = std::move(report),
          .m_to = ledger.m_owners[ShardOf(task.m_job)],
          .m_next_send = now + kFirstResendDelay,
          .m_backoff = kFirstResendDelay};
  out.emplace_back(SendReport{.m_to = held.m_to, .m_report = held.m_report});
}

void SendDueReports(AgentLedger& ledger, const Time now, AgentActions& out) {
  for (auto& [task, held] : ledger.m_reports) {
    if (held.m_next_send > now) continue;
    // An owner that did not answer twice may be gone; any other entry knows the new owner.
    if (held.m_backoff > kFirstResendDelay) held.m_to.clear();
    held.m_backoff = NextBackoff(ledger, held);
    held.m_next_send = now + held.m_backoff;
    out.emplace_back(SendReport{.m_to = held.m_to, .m_report = held.m_report});
  }
}

}  // namespace agent

AgentActions OnReportReply(AgentLedger& ledger, const TaskId& task, const TaskReportReply& reply,
                           const std::string& from, const Time now) {
  AgentActions out;
  const auto found = ledger.m_reports.find(task);
  if (found == ledger.m_reports.end()) return out;
  auto& held = found->second;
  if (reply.m_acknowledged) {
    ledger.m_owners[ShardOf(task.m_job)] = from;
    ledger.m_report_bytes -= SizeOf(held.m_report);
    ledger.m_ended_attempts[task] = {.m_phase = held.m_report.m_phase,
                                     .m_outcome = held.m_report.m_outcome};
    ledger.m_ended_order.emplace_back(now, task);
    ledger.m_reports.erase(found);
    out.emplace_back(ForgetTask{task});
    // The log is available again, so the other reports need not wait for their backoff.
    for (auto& [id, other] : ledger.m_reports)
      other.m_next_send = std::min(other.m_next_send, now + kFirstResendDelay);
  } else if (reply.m_not_owner && !reply.m_owner.m_rpc_address.empty()) {
    held.m_to = reply.m_owner.m_rpc_address;
    held.m_backoff = kFirstResendDelay;
    // The delay limits the loop of two entries that each name the other one as the owner.
    held.m_next_send = now + 100ms;
    ledger.m_owners[ShardOf(task.m_job)] = held.m_to;
  }
  return out;
}

AgentActions OnUsage(AgentLedger& ledger, const UsageReport& usage, const Time now) {
  AgentActions out;
  const auto capacity = std::max<std::int64_t>(ledger.m_options.m_capacity.m_cpu_millis, 1);
  const auto percent = usage.m_used.m_cpu_millis * 100 / capacity;
  const bool requests_wait = !ledger.m_runs.empty();
  // Use measured before the last reduction does not show its effect yet.
  const bool shows_last_change = now - usage.m_lag >= ledger.m_batch_share_changed;
  auto share = ledger.m_batch_share;
  if (percent > kThrottleAbovePercent && requests_wait && shows_last_change) {
    share = std::max(share / 2, agent::kMinBatchShare);
  } else if (percent < kGrowBelowPercent || ledger.m_runs.empty()) {
    share = std::min(share + kShareStep, agent::kFullShare);
  }
  if (share != ledger.m_batch_share) {
    if (share < ledger.m_batch_share) ledger.m_batch_share_changed = now;
    ledger.m_batch_share = share;
    agent::SyncShares(ledger, now, out);
  }
  return out;
}

}  // namespace ebonypin::core
