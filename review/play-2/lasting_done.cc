// One of two tasks that last ends as `done`, and has to be restarted however it ends.
#include "site.h"

using namespace play;

int main(int argc, char** argv) {
  return RunCase(argc, argv, [](const std::string& root, const std::string& folder, bool trouble) {
    Site site(root, folder);
    site.Begin();
    site.BeginWorkers();
    std::atomic<bool> ended{false};
    for (std::size_t i = 0; i < site.Workers(); ++i) {
      site.WorkerAt(i).m_plan = [&](const std::string& task, std::int64_t, const std::string& spec) {
        if (spec.rfind("ready", 0) == 0) return Plan{Ms{300}, "done"};
        const bool first = task.substr(task.size() - 2) == ".0" && !ended.exchange(true);
        if (!first) return Plan{Ms{0}, ""};
        return Plan{Ms{4000}, trouble ? "done" : "failed"};
      };
    }
    site.WaitUntilServes();
    const auto id = site.NewId();
    if (site.Submit(0, "/sync/", id,
                    Site::Steps("{\"Count\":2,\"Cpu\":2000,\"MemMb\":100,\"EstMs\":400,"
                                "\"LongRunning\":true}"),
                    "sync") != 200) {
      throw std::runtime_error("the job was not accepted");
    }
    const std::string task = id + ".0.0.0";
    const auto last = [&](const std::string& what) {
      Clock::time_point at;
      for (const auto& event : site.Events()) {
        if (event.m_task == task && event.m_what == what) at = event.m_at;
      }
      return at;
    };
    const auto until = Clock::now() + std::chrono::seconds{20};
    while (last("end") == Clock::time_point{} && Clock::now() < until) {
      std::this_thread::sleep_for(Ms{50});
    }
    const auto end = last("end");
    if (end == Clock::time_point{}) throw std::runtime_error("the run did not end");
    // 6 s after its last run, and 3 s with nothing running; a second more for the clocks.
    const auto due = end + std::chrono::seconds{10};
    while (Clock::now() < due && last("start") < end) std::this_thread::sleep_for(Ms{50});
    const auto state = site.State(1, "/sync/", id);
    if (last("start") < end) {
      return "LOST: a task that lasts has no run for 10 s after its last one, on an empty site; "
             "its job is shown as " +
             state;
    }
    return std::string();
  });
}
