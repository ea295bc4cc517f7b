// Large jobs come at once on a queue that is not urgent, while each worker runs one small task that
// lasts.
#include "site.h"

using namespace play;

int main(int argc, char** argv) {
  return RunCase(argc, argv, [](const std::string& root, const std::string& folder, bool trouble) {
    SiteOptions options;
    options.m_workers = 6;
    options.m_routes =
        "[{\"Name\":\"proof-preview\",\"Host\":\"desk.example\",\"PathPrefix\":\"/proof/\","
        "\"TimeoutMs\":3000,\"SloMs\":300,\"Service\":\"order-desk\",\"Attempts\":4,\"Stretch\":1.5},"
        "{\"Name\":\"engrave-render\",\"Host\":\"desk.example\",\"PathPrefix\":\"/render/\",\"Prio\":2,"
        "\"TimeoutMs\":3000,\"SloMs\":1000,\"Service\":\"order-desk\",\"Attempts\":4,\"Stretch\":2.0},"
        "{\"Name\":\"archive-sync\",\"Host\":\"desk.example\",\"PathPrefix\":\"/sync/\","
        "\"TimeoutMs\":3000,\"SloMs\":2500,\"Service\":\"order-desk\",\"Attempts\":3,\"Stretch\":2.2}]";
    Site site(root, folder, options);
    site.Begin();
    site.BeginWorkers();
    for (std::size_t i = 0; i < site.Workers(); ++i) {
      site.WorkerAt(i).m_plan = [](const std::string&, std::int64_t, const std::string& spec) {
        if (spec == "sync") return Plan{Ms{0}, ""};
        return Plan{Ms{spec.rfind("ready", 0) == 0 ? 300 : 1400}, "done"};
      };
    }
    site.WaitUntilServes();
    const auto sync = site.NewId();
    if (site.Submit(0, "/sync/", sync,
                    Site::Steps("{\"Count\":6,\"Cpu\":200,\"MemMb\":100,\"EstMs\":400,"
                                "\"MaxPerServer\":1,\"LongRunning\":true}"),
                    "sync") != 200) {
      throw std::runtime_error("the job that lasts was not accepted");
    }
    std::this_thread::sleep_for(Ms{2000});
    for (std::size_t i = 0; i < site.Workers(); ++i) {
      if (site.WorkerAt(i).Running() != 1) throw std::runtime_error("a task that lasts does not run");
    }
    std::vector<std::string> ids;
    const std::string cpu = trouble ? "15000" : "14000";
    for (int i = 0; i < 3; ++i) {
      ids.push_back(site.NewId());
      if (site.Submit(i, "/render/", ids.back(),
                      Site::Steps("{\"Count\":1,\"Cpu\":" + cpu +
                                  ",\"MemMb\":3200,\"EstMs\":1400}"),
                      "plate") != 200) {
        throw std::runtime_error("a job was not accepted");
      }
    }
    // finish_s, 3 s with nothing running, and 3 s more.
    std::this_thread::sleep_for(std::chrono::seconds{20});
    std::set<std::string> begun;
    for (const auto& event : site.Events()) {
      if (event.m_what == "start") begun.insert(event.m_task.substr(0, 16));
    }
    int waiting = 0;
    for (const auto& id : ids) {
      (void)site.State(0, "/render/", id);
      waiting += begun.count(id) == 0 ? 1 : 0;
    }
    if (waiting > 0) {
      return "LOST: " + std::to_string(waiting) +
             " of 3 accepted jobs have not begun after 20 s; each of 6 workers has 15.8 of 16 "
             "processors free, and a task needs " +
             cpu + " thousandths";
    }
    return std::string();
  });
}
