#include "entry_process.h"

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <vector>

#include "site.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

constexpr auto kWaitPoll = 5ms;

/// Writes the settings of an entry and returns the file.
std::string WriteSettings(const std::string& http_address, const std::string& store_address) {
  auto file = (std::filesystem::temp_directory_path() / "ebonypin-entry-XXXXXX").string();
  const int descriptor = ::mkstemp(file.data());
  if (descriptor < 0) throw std::runtime_error("cannot create a settings file in " + file);
  ::close(descriptor);
  std::ofstream(file) << "[process]\nrole = fleet_entry\nid = entry-0\ndomain = domain-a\n"
                      << "rpc = " << FreeAddress() << "\nhttp = " << http_address
                      << "\nreadiness = " << FreeAddress() << "\nmetrics = " << FreeAddress()
                      << "\n[store]\nurl = http://" << store_address << "\n";
  return file;
}

}  // namespace

EntryProcess::EntryProcess(const std::string& store_address, const std::chrono::seconds drain_limit)
    : m_http_address(FreeAddress()), m_settings_file(WriteSettings(m_http_address, store_address)) {
  std::vector<std::string> words{EBONYPIN_DAEMON, "--settings=" + m_settings_file,
                                 "--drain_seconds=" + std::to_string(drain_limit.count())};
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (auto& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  if (::posix_spawn(&m_pid, arguments[0], nullptr, nullptr, arguments.data(), environ) != 0) {
    m_pid = 0;
    throw std::runtime_error("cannot start " + words[0]);
  }
}

EntryProcess::~EntryProcess() {
  if (m_pid != 0) (void)WaitForEnd(0ms);
  std::filesystem::remove(m_settings_file);
}

void EntryProcess::Signal(const int signal) const {
  if (m_pid != 0) ::kill(m_pid, signal);
}

bool EntryProcess::WaitForEnd(const std::chrono::milliseconds timeout) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  int status = 0;
  while (::waitpid(m_pid, &status, WNOHANG) == 0) {
    if (std::chrono::steady_clock::now() >= until) {
      ::kill(m_pid, SIGKILL);
      ::waitpid(m_pid, nullptr, 0);
      m_pid = 0;
      return false;
    }
    std::this_thread::sleep_for(kWaitPoll);
  }
  m_pid = 0;
  return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

}  // namespace ebonypin::daemon
