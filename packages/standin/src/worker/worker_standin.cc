/// Registers the worker stand-in.
#include <gflags/gflags.h>

#include <memory>

#include "ebonypin/standin/standin.h"
#include "worker_server.h"

DEFINE_uint32(worker_slots, 8, "worker: requests that the endpoint serves at once");
DEFINE_uint32(worker_usage_lag_ms, 2000, "worker: lag of usage reports in milliseconds");
DEFINE_double(worker_interference, 0.0,
              "worker: by how much one task at full share stretches requests, 0.1 for a tenth");

namespace ebonypin::standin {
namespace {

class WorkerStandin final : public Standin {
 public:
  explicit WorkerStandin(const std::string& listen)
      : m_server(listen, {.m_slots = FLAGS_worker_slots,
                          .m_usage_lag = std::chrono::milliseconds{FLAGS_worker_usage_lag_ms},
                          .m_interference = FLAGS_worker_interference}) {}

  void Start() override { m_server.Start(); }

 private:
  WorkerServer m_server;
};

[[maybe_unused]] const bool kRegistered = RegisterStandin(
    "worker", [](const std::string& listen) { return std::make_unique<WorkerStandin>(listen); });

}  // namespace
}  // namespace ebonypin::standin
