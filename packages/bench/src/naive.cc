/// Baseline: one queue in order of arrival, first fit on declared sizes, retry on failure.
#include <algorithm>
#include <deque>

#include "world.h"

namespace ebonypin::bench {
namespace {

constexpr std::uint32_t kMaxTries = 5;

class NaivePolicy final : public Policy {
 public:
  explicit NaivePolicy(World& world)
      : m_world(world),
        m_workers(world.m_endpoints.size()),
        m_tries(world.m_result.m_items.size()),
        m_left(world.m_result.m_items.size(), -1.0) {
    for (std::uint32_t worker = 0; worker < m_workers.size(); ++worker) {
      world.m_endpoints[worker]->m_on_slot = [] {};
      world.m_endpoints[worker]->m_on_end = [this, worker](const Task& task, const bool done) {
        OnEnd(worker, task, done);
      };
    }
  }

  void Arrive(const std::uint64_t item) override {
    m_queue.push_back(item);
    Pump();
  }

  /// Scans the queue; work that was sent runs to its end.
  void Cancel(const std::uint64_t item) override {
    const auto found = std::find(m_queue.begin(), m_queue.end(), item);
    if (found == m_queue.end()) return;
    m_queue.erase(found);
    m_world.Answer(item, core::AnswerKind::kNotRun, core::ErrorKind::kCancelled);
    Pump();
  }

  /// Evicts the newest long task of a worker whose short work is reported to miss its target.
  void OnUsage(const std::uint32_t worker, const std::vector<ClassUsage>& usage) override {
    if (!MissesTarget(usage)) return;
    const Task* newest = nullptr;
    for (const Task& task : m_world.m_endpoints[worker]->Tasks()) {
      if (!task.m_short && (newest == nullptr || task.m_started > newest->m_started)) {
        newest = &task;
      }
    }
    if (newest == nullptr) return;
    ++m_world.m_result.m_evictions;
    const std::uint64_t item = newest->m_id;
    m_world.m_loop.After(kCheckpointTime, [this, worker, item] {
      const auto stopped = m_world.m_endpoints[worker]->Stop(item);
      if (!stopped) return;
      m_world.EndItem(item, false);
      m_left[item] = stopped->m_left_us;
      m_world.m_loop.After(m_world.Travel(worker), [this, worker, item] {
        Release(worker, item);
        m_queue.push_back(item);
        Pump();
      });
    });
  }

 private:
  struct Worker {
    std::uint32_t m_slots_used = 0;
    core::Resources m_committed;
  };

  [[nodiscard]] bool MissesTarget(const std::vector<ClassUsage>& usage) const {
    const auto& classes = m_world.GetScenario().m_classes;
    for (std::size_t i = 0; i < classes.size(); ++i) {
      const auto& latency = classes[i].m_spec.m_target.m_latency;
      if (!classes[i].m_short || !latency) continue;
      const auto expected = static_cast<double>(classes[i].m_median_run.count());
      if (expected * usage[i].m_slowdown * 2.5 > static_cast<double>(latency->count())) return true;
    }
    return false;
  }

  void Pump() {
    while (!m_queue.empty()) {
      const std::uint64_t item = m_queue.front();
      const core::Resources& size = m_world.Item(item).m_declared;
      const auto fits = std::find_if(m_workers.begin(), m_workers.end(), [&](const Worker& worker) {
        return worker.m_slots_used < m_world.GetScenario().m_endpoint.m_slots &&
               core::Fits(worker.m_committed + size, m_world.GetScenario().m_endpoint.m_capacity);
      });
      if (fits == m_workers.end()) return;
      m_queue.pop_front();
      ++fits->m_slots_used;
      fits->m_committed = fits->m_committed + size;
      ++m_tries[item];
      const auto worker = static_cast<std::uint32_t>(fits - m_workers.begin());
      const Duration travel = m_world.Travel(worker);
      const double left = m_left[item] >= 0.0
                              ? m_left[item]
                              : static_cast<double>(m_world.Item(item).m_run.count());
      m_world.m_loop.After(travel, [this, worker, item, size, left, travel] {
        m_world.StartItem(worker, item, size, left, travel);
      });
    }
  }

  void Release(const std::uint32_t worker, const std::uint64_t item) {
    --m_workers[worker].m_slots_used;
    m_workers[worker].m_committed = m_workers[worker].m_committed - m_world.Item(item).m_declared;
  }

  void OnEnd(const std::uint32_t worker, const Task& task, const bool done) {
    m_world.EndItem(task.m_id, done);
    m_world.m_loop.After(m_world.Travel(worker), [this, worker, item = task.m_id, done] {
      Release(worker, item);
      if (done) {
        m_world.Answer(item, core::AnswerKind::kDone);
      } else if (m_tries[item] < kMaxTries) {
        m_queue.push_back(item);
      } else {
        m_world.Answer(item, core::AnswerKind::kUnknown, core::ErrorKind::kTaskFailed);
      }
      Pump();
    });
  }

  World& m_world;
  std::deque<std::uint64_t> m_queue;
  std::vector<Worker> m_workers;
  std::vector<std::uint32_t> m_tries;
  std::vector<double> m_left;
};

}  // namespace

std::unique_ptr<Policy> MakeNaive(World& world) { return std::make_unique<NaivePolicy>(world); }

}  // namespace ebonypin::bench
