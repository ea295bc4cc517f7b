#include "disruptor.h"

#include <signal.h>

#include <algorithm>
#include <string>

#include "recorded_calls.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto kPoll = 10ms;
/// From calls to a paused entry to the end of its pause.
constexpr auto kBeforeEndOfPause = 60ms;

}  // namespace

CoordinatorWatch::CoordinatorWatch(const ProcessSite& site)
    : m_site(site), m_thread([this] { Run(); }) {}

CoordinatorWatch::~CoordinatorWatch() {
  m_stopping = true;
  m_thread.join();
}

void CoordinatorWatch::Run() {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < m_site.Entries(); ++i) all.push_back(i);
  while (!m_stopping) {
    if (const auto found = m_site.Coordinator(all)) m_latest = *found;
    std::this_thread::sleep_for(kPoll);
  }
}

Disruptor::Disruptor(ProcessSite& site, const std::vector<Disruption>& plan,
                     const Clock::time_point began)
    : m_site(site), m_began(began), m_watch(site) {
  for (const auto& disruption : plan) m_items.push_back({.m_plan = disruption});
}

std::optional<std::size_t> Disruptor::Step() {
  const auto now = Clock::now() - m_began;
  std::optional<std::size_t> ends_soon;
  for (auto& item : m_items) {
    if (!item.m_begun && now >= item.m_plan.m_at) Begin(item);
    if (!item.m_begun || item.m_ended) continue;
    const auto ends = item.m_plan.m_at + item.m_plan.m_length;
    const bool pauses = item.m_plan.m_kind == DisruptionKind::kPause;
    if (pauses && !item.m_announced && now >= ends - kBeforeEndOfPause) {
      item.m_announced = true;
      ends_soon = item.m_entry;
    }
    if (now >= ends) End(item);
  }
  RestartEnded();
  return ends_soon;
}

bool Disruptor::IsOver() const noexcept {
  return std::all_of(m_items.begin(), m_items.end(), [](const Item& i) { return i.m_ended; });
}

std::vector<Disturbance> Disruptor::Times() const {
  std::vector<Disturbance> times;
  for (const auto& item : m_items) {
    if (!item.m_begun) continue;
    times.push_back(
        {.m_from = item.m_from, .m_to = item.m_ended ? item.m_to : SteadyMicroseconds()});
  }
  return times;
}

void Disruptor::Begin(Item& item) {
  item.m_begun = true;
  item.m_from = SteadyMicroseconds();
  item.m_entry = item.m_plan.m_of_coordinator ? m_watch.Latest() : item.m_plan.m_entry;
  switch (item.m_plan.m_kind) {
    case DisruptionKind::kPause:
      return m_site.Signal(item.m_entry, SIGSTOP);
    case DisruptionKind::kCut:
      return Cut(item.m_entry);
    case DisruptionKind::kStop:
      return m_site.Signal(item.m_entry, SIGTERM);
    case DisruptionKind::kKill:
      return m_site.Signal(item.m_entry, SIGKILL);
  }
}

void Disruptor::End(Item& item) {
  const auto kind = item.m_plan.m_kind;
  if (kind == DisruptionKind::kStop || kind == DisruptionKind::kKill) return;
  item.m_ended = true;
  item.m_to = SteadyMicroseconds();
  if (kind == DisruptionKind::kPause) {
    const bool still_paused = std::any_of(m_items.begin(), m_items.end(), [&](const Item& other) {
      return IsOn(other, DisruptionKind::kPause) && other.m_entry == item.m_entry;
    });
    if (!still_paused) m_site.Signal(item.m_entry, SIGCONT);
    return;
  }
  m_site.Network().Heal();
  for (const auto& other : m_items) {
    if (IsOn(other, DisruptionKind::kCut)) Cut(other.m_entry);
  }
}

void Disruptor::Cut(const std::size_t entry) {
  const auto name = ProcessSite::EntryName(entry);
  std::vector<std::string> others{ProcessSite::StoreName()};
  for (std::size_t i = 0; i < m_site.Entries(); ++i) {
    if (i != entry) others.push_back(ProcessSite::EntryName(i));
  }
  for (std::size_t i = 0; i < m_site.Agents(); ++i) others.push_back(ProcessSite::AgentName(i));
  for (const auto& other : others) {
    m_site.Network().Cut(name, other);
    m_site.Network().Cut(other, name);
  }
}

void Disruptor::RestartEnded() {
  for (const auto entry : m_site.RestartEnded()) {
    for (auto& item : m_items) {
      const bool ends = IsOn(item, DisruptionKind::kStop) || IsOn(item, DisruptionKind::kKill);
      if (item.m_entry != entry) continue;
      if (ends) {
        item.m_ended = true;
        item.m_to = SteadyMicroseconds();
      } else if (IsOn(item, DisruptionKind::kPause)) {
        m_site.Signal(entry, SIGSTOP);  // A pause that lasts holds for the new process too.
      }
    }
  }
}

}  // namespace ebonypin::daemon
