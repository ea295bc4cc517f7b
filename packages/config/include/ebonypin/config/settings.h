/// Settings of one process, read from an INI file with command-line overrides.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ebonypin/core/error.h"
#include "ebonypin/core/ids.h"
#include "ebonypin/core/resources.h"
#include "ebonypin/core/time.h"

namespace ebonypin::config {

/// Settings of `ebonypind`. docs/settings.md lists the key of every field.
struct Settings {
  // [process]
  std::string m_role;  ///< "entry", "agent", "fleet_entry" or "fleet_agent".
  std::string m_id;    ///< Unique name of this process.
  std::string m_region = "main";
  std::string m_domain;        ///< Failure domain.
  std::string m_http_address;  ///< "ip:port"; entries serve callers and operators here.
  std::string m_rpc_address;   ///< "ip:port".
  /// "ip:port"; fleet roles listen here for RPC when others reach `m_rpc_address` through a proxy.
  std::string m_rpc_listen_address;
  std::string m_metrics_address;    ///< "ip:port"; empty: no metrics.
  std::string m_readiness_address;  ///< "ip:port"; the load balancer probes fleet entries here.
  std::string m_control_address;    ///< "ip:port"; fleet agents receive worker heartbeats here.
  std::string m_log_level = "info";
  core::Duration m_ready_after = std::chrono::milliseconds{
      1500};  ///< Entries only: time after the start before an entry serves callers.
  std::uint32_t m_cpu_millis = 0;  ///< Processors of a fleet entry, in thousandths; 0 when not set.
  std::vector<std::string> m_seeds;  ///< RPC addresses of the load balancer or of entries.

  // [log]
  std::string m_log_url;  ///< Base URL of the log service.
  core::Duration m_log_timeout = std::chrono::seconds{2};
  core::Duration m_log_retention = std::chrono::hours{24};  ///< Age at which the log drops records.
  std::uint32_t m_max_appends_per_second = 100;

  // [store] and [advice], fleet roles only
  std::string m_store_url;  ///< Base URL of the platform's store.
  /// Shortest time-to-live that the store accepts for a group membership.
  core::Duration m_store_shortest_membership = std::chrono::seconds{1};
  std::uint32_t m_store_record_bytes = 262'144;    ///< Largest record, with its key.
  std::uint32_t m_store_append_bytes = 2'097'152;  ///< Largest sum of the records of an append.
  std::string m_advice_url;                        ///< Base URL of the advice service; empty: none.
  std::string m_machines_url;  ///< Base URL of the list of machines; empty: none.

  // [calls], fleet entries only
  /// Longest time for which a call is held while the store is unavailable; zero: none is held.
  core::Duration m_calls_hold{};

  // [worker], agents only
  std::string m_worker_url;  ///< Base URL of the platform's worker interface.
  core::Resources m_capacity;
  core::Duration m_longest_lease = std::chrono::seconds{6};
  std::uint32_t m_slots = 8;
  std::uint32_t m_connections = 64;

  // [policy]
  std::string m_policy = "ebonypin";  ///< "ebonypin" or "naive".

  // [limits], for the HTTP listeners of this process
  std::uint32_t m_memory_mb = 160;  ///< Of the machine.
  std::uint32_t m_descriptors = 4096;
  std::uint32_t m_max_head_bytes = 16'384;
  std::uint32_t m_max_body_bytes = 0;  ///< 0: the default of each listener.
  core::Duration m_head_timeout = std::chrono::seconds{3};
  core::Duration m_idle_timeout = std::chrono::seconds{15};
  core::Duration m_body_timeout = std::chrono::seconds{30};
  core::Duration m_write_timeout = std::chrono::seconds{30};
  std::uint32_t m_max_connections = 0;      ///< Of one listener; 0: derived, see listener_share.h.
  std::uint32_t m_max_buffered_mb = 0;      ///< Of one listener; 0: derived.
  std::uint32_t m_max_rpc_connections = 0;  ///< Incoming; 0: derived, see listener_share.h.

  friend bool operator==(const Settings&, const Settings&) = default;
};

/// Value from the command line that replaces the one in the file.
struct SettingOverride {
  std::string m_flag;  ///< "<section>_<key>", for example "log_url".
  std::string m_value;
};

/// Reads settings from INI text, then applies `overrides`. `file` is used in messages only. Fails
/// with kBadSetting and one line for each fault, giving file, line and remedy. Faults are unknown
/// sections and keys, values with the wrong format or out of range, and missing keys that the role
/// requires.
[[nodiscard]] core::Result<Settings> ParseSettings(
    const std::string& text, const std::string& file,
    const std::vector<SettingOverride>& overrides = {});

/// Reads settings from the file at `path`, or from `overrides` alone when `path` is empty.
[[nodiscard]] core::Result<Settings> LoadSettings(
    const std::string& path, const std::vector<SettingOverride>& overrides = {});

/// Defines one gflags flag for each key. Call once, before gflags parses the command line.
void DefineSettingFlags();

/// Returns the values of the flags that the command line sets.
[[nodiscard]] std::vector<SettingOverride> SettingsFromFlags();

/// Returns the table of all settings in docs/settings.md, as Markdown.
[[nodiscard]] std::string SettingsReference();

}  // namespace ebonypin::config
