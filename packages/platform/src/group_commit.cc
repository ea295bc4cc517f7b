#include "ebonypin/platform/group_commit.h"

#include <algorithm>
#include <type_traits>

#include "ebonypin/wire/limits.h"
#include "ebonypin/wire/record_codec.h"

namespace ebonypin::platform {
namespace {

using namespace std::chrono_literals;

constexpr core::Duration kLongestWake = 100ms;

/// Upper bound, in bytes, for the ids, numbers and framing of one record.
constexpr std::size_t kRecordOverhead = 1024;

/// Estimates the encoded size from the fields that can be large.
std::size_t SizeOf(const core::LogRecord& record) {
  return kRecordOverhead +
         std::visit(wire::Overloaded{
                        [](const core::JobAccepted& r) {
                          return r.m_request.m_payload.size() + r.m_request.m_key.size();
                        },
                        [](const core::JobRequeued& r) {
                          return r.m_checkpoint.size() + r.m_reason.size();
                        },
                        [](const core::JobFinished& r) { return r.m_result.size(); },
                        [](const core::JobSnapshot& r) {
                          return r.m_state.m_request.m_payload.size() +
                                 r.m_state.m_checkpoint.size() + r.m_state.m_result.size();
                        },
                        [](const core::WatchUpdated& r) { return r.m_value.size(); },
                        [](const auto&) { return std::size_t{0}; },
                    },
                    record);
}

AppendOutcome NotAppended(std::string what) {
  return {.m_kind = AppendOutcomeKind::kNotAppended,
          .m_error = core::Error{.m_kind = core::ErrorKind::kLogUnavailable,
                                 .m_message = std::move(what) + "; nothing was recorded, retry",
                                 .m_retry_after = 1s}};
}

AppendOutcome Unknown() {
  return {.m_kind = AppendOutcomeKind::kUnknown,
          .m_error = core::Error{
              .m_kind = core::ErrorKind::kTimeout,
              .m_message = "the log service did not confirm the record; ask for its status"}};
}

OpenBatch FormBatch(GroupCommit& state, const core::Time now) {
  const auto& options = state.m_options;
  core::LogBatch batch{.m_batch_id = options.m_entry.m_value + "." +
                                     std::to_string(options.m_incarnation) + "." +
                                     std::to_string(++state.m_last_batch),
                       .m_entry = options.m_entry};
  OpenBatch open{.m_batch_id = batch.m_batch_id, .m_formed = now, .m_next_try = now};
  std::size_t bytes = 0;
  while (!state.m_queue.empty() && batch.m_records.size() < options.m_max_records) {
    auto& next = state.m_queue.front();
    if (!batch.m_records.empty() && bytes + next.m_bytes > options.m_max_bytes) break;
    bytes += next.m_bytes;
    batch.m_records.push_back(std::move(next.m_record));
    open.m_tickets.push_back(next.m_ticket);
    state.m_queue.pop_front();
  }
  open.m_bytes = wire::EncodeBatch(batch);
  return open;
}

bool HasFailingBatch(const GroupCommit& state) {
  return std::any_of(state.m_open.begin(), state.m_open.end(),
                     [](const OpenBatch& batch) { return batch.m_failing; });
}

/// Returns whether enough is queued, or has waited long enough, to form a batch.
bool IsBatchDue(const GroupCommit& state, const core::Time now) {
  return !state.m_queue.empty() &&
         (state.m_queue.size() >= state.m_options.m_max_records ||
          now - state.m_queue.front().m_submitted >= state.m_options.m_batch_delay);
}

}  // namespace

std::optional<std::uint64_t> Submit(GroupCommit& state, const core::Time now,
                                    core::LogRecord record) {
  if (state.m_queue.size() >= state.m_options.m_queue_limit) {
    ++state.m_counters.m_refused;
    return std::nullopt;
  }
  const auto bytes = SizeOf(record);
  state.m_queue.push_back({.m_ticket = ++state.m_last_ticket,
                           .m_submitted = now,
                           .m_bytes = bytes,
                           .m_record = std::move(record)});
  return state.m_last_ticket;
}

std::optional<AppendAction> NextAppend(GroupCommit& state, const core::Time now) {
  if (state.m_in_flight || now < state.m_next_append) return std::nullopt;
  auto due = std::find_if(state.m_open.begin(), state.m_open.end(),
                          [now](const OpenBatch& batch) { return batch.m_next_try <= now; });
  if (due != state.m_open.end()) {
    ++state.m_counters.m_repeats;
  } else {
    // While appends fail, a new batch would only add records whose outcome is unknown.
    if (HasFailingBatch(state) || !IsBatchDue(state, now)) return std::nullopt;
    state.m_open.push_back(FormBatch(state, now));
    due = std::prev(state.m_open.end());
    state.m_counters.m_records += due->m_tickets.size();
  }
  ++state.m_counters.m_appends;
  state.m_next_append =
      now + core::Duration{1s} / std::max(1U, state.m_options.m_max_appends_per_second);
  state.m_in_flight = due->m_batch_id;
  return AppendAction{.m_batch_id = due->m_batch_id, .m_bytes = due->m_bytes};
}

core::Time NextWake(const GroupCommit& state, const core::Time now) {
  auto wake = now + kLongestWake;
  if (!state.m_in_flight) {
    for (const auto& batch : state.m_open) {
      wake = std::min(wake, std::max(batch.m_next_try, state.m_next_append));
    }
    if (!state.m_queue.empty() && !HasFailingBatch(state)) {
      const auto due = state.m_queue.size() >= state.m_options.m_max_records
                           ? now
                           : state.m_queue.front().m_submitted + state.m_options.m_batch_delay;
      wake = std::min(wake, std::max(due, state.m_next_append));
    }
  }
  return wake;
}

void OnAppendAnswer(GroupCommit& state, const core::Time now, const AppendAnswer answer) {
  if (answer == AppendAnswer::kNoAnswer) ++state.m_counters.m_answers_lost;
  const auto batch_id = std::move(state.m_in_flight);
  state.m_in_flight.reset();
  const auto batch =
      std::find_if(state.m_open.begin(), state.m_open.end(),
                   [&](const OpenBatch& open) { return open.m_batch_id == batch_id; });
  if (batch == state.m_open.end()) return;  // Read back or expired before the answer.
  batch->m_failing = answer != AppendAnswer::kOk;
  if (answer != AppendAnswer::kNotWritten) batch->m_maybe_sent = true;
  batch->m_next_try = now + (answer == AppendAnswer::kOk ? state.m_options.m_read_back_timeout
                                                         : state.m_options.m_retry_delay);
}

std::vector<AppendCompletion> OnReadBack(GroupCommit& state, const std::string& batch_id,
                                         const core::LogOffset offset) {
  std::vector<AppendCompletion> completions;
  const auto batch =
      std::find_if(state.m_open.begin(), state.m_open.end(),
                   [&](const OpenBatch& open) { return open.m_batch_id == batch_id; });
  if (batch == state.m_open.end()) return completions;
  for (const auto ticket : batch->m_tickets) {
    completions.push_back(
        {.m_ticket = ticket,
         .m_outcome = {.m_kind = AppendOutcomeKind::kAppended, .m_offset = offset}});
  }
  state.m_open.erase(batch);
  return completions;
}

std::vector<AppendCompletion> Expire(GroupCommit& state, const core::Time now) {
  std::vector<AppendCompletion> completions;
  for (auto batch = state.m_open.begin(); batch != state.m_open.end();) {
    const bool in_flight = state.m_in_flight == batch->m_batch_id;
    const auto limit =
        batch->m_maybe_sent ? state.m_options.m_confirm_timeout : state.m_options.m_unsent_timeout;
    if (in_flight || now - batch->m_formed < limit) {
      ++batch;
      continue;
    }
    const auto outcome =
        batch->m_maybe_sent ? Unknown() : NotAppended("the log service is unavailable");
    for (const auto ticket : batch->m_tickets) completions.push_back({ticket, outcome});
    batch = state.m_open.erase(batch);
  }
  while (!state.m_queue.empty() &&
         now - state.m_queue.front().m_submitted >= state.m_options.m_unsent_timeout) {
    completions.push_back(
        {state.m_queue.front().m_ticket, NotAppended("the log service is slow or unavailable")});
    state.m_queue.pop_front();
  }
  return completions;
}

}  // namespace ebonypin::platform
