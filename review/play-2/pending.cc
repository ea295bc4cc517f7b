// The only worker of a kind answers starts with 503 for some seconds. Jobs that need this kind do
// not begin meanwhile, and have to be counted as pending.
#include "site.h"

using namespace play;

int main(int argc, char** argv) {
  return RunCase(argc, argv, [](const std::string& root, const std::string& folder, bool trouble) {
    SiteOptions options;
    options.m_workers = 11;  // One of them is unhealthy: a share of 0.091.
    options.m_first_kind = "b";
    Site site(root, folder, options);
    site.Begin();
    site.BeginWorkers();
    std::atomic<bool> unhealthy{false};
    site.WorkerAt(0).m_refuse = [&](const std::string& path) -> std::optional<Response> {
      if (!unhealthy || path != "/run-start") return std::nullopt;
      return Response{503, "{}"};
    };
    for (std::size_t i = 0; i < site.Workers(); ++i) {
      site.WorkerAt(i).m_plan = [](const std::string&, std::int64_t, const std::string&) {
        return Plan{Ms{300}, "done"};
      };
    }
    site.WaitUntilServes();
    std::this_thread::sleep_for(Ms{1000});
    const auto began = Clock::now();
    unhealthy = trouble;
    if (trouble) site.Log().Line("trouble: worker w-1 answers starts with 503");
    constexpr int kJobs = 8;
    std::vector<std::string> ids;
    for (int i = 0; i < kJobs; ++i) ids.push_back(site.NewId());
    std::vector<std::thread> clients;
    std::atomic<int> taken{0};
    for (int i = 0; i < kJobs; ++i) {
      clients.emplace_back([&, i] {
        const auto steps = "{\"Count\":2,\"Cpu\":500,\"MemMb\":100,\"EstMs\":300,\"Requires\":\"b\"}";
        taken += site.Submit(i % 3, "/proof/", ids[i], Site::Steps(steps), "plate") == 200 ? 1 : 0;
      });
    }
    for (auto& client : clients) client.join();
    if (taken != kJobs) throw std::runtime_error("a job was not accepted");
    // visible_ms and 2 s, and a little for the clocks.
    const auto accepted = Clock::now();
    std::string broken;
    for (int round = 0; round < 2; ++round) {
      std::this_thread::sleep_until(accepted + Ms{5100 + 150 * round});
      std::set<std::string> begun;
      for (const auto& event : site.Events()) {
        if (event.m_what == "start") begun.insert(event.m_task.substr(0, 16));
      }
      int waiting = 0;
      for (const auto& id : ids) waiting += begun.count(id) == 0 ? 1 : 0;
      for (int entry = 0; entry < 3; ++entry) {
        const auto answer = site.Ask(entry, "GET", "/proof/");
        if (answer.m_status != 200) continue;
        const auto pending = Json::Parse(answer.m_body).Int("Pending");
        if (2 * pending < waiting && broken.empty()) {
          broken = "MIXED: " + std::to_string(pending) + " jobs are said to wait, and " +
                   std::to_string(waiting) + " that were accepted over 5 s before haven't begun";
          site.Log().Line(broken);
        }
      }
    }
    for (const auto& id : ids) (void)site.State(0, "/proof/", id);
    std::this_thread::sleep_until(began + Ms{5500});
    unhealthy = false;
    site.Log().Line("worker w-1 is healthy");
    std::this_thread::sleep_for(Ms{2500});
    for (const auto& id : ids) (void)site.State(0, "/proof/", id);
    return broken;
  });
}
