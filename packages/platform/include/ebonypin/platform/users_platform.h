/// Plug-in for the users' platform: its clients, listeners, topic names and formats.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "ebonypin/platform/advice.h"
#include "ebonypin/platform/job_front.h"
#include "ebonypin/platform/keyed_store.h"
#include "ebonypin/platform/machine_list.h"
#include "ebonypin/platform/run_worker.h"

namespace ebonypin::platform {

struct PlatformPlugin {
  /// Topic and key of the operators' configuration, and its decoder, which fails with kBadMessage.
  std::string m_config_topic;
  std::string m_config_key;
  std::function<core::Result<core::fleet::QueueTable>(const std::string&)> m_decode_config;
  /// Prefix of the keys, in the same topic, of the records that request the evacuation of a failure
  /// domain, whose name follows. A record's presence is the request; its value has no meaning.
  std::string m_evacuation_prefix;
  /// Topics for the records of the scheduler.
  std::string m_jobs_topic;
  std::string m_coordinator_topic;

  std::function<std::unique_ptr<KeyedStore>(const std::string& url)> m_store;
  std::function<std::unique_ptr<FleetWorkerClient>(const std::string& url)> m_worker;
  std::function<std::unique_ptr<AdviceService>(const std::string& url)> m_advice;
  std::function<std::unique_ptr<MachineList>(const std::string& url)> m_machines;
  /// Open listeners at "ip:port". They throw std::exception when the address is in use.
  std::function<std::unique_ptr<Listener>(const std::string& address, JobApiHandler handler,
                                          const http::ServerLimits& limits)>
      m_job_api;
  std::function<std::unique_ptr<Listener>(
      const std::string& address, std::function<bool()> is_ready, const http::ServerLimits& limits)>
      m_readiness;
  std::function<std::unique_ptr<Listener>(const std::string& address, ControlHandlers handlers,
                                          const http::ServerLimits& limits)>
      m_control;
};

/// Registers the plug-in. Called from a static initialiser.
bool RegisterPlatformPlugin(PlatformPlugin platform);

/// Returns the registered plug-in, or null when the program was built without one.
[[nodiscard]] const PlatformPlugin* GetPlatformPlugin() noexcept;

}  // namespace ebonypin::platform
