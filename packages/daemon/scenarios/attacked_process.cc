#include "attacked_process.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "client_load.h"
#include "ebonypin/standin/users_messages.h"
#include "site.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMebibyte = std::size_t{1} << 20U;
/// The smallest machines of entries and of agents.
constexpr std::size_t kEntryMemory = 160 * kMebibyte;
constexpr std::size_t kAgentMemory = 128 * kMebibyte;
/// Protects the machine of the test: a process without bounds ends here.
constexpr std::size_t kAddressSpace = 3072 * kMebibyte;
/// The 54 threads of the role `entry` reserve 3.4 GiB of addresses while it uses 17 MiB.
constexpr std::size_t kEntryRoleAddressSpace = 8192 * kMebibyte;
constexpr std::size_t kMaxDescriptors = 400;
/// Descriptors that the process needs for connections of its own while clients use the others.
constexpr std::size_t kReservedDescriptors = 32;
constexpr auto kSampleInterval = 10ms;

/// Returns a configuration with lowered limits.
std::string LimitedConfig() {
  const std::string usual = R"("MaxBodyBytes":10000)";
  auto config = standin::UsersConfig(1, "/renders/");
  config.replace(config.find(usual), usual.size(),
                 R"("MaxHeaderBytes":4096,"MaxBodyBytes":16384,"HeaderTimeoutMs":500,)"
                 R"("IdleTimeoutMs":1000)");
  return config;
}

/// Returns a figure of /proc/PID/status in bytes, or 0 when the process has ended.
std::size_t ReadStatus(const pid_t process, const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::size_t kibibytes = 0;
  for (std::string word; status >> word;) {
    if (word != name + ":") continue;
    status >> kibibytes;
    break;
  }
  return kibibytes * 1024;
}

std::size_t CountDescriptors(const pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator folder("/proc/" + std::to_string(process) + "/fd",
                                                   error);
  return error ? 0 : static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

void RaiseTo(std::atomic<std::size_t>& peak, const std::size_t value) {
  std::size_t previous = peak;
  while (previous < value && !peak.compare_exchange_weak(previous, value)) {
  }
}

}  // namespace

AttackedProcess::AttackedProcess(const AttackedListener listener, std::string limits,
                                 const std::string& log_file)
    : m_listener(listener),
      m_limits(std::move(limits)),
      m_bounds{.m_memory = listener == AttackedListener::kControl ? kAgentMemory : kEntryMemory,
               .m_descriptors = kMaxDescriptors - kReservedDescriptors},
      m_address(FreeAddress()),
      m_rpc_address(FreeAddress()),
      m_standin_address(FreeAddress()) {
  StartStandin();
  const auto address_space =
      m_listener == AttackedListener::kEntryApi ? kEntryRoleAddressSpace : kAddressSpace;
  m_process = std::make_unique<DaemonProcess>(
      Settings() + "[limits]\n" + m_limits, std::vector<std::string>{}, log_file,
      ProcessLimits{.m_descriptors = kMaxDescriptors, .m_address_space = address_space});
  m_pid = m_process->Pid();
  if (!WaitUntil([&] { return RequestOnce(m_address, OrdinaryRequest(false)) == 200; })) {
    throw std::runtime_error("the process did not come up");
  }
  m_sampler = std::thread([this] {
    while (!m_stopping) {
      Sample();
      std::this_thread::sleep_for(kSampleInterval);
    }
  });
}

AttackedProcess::~AttackedProcess() {
  m_stopping = true;
  if (m_sampler.joinable()) m_sampler.join();
  // The process ends first, since it calls the stand-in.
  m_process.reset();
}

void AttackedProcess::StartStandin() {
  const bool is_log = m_listener == AttackedListener::kEntryApi;
  m_standin = standin::CreateStandin(is_log ? "log" : "store", m_standin_address);
  m_standin->Start();
  if (is_log) return;
  PutConfigText(m_standin_address, LimitedConfig());
}

