#include "faults.h"

#include <chrono>
#include <thread>

#include "http.h"

namespace ebonypin::chaos {
namespace {

using namespace std::chrono_literals;
using web::json::value;

/// A shard grant lasts 10 s; an entry that is paused for longer has lost its shards when it
/// resumes.
constexpr int kEntryPauseSeconds = 6;
constexpr int kAgentPauseSeconds = 12;

void Wait(const std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); }

}  // namespace

void FaultInjector::InjectNext() {
  switch (m_random() % 8) {
    case 0:
    case 1:
      KillOne(m_site.Entries(), "entry killed");
      break;
    case 2:
    case 3:
      KillOne(m_site.Agents(), "agent killed");
      break;
    case 4:
      PauseOne(m_site.Entries(), "entry paused", kEntryPauseSeconds);
      break;
    case 5:
      PauseOne(m_site.Agents(), "agent paused", kAgentPauseSeconds);
      break;
    case 6:
      LogFault();
      break;
    default:
      WorkerFault();
      break;
  }
  Wait(std::chrono::milliseconds{500 + m_random() % 1500});
}

void FaultInjector::KillOne(std::vector<Process>& group, const std::string& name) {
  auto& process = group[m_random() % group.size()];
  if (!Site::IsRunning(process)) return;
  Count(name);
  m_site.Kill(process);
  Wait(std::chrono::milliseconds{m_random() % 3000});
  m_site.Start(process);
}

void FaultInjector::PauseOne(std::vector<Process>& group, const std::string& name,
                             const int seconds) {
  auto& process = group[m_random() % group.size()];
  Count(name);
  m_site.Pause(process);
  // Overlapping fault: half of the time an agent is killed while the process is paused.
  if (m_random() % 2 == 0) KillOne(m_site.Agents(), "agent killed");
  Wait(std::chrono::seconds{seconds});
  m_site.Continue(process);
}

void FaultInjector::SetFault(const std::string& url, const std::string& field,
                             const double number) {
  value body = value::object();
  if (field == "down" || field == "silent") {
    body[field] = value::boolean(number > 0);
  } else {
    body[field] = value::number(number);
  }
  (void)CallJson("POST", url, "/faults", body, 2s);
}

void FaultInjector::LogFault() {
  switch (m_random() % 3) {
    case 0:
      Count("log down");
      SetFault(m_site.LogUrl(), "down", 1);
      Wait(std::chrono::milliseconds{2000 + m_random() % 4000});
      SetFault(m_site.LogUrl(), "down", 0);
      break;
    case 1:
      Count("log slow");
      SetFault(m_site.LogUrl(), "slow_ms", 300);
      Wait(3s);
      SetFault(m_site.LogUrl(), "slow_ms", 0);
      break;
    default:
      Count("log answer lost");
      SetFault(m_site.LogUrl(), "lose_answers", 2);
      break;
  }
}

void FaultInjector::WorkerFault() {
  const auto url = m_site.WorkerUrl(m_random() % m_site.WorkerCount());
  switch (m_random() % 3) {
    case 0:
      Count("worker silent");
      SetFault(url, "silent", 1);
      Wait(3s);
      SetFault(url, "silent", 0);
      break;
    case 1:
      Count("worker slow");
      SetFault(url, "slow", 8);
      Wait(3s);
      SetFault(url, "slow", 1);
      break;
    default:
      Count("worker answer lost");
      SetFault(url, "lose_answers", 2);
      break;
  }
}

void FaultInjector::RestoreAll() {
  SetFault(m_site.LogUrl(), "down", 0);
  SetFault(m_site.LogUrl(), "slow_ms", 0);
  for (std::size_t i = 0; i < m_site.WorkerCount(); ++i) {
    SetFault(m_site.WorkerUrl(i), "silent", 0);
    SetFault(m_site.WorkerUrl(i), "slow", 1);
  }
  for (auto* group : {&m_site.Entries(), &m_site.Agents()}) {
    for (auto& process : *group) {
      m_site.Continue(process);
      if (!Site::IsRunning(process)) m_site.Start(process);
    }
  }
}

void FaultInjector::RollingRestart() {
  for (auto& entry : m_site.Entries()) {
    Count("entry restarted as planned");
    m_site.Terminate(entry);
    m_site.Start(entry);
    Wait(3s);
  }
}

}  // namespace ebonypin::chaos
