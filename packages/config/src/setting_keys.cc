#include "setting_keys.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <utility>

#include "ebonypin/config/values.h"

namespace ebonypin::config {
namespace {

using namespace std::chrono_literals;

constexpr double kMaxProcessors = 1024.0;

/// Accepted values of a key: their description for messages, and the function that parses and
/// stores one.
struct ValueFormat {
  std::string m_text;
  SettingSetter m_set;
};

ValueFormat Name(std::string Settings::*member) {
  return {std::string{kNameFormat}, [member](Settings& settings, const std::string& value) {
            settings.*member = value;
            return IsName(value);
          }};
}

ValueFormat OneOf(std::string Settings::*member, std::vector<std::string> choices) {
  auto text = fmt::format("{}", fmt::join(choices, " or "));
  return {std::move(text),
          [member, choices = std::move(choices)](Settings& settings, const std::string& value) {
            settings.*member = value;
            return std::find(choices.begin(), choices.end(), value) != choices.end();
          }};
}

/// Address that this process announces to other processes. The wildcard address 0.0.0.0 is
/// rejected because nobody can connect to it.
ValueFormat OwnAddress(std::string Settings::*member) {
  return {std::string{kAddressFormat} + ", not 0.0.0.0 since others connect to it",
          [member](Settings& settings, const std::string& value) {
            settings.*member = value;
            return IsAddress(value) && !value.starts_with("0.0.0.0:");
          }};
}

ValueFormat ListenAddress(std::string Settings::*member) {
  return {std::string{kAddressFormat}, [member](Settings& settings, const std::string& value) {
            settings.*member = value;
            return IsAddress(value);
          }};
}

ValueFormat AddressList(std::vector<std::string> Settings::*member) {
  return {"one or more ip:port, separated by commas",
          [member](Settings& settings, const std::string& value) {
            auto& list = settings.*member;
            list.clear();
            for (std::size_t start = 0; start <= value.size();) {
              const auto end = std::min(value.find(',', start), value.size());
              auto part = value.substr(start, end - start);
              part.erase(0, part.find_first_not_of(' '));
              part.erase(part.find_last_not_of(' ') + 1);
              if (!IsAddress(part)) return false;
              list.push_back(std::move(part));
              start = end + 1;
            }
            return true;
          }};
}

ValueFormat Url(std::string Settings::*member) {
  return {std::string{kUrlFormat}, [member](Settings& settings, const std::string& value) {
            settings.*member = value;
            return IsUrl(value);
          }};
}

ValueFormat DurationBetween(core::Duration Settings::*member, const core::Duration min,
                            const core::Duration max) {
  return {
      fmt::format("{}, from {} to {}", kDurationFormat, FormatDuration(min), FormatDuration(max)),
      [=](Settings& settings, const std::string& value) {
        const auto parsed = ParseDuration(value);
        settings.*member = parsed.value_or(core::Duration{});
        return parsed && *parsed >= min && *parsed <= max;
      }};
}

ValueFormat CountBetween(std::uint32_t Settings::*member, const std::int64_t min,
                         const std::int64_t max) {
  return {fmt::format("a whole number from {} to {}", min, max),
          [=](Settings& settings, const std::string& value) {
            const auto parsed = ParseCount(value);
            if (!parsed || *parsed < min || *parsed > max) return false;
            settings.*member = static_cast<std::uint32_t>(*parsed);
            return true;
          }};
}

/// Number of processors, such as 0.25, stored in thousandths.
ValueFormat Processors(std::uint32_t Settings::*member, const double max) {
  return {fmt::format("a decimal number from 0.001 to {}", max),
          [=](Settings& settings, const std::string& value) {
            double processors = 0.0;
            const char* const end = value.data() + value.size();
            const auto parsed = std::from_chars(value.data(), end, processors);
            if (parsed.ec != std::errc{} || parsed.ptr != end) return false;
            if (!(processors >= 0.001 && processors <= max)) return false;
            settings.*member = static_cast<std::uint32_t>(std::lround(processors * 1000.0));
            return true;
          }};
}

ValueFormat CapacityBetween(std::int64_t core::Resources::*member, const std::int64_t min,
                            const std::int64_t max) {
  return {fmt::format("a whole number from {} to {}", min, max),
          [=](Settings& settings, const std::string& value) {
            const auto parsed = ParseCount(value);
            settings.m_capacity.*member = parsed.value_or(0);
            return parsed && *parsed >= min && *parsed <= max;
          }};
}

ValueFormat MemoryUpTo(std::int64_t core::Resources::*member, const std::int64_t max) {
  return {fmt::format("{}, from 1MB to {}GB", kMemoryFormat, max / 1024),
          [=](Settings& settings, const std::string& value) {
            const auto parsed = ParseMemory(value);
            settings.m_capacity.*member = parsed.value_or(0);
            return parsed && *parsed >= 1 && *parsed <= max;
          }};
}

ValueFormat MemoryUpTo(std::uint32_t Settings::*member, const std::int64_t max) {
  return {fmt::format("{}, from 1MB to {}GB", kMemoryFormat, max / 1024),
          [=](Settings& settings, const std::string& value) {
            const auto parsed = ParseMemory(value);
            if (!parsed || *parsed < 1 || *parsed > max) return false;
            settings.*member = static_cast<std::uint32_t>(*parsed);
            return true;
          }};
}

struct KeyOptions {
  RequiredBy m_required = RequiredBy::kNoRole;
  std::string m_default;
  std::string m_example;
};

SettingKey Key(const std::string& section, const std::string& key, ValueFormat format,
               KeyOptions options, std::string meaning) {
  if (options.m_example.empty()) options.m_example = options.m_default;
  return {.m_section = section,
          .m_key = key,
          .m_required = options.m_required,
          .m_default = std::move(options.m_default),
          .m_format = std::move(format.m_text),
          .m_example = std::move(options.m_example),
          .m_meaning = std::move(meaning),
          .m_set = std::move(format.m_set)};
}

std::vector<SettingKey> MakeKeys() {
  using R = core::Resources;
  using S = Settings;
  constexpr std::int64_t kMaxMemoryMb = std::int64_t{16} * 1024 * 1024;
  return {
      Key("process", "role", OneOf(&S::m_role, RoleChoices()),
          {.m_required = RequiredBy::kAllRoles, .m_example = "entry"},
          "What this process does: serve callers, or manage one worker. The fleet roles run jobs "
          "of "
          "steps on the users' platform."),
      Key("process", "id", Name(&S::m_id),
          {.m_required = RequiredBy::kAllRoles, .m_example = "entry-1"},
          "Name of this process, unique in the region. An agent's id is the id of its instance."),
      Key("process", "region", Name(&S::m_region), {.m_default = "main"},
          "Region of this process; selects its log stream."),
      Key("process", "domain", Name(&S::m_domain),
          {.m_required = RequiredBy::kAllRoles, .m_example = "rack-1"},
          "Failure domain of this process."),
      Key("process", "rpc", OwnAddress(&S::m_rpc_address),
          {.m_required = RequiredBy::kAllRoles, .m_example = "127.0.0.1:7101"},
          "Address for other processes of the system."),
      Key("process", "rpc_listen", ListenAddress(&S::m_rpc_listen_address),
          {.m_example = "127.0.0.1:7111"},
          "Address at which a fleet role listens when others reach `rpc` through a proxy; `rpc` "
          "when unset."),
      Key("process", "http", OwnAddress(&S::m_http_address),
          {.m_required = RequiredBy::kBothEntries, .m_example = "127.0.0.1:7001"},
          "Address for callers and operators."),
      Key("process", "metrics", ListenAddress(&S::m_metrics_address),
          {.m_example = "127.0.0.1:9101"}, "Address of the Prometheus metrics; none when unset."),
      Key("process", "readiness", OwnAddress(&S::m_readiness_address),
          {.m_required = RequiredBy::kFleetEntry, .m_example = "127.0.0.1:7002"},
          "Address for the load balancer's probes."),
      Key("process", "control", OwnAddress(&S::m_control_address),
          {.m_required = RequiredBy::kFleetAgent, .m_example = "127.0.0.1:7003"},
          "Address for the heartbeats of the worker."),
      Key("process", "log_level", OneOf(&S::m_log_level, {"debug", "info", "warn", "error"}),
          {.m_default = "info"}, "Lowest level of the events that are logged."),
      Key("process", "ready_after", DurationBetween(&S::m_ready_after, 1ms, 1min),
          {.m_default = "1500ms"},
          "Time after its start before an entry serves callers, during which agents "
          "register."),
      Key("process", "processors", Processors(&S::m_cpu_millis, kMaxProcessors),
          {.m_example = "0.25"},
          "Processors of a fleet entry; the entries with the most processors are candidates for "
          "leadership as coordinator."),
      Key("process", "seeds", AddressList(&S::m_seeds),
          {.m_required = RequiredBy::kAgent, .m_example = "127.0.0.1:7101,127.0.0.1:7102"},
          "RPC addresses of the load balancer or of entries, to find the others at start."),
      Key("log", "url", Url(&S::m_log_url),
          {.m_required = RequiredBy::kEntry, .m_example = "http://127.0.0.1:7400"},
          "Base URL of the log service."),
      Key("log", "timeout", DurationBetween(&S::m_log_timeout, 100ms, 60s), {.m_default = "2s"},
          "Longest wait for one answer of the log service."),
      Key("log", "retention", DurationBetween(&S::m_log_retention, 1min, 8760h),
          {.m_default = "24h"},
          "Age at which the log service drops records; records still in use are rewritten at half "
          "this age."),
      Key("log", "max_appends_per_second", CountBetween(&S::m_max_appends_per_second, 1, 10'000),
          {.m_default = "100"}, "Limit of this entry's appends to the log."),
      Key("store", "url", Url(&S::m_store_url),
          {.m_required = RequiredBy::kFleet, .m_example = "http://127.0.0.1:7500"},
          "Base URL of the platform's store."),
      Key("store", "shortest_membership",
          DurationBetween(&S::m_store_shortest_membership, 1ms, 1min), {.m_default = "1s"},
          "Shortest time-to-live that the store accepts for a group membership."),
      Key("store", "record_bytes", CountBetween(&S::m_store_record_bytes, 4096, 1'073'741'824),
          {.m_default = "262144"},
          "Largest record that the store takes, in bytes with its key. Records of 512 KiB are used "
          "at most. A submission whose record is larger gets 413."),
      Key("store", "append_bytes", CountBetween(&S::m_store_append_bytes, 4096, 1'073'741'824),
          {.m_default = "2097152"},
          "Largest sum of the records in one append that the store takes, in bytes."),
      Key("advice", "url", Url(&S::m_advice_url), {.m_example = "http://127.0.0.1:7501"},
          "Base URL of the advice service for workers; without it, queues that need advice wait."),
      Key("machines", "url", Url(&S::m_machines_url), {.m_example = "http://127.0.0.1:7502"},
          "Base URL of the platform's list of machines; without it, a new coordinator waits for "
          "members that were removed."),
      Key("calls", "hold", DurationBetween(&S::m_calls_hold, 0ms, 10s), {.m_default = "0ms"},
          "Longest time for which a call is held while the store is unavailable, at most half of "
          "the caller's wait; 0ms: calls are not held."),
      Key("worker", "url", Url(&S::m_worker_url),
          {.m_required = RequiredBy::kBothAgents, .m_example = "http://127.0.0.1:7301"},
          "Base URL of the worker's interface."),
      Key("worker", "cpu_millis", CapacityBetween(&R::m_cpu_millis, 1, 10'000'000),
          {.m_required = RequiredBy::kAgent, .m_example = "16000"},
          "Processors of the worker, in thousandths."),
      Key("worker", "memory", MemoryUpTo(&R::m_memory_mb, kMaxMemoryMb),
          {.m_required = RequiredBy::kAgent, .m_example = "60GB"}, "Memory of the worker."),
      Key("worker", "accelerators", CapacityBetween(&R::m_accelerators, 0, 1024),
          {.m_default = "0"}, "Accelerators of the worker."),
      Key("worker", "longest_lease", DurationBetween(&S::m_longest_lease, 1s, 60s),
          {.m_default = "6s"}, "Longest lease that the worker keeps, by its own clock."),
      Key("worker", "slots", CountBetween(&S::m_slots, 1, 1024), {.m_default = "8"},
          "Requests and tasks that the worker runs at once."),
      Key("worker", "connections", CountBetween(&S::m_connections, 1, 65'535), {.m_default = "64"},
          "Connections that the worker's endpoint accepts."),
      Key("policy", "name", OneOf(&S::m_policy, {"ebonypin", "naive"}), {.m_default = "ebonypin"},
          "Scheduling policy; naive is the baseline of the benchmark."),
      Key("limits", "memory", MemoryUpTo(&S::m_memory_mb, kMaxMemoryMb), {.m_default = "160MB"},
          "Memory of the machine, from which `buffered` and `connections` are derived."),
      Key("limits", "descriptors", CountBetween(&S::m_descriptors, 256, 1'048'576),
          {.m_default = "4096"},
          "Descriptors that the machine allows this process, from which `connections` and "
          "`rpc_connections` are derived."),
      Key("limits", "head_bytes", CountBetween(&S::m_max_head_bytes, 256, 1'048'576),
          {.m_default = "16384"},
          "Largest request line with headers, and largest chunk header and trailers, in bytes; "
          "larger ones get 431. `MaxHeaderBytes` of the configuration replaces it at the job API."),
      Key("limits", "body_bytes", CountBetween(&S::m_max_body_bytes, 256, 4'194'304),
          {.m_example = "262144"},
          "Largest request body in bytes; larger ones get 413, or 400 at the API of an entry. When "
          "unset, 262144 at the job API, 524288 at the API of an entry and 4194304 at `control`; "
          "when set, these are reduced to it. `MaxBodyBytes` of the configuration replaces it at "
          "the job API."),
      Key("limits", "head_timeout", DurationBetween(&S::m_head_timeout, 10ms, 1h),
          {.m_default = "3s"},
          "Longest time to receive a request line with headers. `HeaderTimeoutMs` of the "
          "configuration replaces it at the job API."),
      Key("limits", "idle_timeout", DurationBetween(&S::m_idle_timeout, 10ms, 1h),
          {.m_default = "15s"},
          "Time after which a connection without a request is closed. `IdleTimeoutMs` of the "
          "configuration replaces it at the job API."),
      Key("limits", "body_timeout", DurationBetween(&S::m_body_timeout, 10ms, 1h),
          {.m_default = "30s"}, "Longest time to receive a body."),
      Key("limits", "write_timeout", DurationBetween(&S::m_write_timeout, 10ms, 1h),
          {.m_default = "30s"}, "Longest time for a client to take a response."),
      Key("limits", "connections", CountBetween(&S::m_max_connections, 1, 1'048'576),
          {.m_example = "1024"},
          "Connections of an HTTP listener. When unset, the API gets the smaller of a quarter of "
          "`memory` in pieces of 32 KiB and half of the `descriptors` above 200, at least 16; "
          "`readiness` and `control` get 64, or this value when it is smaller."),
      Key("limits", "buffered", MemoryUpTo(&S::m_max_buffered_mb, kMaxMemoryMb),
          {.m_example = "16MB"},
          "Memory for heads, bodies and requests in progress of an HTTP listener. When unset, the "
          "API gets an eighth of `memory`, `readiness` 1 MiB and `control` 9 MiB, or this value "
          "when it is smaller; each at least two requests of the largest size."),
      Key("limits", "rpc_connections", CountBetween(&S::m_max_rpc_connections, 16, 1'048'576),
          {.m_example = "974"},
          "Connections that other processes of the system may open at `process.rpc`. For a further "
          "one the longest idle one is closed. When unset, a quarter of the `descriptors` above "
          "200, at least 16."),
  };
}

}  // namespace

const std::vector<SettingKey>& SettingKeys() {
  static const std::vector<SettingKey> keys = MakeKeys();
  return keys;
}

std::string FlagName(const SettingKey& key) { return key.m_section + "_" + key.m_key; }

const std::vector<std::string>& RoleChoices() {
  static const std::vector<std::string> roles{"entry", "agent", "fleet_entry", "fleet_agent"};
  return roles;
}

bool IsRequired(const SettingKey& key, const std::string& role) noexcept {
  const auto& roles = RoleChoices();
  for (std::size_t i = 0; i < roles.size(); ++i) {
    if (roles[i] == role) return (static_cast<unsigned>(key.m_required) >> i & 1U) != 0;
  }
  return false;
}

}  // namespace ebonypin::config
