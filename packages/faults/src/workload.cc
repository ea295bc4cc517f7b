#include "workload.h"

#include <algorithm>
#include <memory>

#include "ebonypin/faults/world.h"

namespace ebonypin::faults {
namespace {

using namespace std::chrono_literals;

constexpr Duration kWorkOver = std::chrono::milliseconds{kFaultsOverMs - 4'000};
constexpr int kJobs = 14;
constexpr int kRuns = 40;
constexpr int kPosts = 8;
constexpr int kChanges = 4;
constexpr Duration kCallerPatience = 8s;

const std::array<std::string, 5> kClasses = {"preview", "render", "certificate", "once",
                                             "archive_sync"};

SimEntry& AnyEntry(World& world) {
  return world.m_entries[world.m_sim.m_random() % world.m_entries.size()];
}

Duration AnyTime(Sim& sim) { return Between(sim, 4s, kWorkOver); }

/// Passes the first of the answer and the caller's patience to `answer`.
TextFunction Patient(Sim& sim, TextFunction answer) {
  auto waiting = std::make_shared<TextFunction>(std::move(answer));
  TextFunction once = [waiting](const std::string& kind, const std::string& text) {
    if (!*waiting) return;
    const TextFunction run = std::move(*waiting);
    *waiting = nullptr;
    run(kind, text);
  };
  After(sim, kCallerPatience, [once] { once("unknown", {}); });
  return once;
}

void Change(World& world, const std::string& name, const std::string& team,
            const std::string& change, SimEntry& entry) {
  ChangeClass(world.m_sim, entry, name, team, change,
              Patient(world.m_sim,
                      [&world, name, team, change](const std::string& kind, const std::string&) {
                        Event& event = Note(world.m_sim, EventKind::kChangeAnswered, "operator");
                        event.m_request = change;
                        event.m_class = name;
                        event.m_text = kind;
                        // The outcome of an unanswered change is asked for under the same id.
                        if (kind == "unknown" && world.m_sim.m_now < kWorkOver)
                          After(world.m_sim, 1s, [&world, name, team, change] {
                            Change(world, name, team, change, AnyEntry(world));
                          });
                      }));
}

std::string NextChange(World& world) { return "change " + std::to_string(++world.m_last_change); }

void Submit(World& world, const int number, const int repeat, const std::string& name,
            const std::int64_t run_ms, const core::Resources& size) {
  Sim& sim = world.m_sim;
  const std::string id = "job request " + std::to_string(number) + "." + std::to_string(repeat);
  // Requests 0 and 1, 2 and 3 and so on of the first six share a key.
  const std::string key = "key " + std::to_string(number < 6 ? number / 2 : number);
  const core::WorkRequest request{.m_id = {id},
                                  .m_class = {name},
                                  .m_key = key,
                                  .m_size = size,
                                  .m_declared_run = std::chrono::milliseconds{run_ms},
                                  .m_payload = id + "/" + std::to_string(run_ms)};
  SimEntry& entry = AnyEntry(world);
  Event& asked = Note(sim, EventKind::kAsked, entry.m_process.m_name);
  asked.m_request = id;
  asked.m_key = key;
  SubmitJob(sim, entry, request,
            Patient(sim, [&world, id, key, number, repeat, name, run_ms, size](
                             const std::string& kind, const std::string& text) {
              Event& event = Note(world.m_sim, EventKind::kAnswered, "caller");
              event.m_request = id;
              event.m_key = key;
              event.m_text = kind;
              if (kind == "accepted") {
                event.m_job = text;
                world.m_accepted.emplace(text, false);
                if (number % 5 == 4) {
                  const core::JobId job{text};
                  After(world.m_sim, Between(world.m_sim, 0s, 6s), [&world, job] {
                    CancelJob(world.m_sim, AnyEntry(world), job,
                              Patient(world.m_sim,
                                      [&world, job](const std::string& answer, const std::string&) {
                                        Event& told =
                                            Note(world.m_sim, EventKind::kCancelAnswered, "caller");
                                        told.m_job = job.m_value;
                                        told.m_text = answer;
                                      }));
                  });
                }
              } else if (world.m_sim.m_now < kWorkOver) {
                After(world.m_sim, 2s, [&world, number, repeat, name, run_ms, size] {
                  Submit(world, number, repeat + 1, name, run_ms, size);
                });
              }
            }));
}

void RunOnce(World& world, const int number) {
  Sim& sim = world.m_sim;
  const std::string id = "run " + std::to_string(number);
  SimEntry& entry = AnyEntry(world);
  Note(sim, EventKind::kAsked, entry.m_process.m_name).m_request = id;
  RunRequest(sim, entry,
             {.m_id = {id}, .m_class = {"preview"}, .m_deadline = 5s, .m_size = kRunSize},
             Patient(sim, [&world, id](const std::string& kind, const std::string& text) {
               Event& event = Note(world.m_sim, EventKind::kAnswered, "caller");
               event.m_request = id;
               event.m_text = kind;
               event.m_result = text;
             }));
}

void Post(World& world, const std::string& update) {
  PostUpdate(world.m_sim, AnyEntry(world), "sleeves", update,
             Patient(world.m_sim, [&world, update](const std::string& kind, const std::string&) {
               if (kind == "accepted") {
                 Event& event = Note(world.m_sim, EventKind::kWatchPosted, "caller");
                 event.m_key = "sleeves";
                 event.m_request = update;
               } else if (world.m_sim.m_now < kWorkOver) {
                 After(world.m_sim, 1s, [&world, update] { Post(world, update); });
               }
             }));
}

/// One watcher that asks a different entry each time.
void Watch(World& world) {
  SimEntry& entry = AnyEntry(world);
  if (entry.m_process.m_up && entry.m_owner.m_caught_up &&
      entry.m_process.m_paused_until <= world.m_sim.m_now) {
    const core::WatchRead read = core::Read(entry.m_watches, {"sleeves"}, world.m_watch_cursor, 4);
    if (read.m_gap) Note(world.m_sim, EventKind::kWatchGap, "caller").m_key = "sleeves";
    for (const core::WatchUpdate& update : read.m_updates) {
      Event& event = Note(world.m_sim, EventKind::kWatchRead, "caller");
      event.m_key = "sleeves";
      event.m_request = update.m_update_id;
    }
    world.m_watch_cursor = read.m_next;
  }
  After(world.m_sim, 700ms, [&world] { Watch(world); });
}

void NoteStatus(World& world, const std::string& job, const std::string& place,
                const std::string& kind, const std::string& text) {
  Event& event = Note(world.m_sim, EventKind::kStatus, place);
  event.m_job = job;
  event.m_text = kind;
  event.m_result = text;
}

/// Callers ask for their jobs until they are told the outcome.
void Poll(World& world) {
  for (const auto& [job, ended] : world.m_accepted) {
    if (ended) continue;
    SimEntry& entry = AnyEntry(world);
    AskStatus(world.m_sim, entry, {job},
              [&world, job = job, place = entry.m_process.m_name](const std::string& kind,
                                                                  const std::string& text) {
                if (kind == "not_found" || kind == "unavailable") return;
                NoteStatus(world, job, place, kind, text);
                if (kind != "open") world.m_accepted[job] = true;
              });
  }
  After(world.m_sim, 3s, [&world] { Poll(world); });
}

}  // namespace

void Drain(World& world, const std::string& agent, const bool on) {
  for (SimEntry& entry : world.m_entries)
    DrainWorker(world.m_sim, entry, agent, on, NextChange(world));
}

void Race(World& world) {
  const std::string& name = kClasses[world.m_sim.m_random() % kClasses.size()];
  for (std::size_t i = 0; i < 2; ++i) {
    const std::string change = NextChange(world);
    Change(world, name, "team of " + change, change, world.m_entries[i]);
  }
}

void BeginWorkload(World& world) {
  Sim& sim = world.m_sim;
  After(sim, 1s, [&world] {
    for (const std::string& name : kClasses)
      Change(world, name, "team 0", NextChange(world), world.m_entries[0]);
  });
  for (int i = 0; i < kJobs; ++i) {
    // Exclusive work that may be repeated depends most on leases, so there is more of it.
    const std::string name =
        Chance(sim, 30) ? "once" : kClasses[1 + sim.m_random() % (kClasses.size() - 1)];
    const Duration run = Chance(sim, 50) ? Between(sim, 500ms, 8s) : Between(sim, 10s, 50s);
    const std::int64_t run_ms = run.count() / 1000;
    const core::Resources size{
        .m_cpu_millis = 500 * static_cast<std::int64_t>(1 + sim.m_random() % 8),
        .m_memory_mb = 500 * static_cast<std::int64_t>(1 + sim.m_random() % 8)};
    After(sim, AnyTime(sim),
          [&world, i, name, run_ms, size] { Submit(world, i, 0, name, run_ms, size); });
  }
  for (int i = 0; i < kRuns; ++i) After(sim, AnyTime(sim), [&world, i] { RunOnce(world, i); });
  for (int i = 0; i < kPosts; ++i)
    After(sim, AnyTime(sim), [&world, i] { Post(world, "update " + std::to_string(i)); });
  for (int i = 0; i < kChanges; ++i) {
    After(sim, AnyTime(sim), [&world] {
      const std::string change = NextChange(world);
      Change(world, kClasses[world.m_sim.m_random() % kClasses.size()], "team of " + change, change,
             AnyEntry(world));
    });
  }
  After(sim, 4s, [&world] { Watch(world); });
  After(sim, 5s, [&world] { Poll(world); });
}

void NoteFinalStates(World& world) {
  for (SimEntry& entry : world.m_entries) {
    for (const auto& [job, ended] : world.m_accepted) {
      const auto* const closed = core::FindClosed(entry.m_jobs, {job});
      const bool open = core::FindOpen(entry.m_jobs, {job}) != nullptr;
      NoteStatus(world, job, entry.m_process.m_name,
                 closed != nullptr ? OutcomeName(closed->m_outcome) : (open ? "open" : "not_found"),
                 closed != nullptr ? closed->m_result : "");
    }
  }
}

}  // namespace ebonypin::faults
