#include "site.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <chrono>
#include <fstream>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace ebonypin::chaos {
namespace {

using namespace std::chrono_literals;

// Offsets of the port groups, in units of kPortsPerGroup (100 ports).
constexpr std::uint32_t kLogGroup = 0;
constexpr std::uint32_t kWorkerGroup = 1;
constexpr std::uint32_t kEntryHttpGroup = 2;
constexpr std::uint32_t kEntryRpcGroup = 3;
constexpr std::uint32_t kAgentRpcGroup = 4;
constexpr std::uint16_t kPortsPerGroup = 100;
constexpr std::uint32_t kDomains = 3;

std::string DomainOf(const std::size_t index) {
  return "domain-" + std::to_string(index % kDomains);
}

}  // namespace

Site::Site(SiteOptions options) : m_options(std::move(options)) {
  const auto standin = (m_options.m_bin / "ebonypin_standin").string();
  const auto daemon = (m_options.m_bin / "ebonypind").string();
  m_log = {.m_name = "log",
           .m_command = {standin, "--kind=log", "--listen=" + Address(kLogGroup, 0)}};
  std::string seeds;
  for (std::size_t i = 0; i < m_options.m_entries; ++i) {
    seeds += (i > 0 ? "," : "") + Address(kEntryRpcGroup, i);
  }
  for (std::size_t i = 0; i < m_options.m_entries; ++i) {
    const auto name = "entry-" + std::to_string(i);
    const auto settings =
        WriteSettings(name, "[process]\nrole = entry\nid = " + name + "\ndomain = " + DomainOf(i) +
                                "\nrpc = " + Address(kEntryRpcGroup, i) +
                                "\nhttp = " + Address(kEntryHttpGroup, i) + "\nseeds = " + seeds +
                                "\n[log]\nurl = " + LogUrl() + "\n");
    m_entries.push_back({.m_name = name, .m_command = {daemon, "--settings=" + settings}});
  }
  for (std::size_t i = 0; i < m_options.m_workers; ++i) {
    const auto name = "worker-" + std::to_string(i);
    m_workers.push_back(
        {.m_name = "platform-" + name,
         .m_command = {standin, "--kind=worker", "--listen=" + Address(kWorkerGroup, i)}});
    const auto settings = WriteSettings(
        name, "[process]\nrole = agent\nid = " + name + "\ndomain = " + DomainOf(i) +
                  "\nrpc = " + Address(kAgentRpcGroup, i) + "\nseeds = " + seeds +
                  "\n[worker]\nurl = " + WorkerUrl(i) + "\ncpu_millis = 16000\nmemory = 60GB\n");
    m_agents.push_back({.m_name = name, .m_command = {daemon, "--settings=" + settings}});
  }
}

Site::~Site() {
  for (auto* group : {&m_agents, &m_entries, &m_workers}) {
    for (auto& process : *group) Kill(process);
  }
  Kill(m_log);
}

void Site::StartAll() {
  Start(m_log);
  for (auto* group : {&m_workers, &m_entries, &m_agents}) {
    for (auto& process : *group) Start(process);
  }
}

void Site::Start(Process& process) {
  std::vector<char*> arguments;
  for (auto& argument : process.m_command) arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  const auto log = (m_options.m_folder / (process.m_name + ".log")).string();
  posix_spawn_file_actions_t files{};
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  const int error =
      posix_spawn(&process.m_pid, arguments[0], &files, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) {
    process.m_pid = -1;
    throw std::runtime_error("cannot start " + process.m_command[0] + "; build it first");
  }
  process.m_paused = false;
}

void Site::Kill(Process& process) {
  if (!IsRunning(process)) return;
  kill(process.m_pid, SIGKILL);
  waitpid(process.m_pid, nullptr, 0);
  process.m_pid = -1;
}

void Site::Terminate(Process& process) {
  if (!IsRunning(process)) return;
  kill(process.m_pid, SIGTERM);
  const auto deadline = std::chrono::steady_clock::now() + 40s;
  while (waitpid(process.m_pid, nullptr, WNOHANG) == 0) {
    if (std::chrono::steady_clock::now() > deadline) {
      Kill(process);
      return;
    }
    std::this_thread::sleep_for(10ms);
  }
  process.m_pid = -1;
}

void Site::Pause(Process& process) {
  if (!IsRunning(process)) return;
  kill(process.m_pid, SIGSTOP);
  process.m_paused = true;
}

void Site::Continue(Process& process) {
  if (!IsRunning(process)) return;
  kill(process.m_pid, SIGCONT);
  process.m_paused = false;
}

std::string Site::EntryUrl(const std::size_t index) const {
  return "http://" + Address(kEntryHttpGroup, index);
}
std::string Site::WorkerUrl(const std::size_t index) const {
  return "http://" + Address(kWorkerGroup, index);
}
std::string Site::LogUrl() const { return "http://" + Address(kLogGroup, 0); }

std::string Site::Address(const std::uint32_t group, const std::size_t index) const {
  return "127.0.0.1:" + std::to_string(m_options.m_base_port + group * kPortsPerGroup + index);
}

std::string Site::WriteSettings(const std::string& name, const std::string& text) const {
  const auto path = m_options.m_folder / (name + ".ini");
  std::ofstream(path) << text;
  return path.string();
}

}  // namespace ebonypin::chaos
