#include "ebonypin/core/fleet/share_report.h"

#include <array>
#include <cstdio>
#include <set>

namespace ebonypin::core::fleet {
namespace {

std::string Number(const double value) {
  std::array<char, 32> text{};
  (void)std::snprintf(text.data(), text.size(), "%.2f", value);
  return text.data();
}

std::string Millis(const double value) { return std::to_string(static_cast<std::int64_t>(value)); }

bool IsServing(const LocalRun& run) noexcept { return run.m_order.m_latency_target > Duration{}; }

void Append(std::string& list, const std::string& item) {
  if (!list.empty()) list += ", ";
  list += item;
}

}  // namespace

ShareCounts CountShares(const WorkerAgent& agent) {
  ShareCounts counts;
  for (const auto& [task, run] : agent.m_runs) {
    if (IsServing(run) && run.m_figure > ToMillis(run.m_order.m_latency_target)) ++counts.m_missed;
    if (!run.m_order.m_fills) continue;
    if (run.m_paced >= 100) {
      ++counts.m_full;
    } else if (run.m_paced > 0) {
      ++counts.m_partial;
    } else {
      ++counts.m_resting;
    }
  }
  return counts;
}

ShareReport DescribeShares(const WorkerAgent& agent, const Time now) {
  ShareReport report;
  std::set<ImageName> serving;
  std::set<ImageName> filling;
  for (const auto& [task, run] : agent.m_runs) {
    const ImageName& image = run.m_order.m_image;
    if (IsServing(run)) {
      serving.insert(image);
      Append(report.m_serving, image.m_value + " " + Millis(run.m_figure) + "/" +
                                   Millis(ToMillis(run.m_order.m_latency_target)) + "ms load " +
                                   Number(run.m_own_load.m_load));
    }
    if (run.m_order.m_fills) {
      filling.insert(image);
      Append(report.m_filling, image.m_value + " " + std::to_string(run.m_paced) + "% " +
                                   Millis(run.m_figure) + "/" + Millis(run.m_full_cpu) + "m");
    }
  }
  for (const auto& served : serving) {
    for (const auto& image : filling) {
      Append(report.m_pairs, served.m_value + "<" + image.m_value + " " +
                                 Number(GrowthWhenFull(agent.m_pairs, served, image, now)));
    }
  }
  return report;
}

}  // namespace ebonypin::core::fleet
