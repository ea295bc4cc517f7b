// A job of large tasks that last and fill comes while most workers run a task that serves.
#include "site.h"

using namespace play;

int main(int argc, char** argv) {
  return RunCase(argc, argv, [](const std::string& root, const std::string& folder, bool trouble) {
    SiteOptions options;
    options.m_workers = 6;
    Site site(root, folder, options);
    site.Begin();
    site.BeginWorkers();
    for (std::size_t i = 0; i < site.Workers(); ++i) {
      site.WorkerAt(i).m_plan = [](const std::string&, std::int64_t, const std::string& spec) {
        return spec.rfind("ready", 0) == 0 ? Plan{Ms{300}, "done"} : Plan{Ms{0}, ""};
      };
      site.WorkerAt(i).m_figure = [](const std::string& spec) {
        return spec.rfind("fill", 0) == 0 ? std::atoi(spec.c_str() + 5) : 5;
      };
    }
    site.WaitUntilServes();
    const auto desk = site.NewId();
    if (site.Submit(0, "/sync/", desk,
                    Site::Steps("{\"Count\":5,\"Cpu\":2000,\"MemMb\":100,\"EstMs\":400,"
                                "\"MaxPerServer\":1,\"Image\":\"desk\",\"TargetMs\":20,"
                                "\"LongRunning\":true}"),
                    "desk") != 200) {
      throw std::runtime_error("the serving job was not accepted");
    }
    std::this_thread::sleep_for(Ms{4000});
    std::size_t serving = 0;
    for (std::size_t i = 0; i < site.Workers(); ++i) serving += site.WorkerAt(i).Running();
    if (serving != 5) throw std::runtime_error("a serving task does not run");
    const std::string cpu = trouble ? "12000" : "2000";
    const auto id = site.NewId();
    if (site.Submit(1, "/sync/", id,
                    Site::Steps("{\"Count\":3,\"Cpu\":" + cpu +
                                ",\"MemMb\":100,\"EstMs\":400,\"Image\":\"index\",\"Fills\":true,"
                                "\"LongRunning\":true}"),
                    "fill " + cpu) != 200) {
      throw std::runtime_error("the job was not accepted");
    }
    std::this_thread::sleep_for(std::chrono::seconds{20});
    std::set<std::string> begun;
    for (const auto& event : site.Events()) {
      if (event.m_what == "start" && event.m_task.rfind(id, 0) == 0) begun.insert(event.m_task);
    }
    const auto state = site.State(0, "/sync/", id);
    if (begun.size() < 3) {
      return "LOST: " + std::to_string(3 - begun.size()) +
             " of 3 accepted tasks that last have not begun after 20 s; 5 workers use 2 of 16 "
             "processors each, and the job is shown as " +
             state;
    }
    return std::string();
  });
}
