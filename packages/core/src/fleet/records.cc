#include "ebonypin/core/fleet/records.h"

#include <type_traits>

namespace ebonypin::core::fleet {
namespace {

std::uint32_t CountTasks(const JobSpec& job, const std::uint32_t steps) noexcept {
  std::uint32_t count = 0;
  for (std::uint32_t i = 0; i < steps && i < job.m_steps.size(); ++i)
    count += job.m_steps[i].m_count;
  return count;
}

}  // namespace

std::string JobKey(const JobId& job) { return "job/" + job.m_value; }
std::string ProgressKey(const JobId& job, const std::uint32_t part) {
  return "progress/" + job.m_value + (part == 0 ? "" : "/" + std::to_string(part));
}
std::string MemberKey(const AgentId& agent) { return "member/" + agent.m_value; }

std::string KeyOf(const RecordChange& change) {
  return std::visit(
      [](const auto& record) -> std::string {
        using T = std::decay_t<decltype(record)>;
        if constexpr (std::is_same_v<T, JobSpec>) {
          return JobKey(record.m_id);
        } else if constexpr (std::is_same_v<T, JobProgress>) {
          return ProgressKey(record.m_job, record.m_part);
        } else if constexpr (std::is_same_v<T, MemberRecord>) {
          return MemberKey(record.m_agent);
        } else if constexpr (std::is_same_v<T, ImagePairsRecord>) {
          return std::string{kImagePairsKey};
        } else if constexpr (std::is_same_v<T, SettledRecord>) {
          return std::string{kSettledKey};
        } else {
          return record.m_key;
        }
      },
      change);
}

std::uint32_t FirstPart(const JobSpec& job, const std::uint32_t occurrence) noexcept {
  const auto tasks = CountTasks(job, static_cast<std::uint32_t>(job.m_steps.size()));
  return occurrence * ((tasks + kTasksPerPart - 1) / kTasksPerPart);
}

std::uint32_t PartOf(const JobSpec& job, const TaskRef& task) noexcept {
  return FirstPart(job, task.m_occurrence) +
         (CountTasks(job, task.m_step) + task.m_index) / kTasksPerPart;
}

}  // namespace ebonypin::core::fleet