std::string AttackedProcess::Settings() const {
  const auto process = fmt::format(
      "[process]\nid = process-0\ndomain = domain-a\nrpc = {}\n"
      "metrics = {}\n",
      m_rpc_address, m_listener == AttackedListener::kMetrics ? m_address : FreeAddress());
  const auto store = "[store]\nurl = http://" + m_standin_address + "\n";
  switch (m_listener) {
    case AttackedListener::kJobApi:
      return process + "role = fleet_entry\nhttp = " + m_address +
             "\nreadiness = " + FreeAddress() + "\n" + store;
    case AttackedListener::kReadiness:
      return process + "role = fleet_entry\nhttp = " + FreeAddress() +
             "\nreadiness = " + m_address + "\n" + store;
    case AttackedListener::kControl:
      return process + "role = fleet_agent\ncontrol = " + m_address + "\n" + store +
             "[worker]\nurl = http://" + FreeAddress() + "\n";
    case AttackedListener::kMetrics:
      return process + "role = fleet_entry\nhttp = " + FreeAddress() +
             "\nreadiness = " + FreeAddress() + "\n" + store;
    case AttackedListener::kEntryApi:
      break;
  }
  return process + "role = entry\nhttp = " + m_address + "\n[log]\nurl = http://" +
         m_standin_address + "\n";
}

std::string AttackedProcess::HeadOfRequest() const {
  std::string line;
  switch (m_listener) {
    case AttackedListener::kJobApi:
      line = "POST /renders/0123456789abcdef";
      break;
    case AttackedListener::kReadiness:
      line = "GET /readyz";
      break;
    case AttackedListener::kControl:
      line = "POST /instances/w-0/heartbeat";
      break;
    case AttackedListener::kEntryApi:
      line = "PUT /v1/classes/c";
      break;
    case AttackedListener::kMetrics:
      line = "GET /metrics";
      break;
  }
  return line + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\n";
}

std::string AttackedProcess::OrdinaryRequest(const bool keeps_connection) {
  std::string line;
  std::string body;
  switch (m_listener) {
    case AttackedListener::kJobApi:
      line = fmt::format("POST /renders/{:016x}", ++m_requests);
      body = standin::UsersJob("run 1", 1, false);
      break;
    case AttackedListener::kReadiness:
      line = "GET /readyz";
      break;
    case AttackedListener::kControl:
      line = "POST /instances/w-0/heartbeat";
      body = fmt::format(R"({{"Service":"desk","State":"ready","Seq":{},)"
                         R"("Capacity":{{"Cpu":1000,"MemMb":100}}}})",
                         ++m_requests);
      break;
    case AttackedListener::kEntryApi:
      line = "GET /v1/status";
      break;
    case AttackedListener::kMetrics:
      line = "GET /metrics";
      break;
  }
  return fmt::format(
      "{} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\n"
      "Content-Length: {}\r\n{}\r\n{}",
      line, body.size(), keeps_connection ? "" : "Connection: close\r\n", body);
}

void AttackedProcess::Sample() {
  RaiseTo(m_peak_memory, ReadStatus(m_pid, "VmHWM"));
  RaiseTo(m_peak_descriptors, CountDescriptors(m_pid));
}

std::string AttackedProcess::FindFaults() {
  const bool answered = WaitUntil([&] {
    return m_process->HasEnded() || RequestOnce(m_address, OrdinaryRequest(false)) == 200;
  });
  Sample();
  std::string faults;
  if (m_process->HasEnded()) {
    faults += "the process has ended; ";
  } else if (!answered) {
    faults += "no answer to an ordinary request; ";
  }
  if (m_peak_memory > m_bounds.m_memory) {
    faults += fmt::format("memory of {} MiB is over the bound of {}; ", m_peak_memory / kMebibyte,
                          m_bounds.m_memory / kMebibyte);
  }
  if (m_peak_descriptors > m_bounds.m_descriptors) {
    faults += fmt::format("{} descriptors are over the bound of {}; ", m_peak_descriptors.load(),
                          m_bounds.m_descriptors);
  }
  return faults;
}

std::string AttackedProcess::DescribeUse() const {
  return fmt::format("{} MiB, {} descriptors", m_peak_memory / kMebibyte,
                     m_peak_descriptors.load());
}

}  // namespace ebonypin::daemon
