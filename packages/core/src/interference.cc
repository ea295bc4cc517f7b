#include "ebonypin/core/interference.h"

#include <algorithm>
#include <cmath>

namespace ebonypin::core {

double PairSlowdown(const InterferenceModel& model, const InterferenceOptions& options,
                    const ClassName& victim, const ClassName& cause, const Time now) {
  const auto found = model.m_pairs.find({victim, cause});
  if (found == model.m_pairs.end()) return options.m_prior;
  const auto age = static_cast<double>((now - found->second.m_updated_at).count());
  const double keep = std::exp2(-age / static_cast<double>(options.m_half_life.count()));
  return options.m_prior + (found->second.m_extra - options.m_prior) * keep;
}

void LearnInterference(InterferenceModel& model, const InterferenceOptions& options,
                       const ClassName& victim, const double slowdown,
                       const std::vector<RunningClass>& running, const Time now) {
  double predicted = 0.0;
  double square = 0.0;
  for (const RunningClass& cause : running) {
    predicted += cause.m_tasks * PairSlowdown(model, options, victim, cause.m_class, now);
    square += cause.m_tasks * cause.m_tasks;
  }
  // A small fraction of a task gives too little evidence to update the estimate for a whole task.
  if (square < 0.01) return;
  const double error = std::max(0.0, slowdown - 1.0) - predicted;
  for (const RunningClass& cause : running) {
    if (cause.m_tasks <= 0.0) continue;
    const double before = PairSlowdown(model, options, victim, cause.m_class, now);
    // Normalised least mean squares: the error is distributed over the causes in proportion to
    // their numbers of running tasks.
    const double step = options.m_learning_rate * error * cause.m_tasks / std::max(1.0, square);
    model.m_pairs[{victim, cause.m_class}] = {
        .m_extra = std::clamp(before + step, 0.0, options.m_max_extra), .m_updated_at = now};
  }
}

}  // namespace ebonypin::core
