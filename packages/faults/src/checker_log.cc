#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "checker_parts.h"

namespace ebonypin::faults {
namespace {

/// Without faults, a change must be in force at every process within this time.
constexpr std::int64_t kInForceWithinUs = 6'000'000;

struct Shard {
  std::uint64_t m_epoch = 0;
  std::string m_owner;
};

/// Applies one record of the job stream; returns whether it took effect.
bool ApplyRecord(ReplayedLog& log, std::array<Shard, 16>& shards, const Event& event) {
  Shard& shard = shards[event.m_shard % shards.size()];
  const std::string& record = event.m_record;
  if (record == "claimed") {
    if (event.m_epoch != shard.m_epoch + 1) return false;
    shard = {.m_epoch = event.m_epoch, .m_owner = event.m_text};
    return true;
  }
  if (record == "released") {
    if (event.m_epoch != shard.m_epoch || event.m_text != shard.m_owner) return false;
    shard.m_owner.clear();
    return true;
  }
  if (record == "accepted") {
    if (log.m_jobs.contains(event.m_job)) return false;
    if (!event.m_key.empty() && !log.m_keys.emplace(event.m_key, event.m_job).second) return false;
    log.m_jobs[event.m_job] = {.m_request = event.m_request,
                               .m_key = event.m_key,
                               .m_class = event.m_class,
                               .m_non_idempotent = event.m_non_idempotent};
    return true;
  }
  const auto found = log.m_jobs.find(event.m_job);
  if (found == log.m_jobs.end() || found->second.m_closed) return false;
  ReplayedJob& job = found->second;
  const auto close = [&job, &event](const std::string& outcome) {
    job.m_closed = true;
    job.m_outcome = outcome;
    job.m_result = event.m_result;
    job.m_closed_us = event.m_at_us;
  };
  if (record == "cancelled") {
    job.m_cancel_requested = true;
    if (!job.m_assigned) close("cancelled");
    return true;
  }
  if (event.m_epoch != shard.m_epoch || shard.m_owner.empty()) return false;
  if (record == "assigned") {
    if (job.m_assigned || event.m_attempt != job.m_attempt + 1) return false;
    job.m_attempt = event.m_attempt;
    job.m_assigned = true;
    return true;
  }
  if (event.m_attempt != job.m_attempt) return false;
  if (record == "requeued") {
    if (!job.m_assigned) return false;
    job.m_assigned = false;
    if (job.m_cancel_requested) close("cancelled");
    return true;
  }
  if (record == "finished") {
    const bool needs_no_assignment = event.m_text == "cancelled" || event.m_text == "never_fits";
    if (!job.m_assigned && !needs_no_assignment) return false;
    close(event.m_text);
    return true;
  }
  return false;
}

}  // namespace

ReplayedLog ReplayJobLog(const History& history) {
  ReplayedLog log;
  std::array<Shard, 16> shards;
  std::map<std::string, std::uint64_t> batches;  // First offset of each batch id.
  for (const Event& event : history) {
    if (event.m_kind != EventKind::kLogRecord || event.m_source != "jobs") continue;
    if (batches.emplace(event.m_batch, event.m_offset).first->second != event.m_offset) continue;
    if (event.m_record == "snapshot" || event.m_record == "alive" || event.m_record == "watch")
      continue;
    if (!ApplyRecord(log, shards, event)) ++log.m_void;
  }
  return log;
}

void CheckConfig(const History& history, Verdict& verdict) {
  struct Change {
    std::uint64_t m_revision = 0;
    std::string m_text;
    std::int64_t m_at_us = 0;
  };
  std::map<std::string, std::map<std::uint64_t, Change>> changes;  // By class and offset.
  std::map<std::string, std::uint64_t> current;
  std::map<std::string, bool> outcomes;  // By change id.
  std::set<std::string> batches;
  std::map<std::string, std::map<std::string, Event>> in_force;  // By source and class.
  std::map<std::string, std::int64_t> started;
  std::int64_t faults_over = 0;
  for (const Event& event : history) {
    if (event.m_kind == EventKind::kFaultsOver) faults_over = event.m_at_us;
    if (event.m_kind == EventKind::kProcessStarted) {
      in_force[event.m_source].clear();
      started[event.m_source] = event.m_at_us;
    }
    if (event.m_kind == EventKind::kProcessStopped) {
      in_force.erase(event.m_source);
      started.erase(event.m_source);
    }
    if (event.m_kind == EventKind::kLogRecord && event.m_record == "put") {
      const bool fresh = batches.insert(event.m_batch + " " + event.m_request).second;
      if (!fresh || outcomes.contains(event.m_request)) continue;
      const bool effective = event.m_revision == current[event.m_class];
      outcomes[event.m_request] = effective;
      if (effective)
        changes[event.m_class][event.m_offset] = {.m_revision = ++current[event.m_class],
                                                  .m_text = event.m_text,
                                                  .m_at_us = event.m_at_us};
    }
    if (event.m_kind == EventKind::kChangeAnswered && event.m_text != "unknown") {
      ++verdict.m_operations;
      const auto outcome = outcomes.find(event.m_request);
      if (outcome == outcomes.end() || outcome->second != (event.m_text == "in_force"))
        AddViolation(verdict, "I9",
                     "operator got a wrong answer to change " + event.m_request + AtTime(event));
    }
    if (event.m_kind != EventKind::kConfigInForce) continue;
    ++verdict.m_operations;
    const auto& of_class = changes[event.m_class];
    const auto change = std::find_if(of_class.begin(), of_class.end(), [&event](const auto& item) {
      return item.second.m_revision == event.m_revision && item.second.m_text == event.m_text;
    });
    if (change == of_class.end())
      AddViolation(verdict, "I9",
                   event.m_source + " put " + event.m_class + " revision " +
                       std::to_string(event.m_revision) + " with a content in force " +
                       "that no change had" + AtTime(event));
    auto& last = in_force[event.m_source][event.m_class];
    if (event.m_revision < last.m_revision)
      AddViolation(verdict, "I9",
                   event.m_source + " reverted " + event.m_class + " from revision " +
                       std::to_string(last.m_revision) + " to " + std::to_string(event.m_revision) +
                       AtTime(event));
    if (faults_over == 0 || event.m_at_us < faults_over) {
      last = event;
      continue;
    }
    // Changes made from 20 s after the last fault on must arrive within 6 s.
    if (change != of_class.end() && event.m_revision > last.m_revision &&
        change->second.m_at_us >= faults_over + 20'000'000 &&
        event.m_at_us >
            std::max(change->second.m_at_us, started[event.m_source]) + kInForceWithinUs)
      AddViolation(verdict, "I9",
                   event.m_source + " got " + event.m_class + " late" + AtTime(event));
    last = event;
  }
  // Changes made in the last 6 s may not have arrived yet.
  const std::int64_t arrived_by = history.empty() ? 0 : history.back().m_at_us - kInForceWithinUs;
  for (const auto& [name, of_class] : changes) {
    std::uint64_t revision = 0;
    for (const auto& [offset, change] : of_class)
      if (change.m_at_us < arrived_by) revision = change.m_revision;
    for (const auto& [source, at] : started) {
      if (in_force[source][name].m_revision < revision)
        AddViolation(verdict, "I9",
                     std::string(source).append(" does not have the last ").append(name));
    }
  }
}

void CheckWatches(const History& history, Verdict& verdict) {
  std::map<std::string, std::vector<std::string>> updates;  // By topic, in order.
  std::map<std::string, std::size_t> read;
  std::map<std::string, bool> gap;
  std::set<std::string> seen;
  std::map<std::string, std::uint64_t> batches;
  for (const Event& event : history) {
    if (event.m_kind == EventKind::kLogRecord && event.m_record == "watch") {
      if (batches.emplace(event.m_batch, event.m_offset).first->second != event.m_offset) continue;
      if (seen.insert(event.m_key + " " + event.m_request).second)
        updates[event.m_key].push_back(event.m_request);
    } else if (event.m_kind == EventKind::kWatchPosted) {
      ++verdict.m_operations;
      if (!seen.contains(event.m_key + " " + event.m_request))
        AddViolation(verdict, "answer",
                     "update " + event.m_request + " was answered but not in the log");
    } else if (event.m_kind == EventKind::kWatchGap) {
      gap[event.m_key] = true;
    } else if (event.m_kind == EventKind::kWatchRead) {
      ++verdict.m_operations;
      const auto& known = updates[event.m_key];
      const auto found = std::find(known.begin(), known.end(), event.m_request);
      const auto index = static_cast<std::size_t>(found - known.begin());
      std::size_t& next = read[event.m_key];
      const bool in_order =
          found != known.end() && (index == next || (gap[event.m_key] && index > next));
      if (!in_order)
        AddViolation(verdict, "watch",
                     "update " + event.m_request + " of " + event.m_key +
                         " was read out of order, twice or after a dropped one" + AtTime(event));
      next = index + 1;
      gap[event.m_key] = false;
    }
  }
  for (const auto& [topic, known] : updates) {
    if (read[topic] != known.size())
      AddViolation(verdict, "watch", "updates of " + topic + " were never read");
  }
}

}  // namespace ebonypin::faults
