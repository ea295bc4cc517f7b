/// The daemon: reads settings, runs one role until SIGTERM or SIGINT, then stops it gracefully.
#include <gflags/gflags.h>
#include <signal.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <thread>

#include "ebonypin/config/settings.h"
#include "ebonypin/daemon/events.h"
#include "ebonypin/daemon/role.h"

DEFINE_string(settings, "", "INI file with the settings of this process");
DEFINE_bool(check, false, "check the settings and exit: 0 when they are valid, 2 when not");
DEFINE_int32(drain_seconds, 30,
             "longest time a planned stop waits for work in progress, in seconds");

namespace {

constexpr int kExitBadSetting = 2;
constexpr int kExitStartFailed = 3;

/// Reads the settings again. Only the log level changes while a process runs; other changes take
/// effect at its next start.
void ReloadSettings() {
  namespace config = ebonypin::config;
  namespace daemon = ebonypin::daemon;
  const auto loaded = ebonypin::core::Capture(
      [] { return config::LoadSettings(FLAGS_settings, config::SettingsFromFlags()); });
  if (!loaded.Ok()) {
    daemon::LogEvent(daemon::kSettingsRefused, {{"reason", loaded.m_error->m_message}});
    return;
  }
  daemon::SetLogLevel(loaded.m_value->m_log_level);
  daemon::LogEvent(daemon::kSettingsReloaded, {{"log_level", loaded.m_value->m_log_level}});
}

/// Waits for SIGTERM or SIGINT, and reads the settings again on SIGHUP. Every thread must have
/// blocked these signals.
void WaitForStopSignal(const sigset_t& signals) {
  for (int signal = 0; sigwait(&signals, &signal) == 0;) {
    if (signal != SIGHUP) return;
    ReloadSettings();
  }
}

/// Writes each line of `message` to standard error.
void PrintErrors(const std::string& message) {
  std::istringstream lines(message);
  for (std::string line; std::getline(lines, line);) std::cerr << "error: " << line << '\n';
}

}  // namespace

int main(int argc, char** argv) {
  namespace config = ebonypin::config;
  namespace daemon = ebonypin::daemon;
  gflags::SetUsageMessage(
      "runs one process of ebonypin\n"
      "usage: ebonypind --settings=FILE [--SECTION_KEY=VALUE ...] [--check]\n"
      "exit codes: 0 stopped as planned or settings valid, 2 settings refused, 3 start failed");
  config::DefineSettingFlags();
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc > 1) {
    PrintErrors(std::string{"unexpected argument '"} + argv[1] + "'; pass --settings=FILE");
    return kExitBadSetting;
  }

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  const auto loaded = ebonypin::core::Capture(
      [] { return config::LoadSettings(FLAGS_settings, config::SettingsFromFlags()); });
  if (!loaded.Ok()) {
    PrintErrors(loaded.m_error->m_message);
    return kExitBadSetting;
  }
  const auto& settings = *loaded.m_value;
  const auto role = daemon::CreateRole(settings.m_role, settings);
  if (role == nullptr) {
    std::string names;
    for (const auto& name : daemon::RoleNames()) names += ' ' + name;
    PrintErrors("no role '" + settings.m_role + "' in this program; set role to one of:" + names);
    return kExitBadSetting;
  }
  if (FLAGS_check) {
    std::cout << "settings are valid: role " << settings.m_role << ", id " << settings.m_id << '\n';
    return 0;
  }

  daemon::ConfigureLogging(settings.m_log_level);
  try {
    role->Start();
  } catch (const std::exception& exception) {
    daemon::LogEvent(daemon::kStartFailed, {{"reason", exception.what()}});
    PrintErrors(exception.what());
    return kExitStartFailed;
  }
  daemon::LogEvent(daemon::kProcessStarted, {{"role", settings.m_role},
                                             {"id", settings.m_id},
                                             {"domain", settings.m_domain},
                                             {"rpc", settings.m_rpc_address},
                                             {"http", settings.m_http_address}});
  WaitForStopSignal(signals);
  daemon::LogEvent(daemon::kDrainStarted, {{"limit_s", FLAGS_drain_seconds}});
  role->BeginDrain();
  const auto drain_deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds{FLAGS_drain_seconds};
  while (!role->IsDrained() && std::chrono::steady_clock::now() < drain_deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
  }
  if (!role->IsDrained()) daemon::LogEvent(daemon::kDrainTimedOut);
  role->Stop();
  daemon::LogEvent(daemon::kProcessStopped);
  daemon::FlushLog();
  // The HTTP library may hang, crash or answer 404 while its last listener closes under traffic, so
  // the process ends without closing it.
  std::_Exit(0);
}
