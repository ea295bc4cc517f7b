// The worker that has just started the tasks of some jobs that last crashes once and is back soon.
// Its tasks must be at work again although other workers have room for all of them.
#include "site.h"

using namespace play;

namespace {
constexpr int kJobs = 12;
constexpr int kTasks = 12;
}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, [](const std::string& root, const std::string& folder, bool trouble) {
    SiteOptions options;
    options.m_workers = 8;  // One of them is down: a share of 0.125.
    Site site(root, folder, options);
    site.Begin();
    site.BeginWorkers();
    for (std::size_t i = 0; i < site.Workers(); ++i) {
      site.WorkerAt(i).m_plan = [](const std::string&, std::int64_t, const std::string& spec) {
        return spec.rfind("ready", 0) == 0 ? Plan{Ms{300}, "done"} : Plan{Ms{0}, ""};
      };
    }
    site.WaitUntilServes();
    std::this_thread::sleep_for(Ms{1000});
    std::vector<std::string> ids;
    for (int i = 0; i < kJobs; ++i) {
      ids.push_back(site.NewId());
      const auto steps = "{\"Count\":" + std::to_string(kTasks) +
                         ",\"Cpu\":100,\"MemMb\":100,\"EstMs\":400,\"Image\":\"sync\","
                         "\"TargetMs\":50,\"LongRunning\":true}";
      if (site.Submit(i % 3, "/sync/", ids.back(), Site::Steps(steps), "sync") != 200) {
        throw std::runtime_error("a job was not accepted");
      }
    }
    std::this_thread::sleep_for(Ms{20});
    std::size_t most = 0;
    for (std::size_t i = 0; i < site.Workers(); ++i) {
      site.Log().Line(site.WorkerAt(i).Options().m_id + " runs " +
                      std::to_string(site.WorkerAt(i).Running()));
      if (site.WorkerAt(i).Running() > site.WorkerAt(most).Running()) most = i;
    }
    const auto crashed = Clock::now();
    if (trouble) {
      site.Log().Line("trouble: worker " + site.WorkerAt(most).Options().m_id + " crashes");
      site.WorkerAt(most).Crash();
      std::this_thread::sleep_for(Ms{1500});
      site.WorkerAt(most).Begin();
      site.Log().Line("trouble: the worker is back with a new process");
    }
    // 6 s after its last run, and 3 s with nothing running; a second more for the clocks.
    std::this_thread::sleep_until(crashed + std::chrono::seconds{10});
    std::size_t at_work = 0;
    for (std::size_t i = 0; i < site.Workers(); ++i) at_work += site.WorkerAt(i).Running();
    // Tasks without a run since the crash.
    std::map<std::string, Clock::time_point> starts;
    for (const auto& event : site.Events()) {
      if (event.m_what == "start") starts[event.m_task] = event.m_at;
    }
    std::set<std::string> waiting;
    for (const auto& event : site.Events()) {
      if (event.m_what == "crash" && starts[event.m_task] < event.m_at) waiting.insert(event.m_task);
    }
    site.Log().Line(std::to_string(waiting.size()) + " tasks that last have no run 10 s after the crash; " +
                    std::to_string(at_work) + " of " + std::to_string(kJobs * kTasks) +
                    " are at work, with 0.1 of 16 processors each on 8 workers");
    std::map<std::string, std::string> states;
    for (const auto& id : ids) states[id] = site.State(1, "/sync/", id);
    if (!waiting.empty()) {
      return "LOST: " + std::to_string(waiting.size()) +
             " tasks that last have no run for 10 s, beside empty workers";
    }
    if (at_work != kJobs * kTasks) return "LOST: tasks at work: " + std::to_string(at_work);
    return std::string();
  });
}
