#include "daemon_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

constexpr auto kWaitPoll = 5ms;
constexpr mode_t kLogFileMode = 0600;

/// Returns the program to start: that of this build, or of another version.
std::string ProgramFile() {
  const char* const other = std::getenv("EBONYPIN_DAEMON_PROGRAM");
  return other != nullptr ? other : EBONYPIN_DAEMON;
}

/// Returns the words of a command that sets `limits` and then becomes the command that is appended,
/// or nothing when there is no limit. The shell sets them before the program starts; setting them
/// around the start would limit the threads of the test as well.
std::vector<std::string> LimitingCommand(const ProcessLimits& limits) {
  constexpr std::size_t kKibibyte = 1024;  // `ulimit -v` counts in these.
  std::string script;
  if (limits.m_descriptors > 0) {
    script += "ulimit -n " + std::to_string(limits.m_descriptors) + " && ";
  }
  if (limits.m_address_space > 0) {
    script += "ulimit -v " + std::to_string(limits.m_address_space / kKibibyte) + " && ";
  }
  if (script.empty()) return {};
  return {"/bin/sh", "-c", script + "exec \"$@\"", "sh"};
}

std::string WriteSettings(const std::string& settings) {
  auto file = (std::filesystem::temp_directory_path() / "ebonypin-daemon-XXXXXX").string();
  const int descriptor = ::mkstemp(file.data());
  if (descriptor < 0) throw std::runtime_error("cannot create a settings file in " + file);
  ::close(descriptor);
  std::ofstream(file) << settings;
  return file;
}

}  // namespace

DaemonProcess::DaemonProcess(const std::string& settings, const std::vector<std::string>& flags,
                             const std::string& log_file, const ProcessLimits& limits)
    : m_settings_file(WriteSettings(settings)) {
  auto words = LimitingCommand(limits);
  words.insert(words.end(), {ProgramFile(), "--settings=" + m_settings_file});
  words.insert(words.end(), flags.begin(), flags.end());
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (auto& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  if (!log_file.empty()) {
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, kLogFileMode);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  }
  // An inherited socket would keep a connection open that the test has closed.
  ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error =
      ::posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    m_pid = 0;
    std::filesystem::remove(m_settings_file);
    throw std::runtime_error("cannot start " + ProgramFile());
  }
}

DaemonProcess::~DaemonProcess() {
  (void)WaitForEnd(0ms);
  std::filesystem::remove(m_settings_file);
}

void DaemonProcess::Signal(const int signal) const {
  if (m_pid != 0) ::kill(m_pid, signal);
}

bool DaemonProcess::HasEnded() {
  if (m_pid != 0 && ::waitpid(m_pid, &m_status, WNOHANG) != 0) m_pid = 0;
  return m_pid == 0;
}

bool DaemonProcess::WaitForEnd(const std::chrono::milliseconds timeout) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  while (!HasEnded()) {
    if (std::chrono::steady_clock::now() >= until) {
      ::kill(m_pid, SIGKILL);
      ::waitpid(m_pid, &m_status, 0);
      m_pid = 0;
      return false;
    }
    std::this_thread::sleep_for(kWaitPoll);
  }
  return WIFEXITED(m_status) && WEXITSTATUS(m_status) == 0;
}

}  // namespace ebonypin::daemon
