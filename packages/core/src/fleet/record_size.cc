#include "ebonypin/core/fleet/record_size.h"

#include <algorithm>
#include <vector>

namespace ebonypin::core::fleet {
namespace {

/// A record begins with its length, the length of its key and the key; the encoding begins with a
/// table of segments.
constexpr std::size_t kFrameBytes = 64;
/// Packing turns a word into at most ten bytes.
constexpr std::size_t kPackedWordBytes = 10;
constexpr std::size_t kWordBytes = 8;
/// Pointer to an object, which may be in another segment, and the object's own header.
constexpr std::size_t kPointerWords = 4;
/// Fields of the largest struct without what its pointers refer to.
constexpr std::size_t kStructWords = 16;

constexpr std::size_t BlobWords(const std::size_t bytes) noexcept {
  return kPointerWords + (bytes + kWordBytes) / kWordBytes;
}

std::size_t Words(const StepSpec& step) noexcept {
  return kStructWords + BlobWords(step.m_after.size() * sizeof(std::uint32_t)) +
         BlobWords(step.m_required_label.size()) + BlobWords(step.m_data_rack.size()) +
         BlobWords(step.m_image.m_value.size());
}

std::size_t Words(const JobSpec& job) noexcept {
  std::size_t words = 2 * kStructWords + BlobWords(job.m_id.m_value.size()) +
                      BlobWords(job.m_policy.m_queue.m_value.size()) +
                      BlobWords(job.m_policy.m_service.m_value.size()) +
                      BlobWords(job.m_payload.size());
  for (const auto& step : job.m_steps) words += Words(step);
  return words;
}

std::size_t Words(const TaskProgress& task) noexcept {
  return kStructWords / 2 + BlobWords(task.m_checkpoint.size()) +
         BlobWords(task.m_crashes.size() * sizeof(RunNumber));
}

std::size_t Words(const JobProgress& progress) noexcept {
  std::size_t words = 2 * kStructWords + BlobWords(progress.m_job.m_value.size()) +
                      BlobWords(progress.m_closed_occurrences.size() * sizeof(std::uint32_t));
  for (const auto& task : progress.m_tasks) words += Words(task);
  return words;
}

std::size_t Words(const MemberRecord& member) noexcept {
  return kStructWords + BlobWords(member.m_agent.m_value.size()) +
         BlobWords(member.m_rpc_address.size()) + BlobWords(member.m_worker.m_value.size());
}

std::size_t Words(const ImagePair& pair) noexcept {
  return kStructWords + BlobWords(pair.m_serving.m_value.size()) +
         BlobWords(pair.m_filling.m_value.size());
}

std::size_t Words(const ImagePairsRecord& record) noexcept {
  std::size_t words = kStructWords;
  for (const auto& pair : record.m_pairs) words += Words(pair);
  return words;
}

std::size_t Words(const SettledRecord& /*settled*/) noexcept { return kStructWords; }

std::size_t Words(const RemovedRecord& /*removed*/) noexcept { return 0; }

std::size_t KeyBytes(const RecordChange& change) noexcept {
  if (const auto* const job = std::get_if<JobSpec>(&change)) return job->m_id.m_value.size();
  if (const auto* const progress = std::get_if<JobProgress>(&change)) {
    return progress->m_job.m_value.size();
  }
  if (const auto* const member = std::get_if<MemberRecord>(&change)) {
    return member->m_agent.m_value.size();
  }
  if (const auto* const removed = std::get_if<RemovedRecord>(&change)) return removed->m_key.size();
  return 0;
}

}  // namespace

std::size_t MaxRecordBytes(const RecordChange& change) noexcept {
  const auto words = std::visit([](const auto& record) { return Words(record); }, change);
  return kFrameBytes + KeyBytes(change) + kPackedWordBytes * words;
}

bool FitsRecord(const JobSpec& job, const RecordLimits& limits,
                const std::function<std::size_t(const JobSpec&)>& encoded_bytes) {
  if (MaxRecordBytes(job) <= limits.m_record_bytes) return true;
  // A record begins with the length of its key and the key.
  return 1 + JobKey(job.m_id).size() + encoded_bytes(job) <= limits.m_record_bytes;
}

void FitStates(JobProgress& progress, const RecordLimits& limits) {
  auto bytes = MaxRecordBytes(progress);
  if (bytes <= limits.m_record_bytes) return;
  std::vector<TaskProgress*> tasks;
  for (auto& task : progress.m_tasks) tasks.push_back(&task);
  std::sort(tasks.begin(), tasks.end(), [](const auto* a, const auto* b) {
    return a->m_checkpoint.size() > b->m_checkpoint.size();
  });
  for (auto* const task : tasks) {
    if (bytes <= limits.m_record_bytes) return;
    bytes -= kPackedWordBytes * (BlobWords(task->m_checkpoint.size()) - BlobWords(0));
    task->m_checkpoint.clear();
  }
}

void FitPairs(ImagePairsRecord& record, const RecordLimits& limits) {
  auto bytes = MaxRecordBytes(record);
  while (bytes > limits.m_record_bytes && !record.m_pairs.empty()) {
    bytes -= kPackedWordBytes * Words(record.m_pairs.back());
    record.m_pairs.pop_back();
  }
}

RecordLimits LowerLimits(const RecordLimits& limits) noexcept {
  constexpr RecordLimits kLowest{.m_record_bytes = 32'768, .m_append_bytes = 65'536};
  return {.m_record_bytes = std::max(limits.m_record_bytes / 2, kLowest.m_record_bytes),
          .m_append_bytes = std::max(limits.m_append_bytes / 2, kLowest.m_append_bytes)};
}

}  // namespace ebonypin::core::fleet
