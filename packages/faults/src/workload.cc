#include "workload.h"

#include <algorithm>
#include <memory>

#include "ebonypin/faults/world.h"

namespace ebonypin::faults {
namespace {

using namespace std::chrono_literals;

constexpr Duration kWorkEnd = std::chrono::milliseconds{kFaultsOverMs - 4'000};
constexpr int kJobs = 14;
constexpr int kRuns = 40;
constexpr int kUpdates = 8;
constexpr int kChanges = 4;
constexpr Duration kCallerTimeout = 8s;

const std::array<std::string, 5> kClasses = {"preview", "render", "certificate", "once",
                                             "archive_sync"};

SimEntry& RandomEntry(World& world) {
  return world.m_entries[world.m_sim.m_random() % world.m_entries.size()];
}

Duration RandomTime(Sim& sim) { return RandomDuration(sim, 4s, kWorkEnd); }

/// Returns a function that passes its first call on to `answer`. If it is not called within the
/// caller's timeout, `answer` gets "unknown".
TextFunction WithCallerTimeout(Sim& sim, TextFunction answer) {
  auto waiting = std::make_shared<TextFunction>(std::move(answer));
  TextFunction answer_once = [waiting](const std::string& kind, const std::string& text) {
    if (!*waiting) return;
    const TextFunction run = std::move(*waiting);
    *waiting = nullptr;
    run(kind, text);
  };
  After(sim, kCallerTimeout, [answer_once] { answer_once("unknown", {}); });
  return answer_once;
}

void SubmitChange(World& world, const std::string& name, const std::string& team,
                  const std::string& change, SimEntry& entry) {
  ChangeClass(world.m_sim, entry, name, team, change,
              WithCallerTimeout(world.m_sim, [&world, name, team, change](const std::string& kind,
                                                                          const std::string&) {
                Event& event = RecordEvent(world.m_sim, EventKind::kChangeAnswered, "operator");
                event.m_request = change;
                event.m_class = name;
                event.m_text = kind;
                // Repeating an unanswered change with the same id asks for its outcome.
                if (kind == "unknown" && world.m_sim.m_now < kWorkEnd)
                  After(world.m_sim, 1s, [&world, name, team, change] {
                    SubmitChange(world, name, team, change, RandomEntry(world));
                  });
              }));
}

std::string NextChange(World& world) { return "change " + std::to_string(++world.m_last_change); }

void Submit(World& world, const int number, const int repeat, const std::string& name,
            const std::int64_t run_ms, const core::Resources& size) {
  Sim& sim = world.m_sim;
  const std::string id = "job request " + std::to_string(number) + "." + std::to_string(repeat);
  // The first six requests share keys in pairs: 0 and 1, 2 and 3, 4 and 5.
  const std::string key = "key " + std::to_string(number < 6 ? number / 2 : number);
  const core::WorkRequest request{.m_id = {id},
                                  .m_class = {name},
                                  .m_key = key,
                                  .m_size = size,
                                  .m_declared_run = std::chrono::milliseconds{run_ms},
                                  .m_payload = id + "/" + std::to_string(run_ms)};
  SimEntry& entry = RandomEntry(world);
  Event& asked = RecordEvent(sim, EventKind::kRequestSent, entry.m_process.m_name);
  asked.m_request = id;
  asked.m_key = key;
  SubmitJob(sim, entry, request,
            WithCallerTimeout(sim, [&world, id, key, number, repeat, name, run_ms, size](
                                       const std::string& kind, const std::string& text) {
              Event& event = RecordEvent(world.m_sim, EventKind::kRequestAnswered, "caller");
              event.m_request = id;
              event.m_key = key;
              event.m_text = kind;
              if (kind == "accepted") {
                event.m_job = text;
                world.m_accepted.emplace(text, false);
                if (number % 5 == 4) {
                  const core::JobId job{text};
                  After(world.m_sim, RandomDuration(world.m_sim, 0s, 6s), [&world, job] {
                    CancelJob(
                        world.m_sim, RandomEntry(world), job,
                        WithCallerTimeout(world.m_sim, [&world, job](const std::string& answer,
                                                                     const std::string&) {
                          Event& answered =
                              RecordEvent(world.m_sim, EventKind::kCancelAnswered, "caller");
                          answered.m_job = job.m_value;
                          answered.m_text = answer;
                        }));
                  });
                }
              } else if (world.m_sim.m_now < kWorkEnd) {
                After(world.m_sim, 2s, [&world, number, repeat, name, run_ms, size] {
                  Submit(world, number, repeat + 1, name, run_ms, size);
                });
              }
            }));
}

void SendRequest(World& world, const int number) {
  Sim& sim = world.m_sim;
  const std::string id = "run " + std::to_string(number);
  SimEntry& entry = RandomEntry(world);
  RecordEvent(sim, EventKind::kRequestSent, entry.m_process.m_name).m_request = id;
  RunRequest(sim, entry,
             {.m_id = {id}, .m_class = {"preview"}, .m_deadline = 5s, .m_size = kRunSize},
             WithCallerTimeout(sim, [&world, id](const std::string& kind, const std::string& text) {
               Event& event = RecordEvent(world.m_sim, EventKind::kRequestAnswered, "caller");
               event.m_request = id;
               event.m_text = kind;
               event.m_result = text;
             }));
}

void PostWatchUpdate(World& world, const std::string& update) {
  PostUpdate(
      world.m_sim, RandomEntry(world), "sleeves", update,
      WithCallerTimeout(world.m_sim, [&world, update](const std::string& kind, const std::string&) {
        if (kind == "accepted") {
          Event& event = RecordEvent(world.m_sim, EventKind::kWatchPosted, "caller");
          event.m_key = "sleeves";
          event.m_request = update;
        } else if (world.m_sim.m_now < kWorkEnd) {
          After(world.m_sim, 1s, [&world, update] { PostWatchUpdate(world, update); });
        }
      }));
}

/// Simulates one watcher, which reads from a random entry each time.
void PollWatch(World& world) {
  SimEntry& entry = RandomEntry(world);
  if (entry.m_process.m_up && entry.m_owner.m_caught_up &&
      entry.m_process.m_paused_until <= world.m_sim.m_now) {
    const core::WatchRead read = core::Read(entry.m_watches, {"sleeves"}, world.m_watch_cursor, 4);
    if (read.m_gap) RecordEvent(world.m_sim, EventKind::kWatchGap, "caller").m_key = "sleeves";
    for (const core::WatchUpdate& update : read.m_updates) {
      Event& event = RecordEvent(world.m_sim, EventKind::kWatchRead, "caller");
      event.m_key = "sleeves";
      event.m_request = update.m_update_id;
    }
    world.m_watch_cursor = read.m_next;
  }
  After(world.m_sim, 700ms, [&world] { PollWatch(world); });
}

void RecordStatus(World& world, const std::string& job, const std::string& source,
                  const std::string& kind, const std::string& text) {
  Event& event = RecordEvent(world.m_sim, EventKind::kStatusAnswered, source);
  event.m_job = job;
  event.m_text = kind;
  event.m_result = text;
}

/// Asks for the status of each accepted job until its outcome is reported.
void PollJobs(World& world) {
  for (const auto& [job, ended] : world.m_accepted) {
    if (ended) continue;
    SimEntry& entry = RandomEntry(world);
    QueryStatus(world.m_sim, entry, {job},
                [&world, job = job, source = entry.m_process.m_name](const std::string& kind,
                                                                     const std::string& text) {
                  if (kind == "not_found" || kind == "unavailable") return;
                  RecordStatus(world, job, source, kind, text);
                  if (kind != "open") world.m_accepted[job] = true;
                });
  }
  After(world.m_sim, 3s, [&world] { PollJobs(world); });
}

}  // namespace

void Drain(World& world, const std::string& agent, const bool on) {
  for (SimEntry& entry : world.m_entries)
    DrainWorker(world.m_sim, entry, agent, on, NextChange(world));
}

void RaceChanges(World& world) {
  const std::string& name = kClasses[world.m_sim.m_random() % kClasses.size()];
  for (std::size_t i = 0; i < 2; ++i) {
    const std::string change = NextChange(world);
    SubmitChange(world, name, "team of " + change, change, world.m_entries[i]);
  }
}

void BeginWorkload(World& world) {
  Sim& sim = world.m_sim;
  After(sim, 1s, [&world] {
    for (const std::string& name : kClasses)
      SubmitChange(world, name, "team 0", NextChange(world), world.m_entries[0]);
  });
  for (int i = 0; i < kJobs; ++i) {
    // Class "once" (exclusive, idempotent) is submitted more often, because the exclusiveness of
    // work that may be repeated depends most on leases.
    const std::string name =
        Chance(sim, 30) ? "once" : kClasses[1 + sim.m_random() % (kClasses.size() - 1)];
    const Duration run =
        Chance(sim, 50) ? RandomDuration(sim, 500ms, 8s) : RandomDuration(sim, 10s, 50s);
    const std::int64_t run_ms = run.count() / 1000;
    const core::Resources size{
        .m_cpu_millis = 500 * static_cast<std::int64_t>(1 + sim.m_random() % 8),
        .m_memory_mb = 500 * static_cast<std::int64_t>(1 + sim.m_random() % 8)};
    After(sim, RandomTime(sim),
          [&world, i, name, run_ms, size] { Submit(world, i, 0, name, run_ms, size); });
  }
  for (int i = 0; i < kRuns; ++i)
    After(sim, RandomTime(sim), [&world, i] { SendRequest(world, i); });
  for (int i = 0; i < kUpdates; ++i)
    After(sim, RandomTime(sim),
          [&world, i] { PostWatchUpdate(world, "update " + std::to_string(i)); });
  for (int i = 0; i < kChanges; ++i) {
    After(sim, RandomTime(sim), [&world] {
      const std::string change = NextChange(world);
      SubmitChange(world, kClasses[world.m_sim.m_random() % kClasses.size()], "team of " + change,
                   change, RandomEntry(world));
    });
  }
  After(sim, 4s, [&world] { PollWatch(world); });
  After(sim, 5s, [&world] { PollJobs(world); });
}

void RecordFinalStates(World& world) {
  for (SimEntry& entry : world.m_entries) {
    for (const auto& [job, ended] : world.m_accepted) {
      const auto* const closed = core::FindClosed(entry.m_jobs, {job});
      const bool open = core::FindOpen(entry.m_jobs, {job}) != nullptr;
      RecordStatus(
          world, job, entry.m_process.m_name,
          closed != nullptr ? OutcomeName(closed->m_outcome) : (open ? "open" : "not_found"),
          closed != nullptr ? closed->m_result : "");
    }
  }
}

}  // namespace ebonypin::faults
