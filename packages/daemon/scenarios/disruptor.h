/// Carries out planned disruptions of the entries of a site.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <thread>
#include <vector>

#include "cancel_checks.h"
#include "process_site.h"

namespace ebonypin::daemon {

enum class DisruptionKind : std::uint8_t { kPause, kCut, kStop, kKill };

/// Disruption of one entry. Times count from the beginning of the play.
struct Disruption {
  DisruptionKind m_kind = DisruptionKind::kPause;
  bool m_of_coordinator = false;  ///< Of the coordinator of that moment; of `m_entry` otherwise.
  std::size_t m_entry = 0;
  std::chrono::milliseconds m_at{};
  std::chrono::milliseconds m_length{};  ///< Of a pause or cut.
};

/// Follows which entry is the coordinator, on a thread of its own, because each paused entry takes
/// 0.5 s of it.
class CoordinatorWatch {
 public:
  explicit CoordinatorWatch(const ProcessSite& site);
  ~CoordinatorWatch();
  CoordinatorWatch(const CoordinatorWatch&) = delete;
  CoordinatorWatch& operator=(const CoordinatorWatch&) = delete;

  [[nodiscard]] std::size_t Latest() const noexcept { return m_latest; }

 private:
  void Run();

  const ProcessSite& m_site;
  std::atomic<std::size_t> m_latest{0};
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

/// Carries out the disruptions, which may overlap, and keeps their times.
class Disruptor {
 public:
  Disruptor(ProcessSite& site, const std::vector<Disruption>& plan,
            std::chrono::steady_clock::time_point began);

  /// Does what is due, and starts processes that have ended. Returns the entry whose pause is about
  /// to end, once for each pause.
  std::optional<std::size_t> Step();

  [[nodiscard]] bool IsOver() const noexcept;

  /// Returns the times, up to now where a disruption lasts. The end of a process lasts until its
  /// restart.
  [[nodiscard]] std::vector<Disturbance> Times() const;

 private:
  struct Item {
    Disruption m_plan;
    std::size_t m_entry = 0;
    bool m_begun = false;
    bool m_announced = false;
    bool m_ended = false;
    std::int64_t m_from = 0;
    std::int64_t m_to = 0;
  };

  [[nodiscard]] static bool IsOn(const Item& item, DisruptionKind kind) noexcept {
    return item.m_plan.m_kind == kind && item.m_begun && !item.m_ended;
  }
  void Begin(Item& item);
  void End(Item& item);
  void Cut(std::size_t entry);
  void RestartEnded();

  ProcessSite& m_site;
  const std::chrono::steady_clock::time_point m_began;
  CoordinatorWatch m_watch;
  std::vector<Item> m_items;
};

}  // namespace ebonypin::daemon
