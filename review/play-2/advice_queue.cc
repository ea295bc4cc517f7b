// Jobs of a queue with advice come at once. The advice service takes one call of a machine at a time,
// in turn, and its tickets are valid for 3 s from its answer.
#include "site.h"

using namespace play;

namespace {
constexpr Ms kDecide{100};
constexpr Ms kPeriod{10};
constexpr Ms kValid{3000};
/// Four seconds at 2.6 times the usual 6.13 jobs of proof-preview a second.
constexpr int kJobs = 64;
constexpr Ms kUsual{163};
constexpr Ms kBurst{63};

std::int64_t Millis() {
  return std::chrono::duration_cast<Ms>(Clock::now().time_since_epoch()).count();
}
}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, [](const std::string& root, const std::string& folder, bool trouble) {
    SiteOptions options;
    options.m_workers = 6;
    options.m_advice = true;
    options.m_routes =
        "[{\"Name\":\"proof-preview\",\"Host\":\"desk.example\",\"PathPrefix\":\"/proof/\","
        "\"TimeoutMs\":3000,\"SloMs\":300,\"Service\":\"order-desk\",\"Attempts\":4,\"Stretch\":1.5},"
        "{\"Name\":\"advised\",\"Host\":\"desk.example\",\"PathPrefix\":\"/advised/\","
        "\"TimeoutMs\":3000,\"SloMs\":300,\"Service\":\"order-desk\",\"Attempts\":4,\"Stretch\":1.5,"
        "\"Advice\":{\"DecideMs\":100,\"PeriodMs\":10,\"ValidMs\":3000}}]";
    Site site(root, folder, options);
    std::mutex mutex;
    std::condition_variable turn;
    std::uint64_t next = 0;
    std::uint64_t served = 0;
    auto& advice = *new Server(site.AdviceAddress(), [&](const Request& request)
                                                         -> std::optional<Response> {
      const auto body = Json::Parse(request.m_body);
      const auto step = body.Text("Step");
      std::unique_lock lock(mutex);
      if (next - served >= 32) return Response{429, "{}"};
      const auto number = next++;
      site.Log().Line("advice: asked about " + step + ", " + std::to_string(number - served) +
                      " calls before it");
      turn.wait(lock, [&] { return served == number; });
      lock.unlock();
      const auto& workers = body.Find("Workers")->m_list;
      std::this_thread::sleep_for(kDecide + kPeriod * static_cast<int>(workers.size()));
      Json good = Json::List();
      for (const auto& worker : workers) {
        good.Add(Json::List().Add(worker.m_text).Add(
            step + "/" + worker.m_text + "/" + std::to_string(Millis() + kValid.count())));
      }
      lock.lock();
      ++served;
      turn.notify_all();
      site.Log().Line("advice: answered about " + step);
      return Response{200, Json::Object().Set("Good", good).Set("ValidMs", kValid.count()).Write()};
    });
    advice.Open();
    site.Begin();
    for (std::size_t i = 0; i < site.Workers(); ++i) {
      auto& worker = site.WorkerAt(i);
      worker.m_plan = [](const std::string&, std::int64_t, const std::string&) {
        return Plan{Ms{300}, "done"};
      };
      worker.m_is_valid = [&site, id = worker.Options().m_id](const std::string& task,
                                                              const std::string& ticket) {
        if (ticket.empty()) return true;  // The queue has no advice.
        const auto slash = ticket.rfind('/');
        const auto step = task.substr(0, task.rfind('.'));
        const bool valid = ticket.substr(0, slash) == step + "/" + id &&
                           std::atoll(ticket.c_str() + slash + 1) > Millis();
        if (!valid) site.Log().Line("worker " + id + " rejects the ticket " + ticket);
        return valid;
      };
    }
    site.BeginWorkers();
    site.WaitUntilServes();
    std::this_thread::sleep_for(Ms{1000});
    std::vector<std::string> ids;
    const auto first = Clock::now();
    for (int i = 0; i < kJobs; ++i) {
      ids.push_back(site.NewId());
      if (site.Submit(i % 3, "/advised/", ids.back(),
                      Site::Steps("{\"Count\":2,\"Cpu\":500,\"MemMb\":100,\"EstMs\":300}"),
                      "plate") != 200) {
        throw std::runtime_error("a job was not accepted");
      }
      std::this_thread::sleep_until(first + (i + 1) * (trouble ? kBurst : kUsual));
    }
    // finish_s, 3 s with nothing running, and 8 s more.
    std::this_thread::sleep_for(std::chrono::seconds{trouble ? 25 : 5});
    std::set<std::string> begun;
    for (const auto& event : site.Events()) {
      if (event.m_what == "start") begun.insert(event.m_task.substr(0, 16));
    }
    int waiting = 0;
    for (const auto& id : ids) {
      (void)site.State(0, "/advised/", id);
      waiting += begun.count(id) == 0 ? 1 : 0;
    }
    if (waiting > 0) {
      return "LOST: " + std::to_string(waiting) + " of " + std::to_string(kJobs) +
             " accepted jobs have not begun 25 s after they came; all workers are idle and may run them";
    }
    return std::string();
  });
}
