// A worker crashes twice, each time soon after it has started the same task of a job that lasts. No
// run of the job ends as failed.
#include "site.h"

using namespace play;

int main(int argc, char** argv) {
  return RunCase(argc, argv, [](const std::string& root, const std::string& folder, bool trouble) {
    SiteOptions options;
    options.m_workers = 8;  // One of them down at a time: a share of 0.125.
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

    const auto id = site.NewId();
    const std::string task = id + ".0.0.0";
    if (site.Submit(0, "/sync/", id,
                    Site::Steps("{\"Count\":3,\"Cpu\":1000,\"MemMb\":100,\"EstMs\":400,"
                                "\"MaxPerServer\":1,\"LongRunning\":true}"),
                    "sync") != 200) {
      throw std::runtime_error("the job was not accepted");
    }
    int crashes = 0;
    std::size_t down = site.Workers();
    Clock::time_point back;
    std::string state;
    const auto until = Clock::now() + std::chrono::seconds{20};
    Clock::time_point asked;
    while (Clock::now() < until) {
      std::this_thread::sleep_for(Ms{20});
      const auto now = Clock::now();
      if (down < site.Workers() && now >= back) {
        site.Log().Line("trouble: the worker is back with a new process");
        site.WorkerAt(down).Begin();
        down = site.Workers();
      }
      if (trouble && crashes < 2 && down == site.Workers()) {
        for (std::size_t i = 0; i < site.Workers(); ++i) {
          if (!site.WorkerAt(i).Runs(task)) continue;
          std::this_thread::sleep_for(Ms{150});
          site.Log().Line("trouble: worker " + site.WorkerAt(i).Options().m_id + " crashes");
          site.WorkerAt(i).Crash();
          ++crashes;
          down = i;
          back = Clock::now() + Ms{1500};
          break;
        }
      }
      if (now - asked < Ms{500}) continue;
      asked = now;
      state = site.State(1, "/sync/", id);
      if (state == "done" || state == "failed" || state == "cancelled") break;
    }
    std::this_thread::sleep_for(Ms{1500});
    int failed = 0;
    for (const auto& event : site.Events()) {
      if (event.m_task.rfind(id, 0) == 0 && event.m_how == "failed") ++failed;
    }
    std::size_t at_work = 0;
    for (std::size_t i = 0; i < site.Workers(); ++i) {
      for (const char* const index : {"0", "1", "2"}) {
        at_work += site.WorkerAt(i).Runs(id + ".0.0." + index) ? 1 : 0;
      }
    }
    site.Log().Line("the job is shown as '" + state + "'; " + std::to_string(failed) +
                    " of its runs ended as failed; " + std::to_string(at_work) +
                    " of its 3 tasks are at work");
    if (state == "failed" && failed == 0) {
      return std::string("LOST: an accepted job that lasts is shown as failed, and none of its runs "
                         "ended so; tasks at work: ") +
             std::to_string(at_work);
    }
    if (state != "running" || at_work != 3) {
      return "LOST: the job is shown as '" + state + "', tasks at work: " + std::to_string(at_work);
    }
    return std::string();
  });
}
