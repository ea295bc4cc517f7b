/// Endpoint with slots: runs tasks in virtual time, throttles and stops them.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "ebonypin/core/resources.h"
#include "event_loop.h"

namespace ebonypin::bench {

struct Task {
  std::uint64_t m_id = 0;
  std::uint32_t m_class = 0;
  bool m_short = false;
  core::Resources m_size;    ///< Committed by the policy.
  core::Resources m_used;    ///< Really used.
  double m_left_us = 0.0;    ///< Work left at full speed.
  double m_rate = 1.0;       ///< Present speed; 0 when throttled.
  bool m_throttled = false;  ///< Makes no progress.
  bool m_holds_slot = true;  ///< False once throttling has taken effect.
  Time m_started{};
  Time m_throttled_at{};
  Duration m_served{};  ///< Time on the endpoint without throttling.
};

struct EndpointOptions {
  std::uint32_t m_slots = 8;
  core::Resources m_capacity{.m_cpu_millis = 16000, .m_memory_mb = 60000};
  Duration m_throttle_delay = std::chrono::milliseconds{5};
  /// Relative slowdown of a class by one running task of another: [victim][cause].
  std::vector<std::vector<double>> m_slowdown;
  bool m_fails_all = false;  ///< Every task ends at once with a failure.
  Time m_fails_from{};
  Time m_fails_until{};
};

/// Mean speed and number of the tasks of one class within a reporting window.
struct ClassUsage {
  double m_running = 0.0;   ///< Mean number of tasks that are not throttled.
  double m_slowdown = 1.0;  ///< Mean of 1 / speed.
  core::Resources m_peak;   ///< Largest use of one task.
};

class Endpoint {
 public:
  Endpoint(EventLoop& loop, EndpointOptions options, std::size_t classes);

  /// Called with an ended task and whether it succeeded.
  std::function<void(const Task&, bool)> m_on_end;
  /// Called when a slot has become free.
  std::function<void()> m_on_slot;
  std::uint64_t m_starts = 0;
  std::uint64_t m_breaches = 0;  ///< Starts beyond the slots or the committed capacity.
  std::uint64_t m_failures = 0;

  void Start(Task task);
  /// Stops progress at once and frees the slot after the delay.
  void Throttle(std::uint64_t id);
  void Resume(std::uint64_t id);
  /// Removes a task and returns it, for a checkpoint or a cancellation.
  [[nodiscard]] std::optional<Task> Stop(std::uint64_t id);

  [[nodiscard]] const std::vector<Task>& Tasks() const noexcept { return m_tasks; }
  [[nodiscard]] std::uint32_t SlotsHeld() const noexcept;
  [[nodiscard]] core::Resources Committed() const noexcept;
  [[nodiscard]] bool LongHoldsSlot() const noexcept;
  [[nodiscard]] const EndpointOptions& Options() const noexcept { return m_options; }
  /// Multiplies all slowdowns from now on.
  void SetLoadFactor(double factor);
  /// Returns the usage per class since the last call.
  [[nodiscard]] std::vector<ClassUsage> TakeUsage();

 private:
  void Advance();
  void Reschedule();
  void EndFirst(std::uint64_t version);
  [[nodiscard]] Task* Find(std::uint64_t id);

  EventLoop& m_loop;
  EndpointOptions m_options;
  std::vector<Task> m_tasks;
  double m_load_factor = 1.0;
  Time m_advanced{};
  std::uint64_t m_version = 0;
  struct UsageSum {
    double m_task_us = 0.0;
    double m_slow_us = 0.0;
    core::Resources m_peak;
  };
  std::vector<UsageSum> m_usage;
  Time m_usage_since{};
};

}  // namespace ebonypin::bench
