#include "ebonypin/config/class_file.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "ebonypin/config/values.h"
#include "ini_reader.h"

namespace ebonypin::config {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kSectionPrefix = "class ";
constexpr std::string_view kKeyList =
    "team, kind, exclusive, non_idempotent, start_within, finish_within, latency_p99, latency_p95, "
    "throughput";
constexpr core::Duration kMinTarget = 1ms;
constexpr core::Duration kMaxTarget = 24h * 365;
constexpr double kMaxThroughput = 1e6;

// Substrings of the key names with which other schedulers set weights and placement. A key that
// contains one is rejected with an explanation.
constexpr std::array<std::string_view, 9> kWeightKeyParts{
    "weight", "priority", "share", "nice", "importance", "rank", "preempt", "quota", "order"};
constexpr std::array<std::string_view, 15> kPlacementKeyParts{
    "place",  "affinity", "node",   "host",    "instance", "worker", "zone",    "domain",
    "region", "rack",     "spread", "replica", "slot",     "pin",    "selector"};

template <std::size_t N>
bool ContainsAny(const std::string& key, const std::array<std::string_view, N>& words) {
  return std::any_of(words.begin(), words.end(), [&](const std::string_view word) {
    return key.find(word) != std::string::npos;
  });
}

/// Message about a rejected key, or nothing when the value was stored.
using Fault = std::optional<std::string>;

Fault InvalidValue(const IniKey& key, const std::string_view format) {
  return fmt::format("{} = '{}' is refused; write {}", key.m_name, key.m_value, format);
}

Fault ReadBool(const IniKey& key, bool& out) {
  if (key.m_value != "true" && key.m_value != "false") return InvalidValue(key, "true or false");
  out = key.m_value == "true";
  return std::nullopt;
}

Fault ReadDuration(const IniKey& key, std::optional<core::Duration>& out) {
  out = ParseDuration(key.m_value);
  if (out && *out >= kMinTarget && *out <= kMaxTarget) return std::nullopt;
  return InvalidValue(key, fmt::format("{}, from {} to {}", kDurationFormat,
                                       FormatDuration(kMinTarget), FormatDuration(kMaxTarget)));
}

Fault ReadLatency(const IniKey& key, const double percentile, core::Target& target) {
  if (target.m_latency) {
    return fmt::format("{} is a second latency target; keep one of latency_p99 and latency_p95",
                       key.m_name);
  }
  target.m_percentile = percentile;
  return ReadDuration(key, target.m_latency);
}

Fault ReadThroughput(const IniKey& key, std::optional<double>& out) {
  out = ParseRate(key.m_value);
  if (out && *out <= kMaxThroughput) return std::nullopt;
  return InvalidValue(key, fmt::format("{}, up to {}", kRateFormat, FormatRate(kMaxThroughput)));
}

Fault ReadKind(const IniKey& key, core::ClassKind& out) {
  for (const auto kind :
       {core::ClassKind::kRequest, core::ClassKind::kJob, core::ClassKind::kWatch}) {
    if (ClassKindName(kind) != key.m_value) continue;
    out = kind;
    return std::nullopt;
  }
  return InvalidValue(
      key,
      "request (answered at once), job (accepted, answered later) or watch (updates of "
      "a topic)");
}

Fault ExplainRejectedKey(const std::string& name) {
  if (ContainsAny(name, kWeightKeyParts)) {
    return fmt::format(
        "'{}' is not accepted: classes have targets only, and the scheduler derives how much each "
        "class gets from all targets and the load; state what the class needs with start_within, "
        "finish_within, latency_p99, latency_p95 or throughput",
        name);
  }
  if (ContainsAny(name, kPlacementKeyParts)) {
    return fmt::format(
        "'{}' is not accepted: classes have targets only, and the scheduler chooses where work "
        "runs from measured load and interference; remove the key, and use 'ebonypinctl drain ID' "
        "to keep work off an instance",
        name);
  }
  return fmt::format("unknown key '{}'; use one of {}", name, kKeyList);
}

Fault ReadKey(const IniKey& key, core::ClassSpec& spec) {
  const auto& name = key.m_name;
  auto& target = spec.m_target;
  if (name == "team") {
    spec.m_team = {key.m_value};
    return IsName(key.m_value) ? Fault{} : InvalidValue(key, kNameFormat);
  }
  if (name == "kind") return ReadKind(key, spec.m_kind);
  if (name == "exclusive") return ReadBool(key, spec.m_exclusive);
  if (name == "non_idempotent") return ReadBool(key, spec.m_non_idempotent);
  if (name == "start_within") return ReadDuration(key, target.m_start_within);
  if (name == "finish_within") return ReadDuration(key, target.m_finish_within);
  if (name == "latency_p99") return ReadLatency(key, 99.0, target);
  if (name == "latency_p95") return ReadLatency(key, 95.0, target);
  if (name == "throughput") return ReadThroughput(key, target.m_throughput);
  return ExplainRejectedKey(name);
}

/// Returns a fault when the keys of a class contradict each other.
Fault CheckKeyCombination(const core::ClassSpec& spec) {
  const auto& target = spec.m_target;
  if (target.m_start_within && target.m_finish_within &&
      *target.m_start_within > *target.m_finish_within) {
    return fmt::format("start_within {} is longer than finish_within {}; swap or correct them",
                       FormatDuration(*target.m_start_within),
                       FormatDuration(*target.m_finish_within));
  }
  // Only work that is scheduled as a job runs under lease grants, which keep it from running in two
  // places. Non-idempotent requests are scheduled as jobs; other requests are not.
  if (spec.m_exclusive && spec.m_kind == core::ClassKind::kRequest && !spec.m_non_idempotent)
    return "an exclusive request class needs 'non_idempotent = true'; add it or use 'kind = job'";
  if (spec.m_kind == core::ClassKind::kWatch && (spec.m_exclusive || spec.m_non_idempotent)) {
    return "a watch runs no work; remove exclusive and non_idempotent or use 'kind = job'";
  }
  return std::nullopt;
}

void ReadSection(const IniSection& section, const std::string& file,
                 std::vector<core::ClassSpec>& classes, std::vector<std::string>& faults) {
  const auto report = [&](const int line, const std::string& fault) {
    faults.push_back(FormatLocated(file, line, fault));
  };
  core::ClassSpec spec;
  if (section.m_name.starts_with(kSectionPrefix))
    spec.m_name = {section.m_name.substr(kSectionPrefix.size())};
  if (!IsName(spec.m_name.m_value)) {
    report(section.m_line, fmt::format("section [{}] is refused; write [class NAME], NAME being {}",
                                       section.m_name, kNameFormat));
    return;
  }
  const auto faults_before = faults.size();
  for (const auto& key : section.m_keys) {
    if (const auto fault = ReadKey(key, spec)) report(key.m_line, *fault);
  }
  for (const std::string required : {"team", "kind"}) {
    if (std::none_of(section.m_keys.begin(), section.m_keys.end(),
                     [&](const IniKey& key) { return key.m_name == required; })) {
      report(section.m_line,
             fmt::format("class {} has no {}; add '{} = {}'", spec.m_name.m_value, required,
                         required, required == "team" ? "NAME" : "request', 'job' or 'watch"));
    }
  }
  if (faults.size() == faults_before) {
    if (const auto fault = CheckKeyCombination(spec)) report(section.m_line, *fault);
  }
  classes.push_back(std::move(spec));
}

std::vector<std::pair<std::string, std::string>> TargetKeys(const core::Target& target) {
  std::vector<std::pair<std::string, std::string>> keys;
  if (target.m_start_within)
    keys.emplace_back("start_within", FormatDuration(*target.m_start_within));
  if (target.m_finish_within)
    keys.emplace_back("finish_within", FormatDuration(*target.m_finish_within));
  if (target.m_latency) {
    keys.emplace_back(fmt::format("latency_p{}", target.m_percentile),
                      FormatDuration(*target.m_latency));
  }
  if (target.m_throughput) keys.emplace_back("throughput", FormatRate(*target.m_throughput));
  return keys;
}

}  // namespace

core::Result<std::vector<core::ClassSpec>> ParseClasses(const std::string& text,
                                                        const std::string& file) {
  BOOST_LEAF_AUTO(ini, ReadIni(text, file));
  std::vector<core::ClassSpec> classes;
  std::vector<std::string> faults;
  for (const auto& section : ini.m_sections) ReadSection(section, file, classes, faults);
  if (ini.m_sections.empty())
    faults.push_back(FormatLocated(file, ini.m_lines, "no class; add a section [class NAME]"));
  if (!faults.empty()) return core::Fail(BadSetting(faults));
  return classes;
}

core::Result<std::vector<core::ClassSpec>> LoadClasses(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadText(path));
  return ParseClasses(text, path);
}

std::string FormatClass(const core::ClassSpec& spec) {
  auto text = fmt::format("[class {}]\nteam = {}\nkind = {}\n", spec.m_name.m_value,
                          spec.m_team.m_value, ClassKindName(spec.m_kind));
  if (spec.m_exclusive) text += "exclusive = true\n";
  if (spec.m_non_idempotent) text += "non_idempotent = true\n";
  for (const auto& [key, value] : TargetKeys(spec.m_target))
    text += fmt::format("{} = {}\n", key, value);
  return text;
}

std::string ClassKindName(const core::ClassKind kind) {
  switch (kind) {
    case core::ClassKind::kRequest:
      return "request";
    case core::ClassKind::kJob:
      return "job";
    case core::ClassKind::kWatch:
      return "watch";
  }
  return "request";
}

std::string FormatTarget(const core::Target& target) {
  std::string text;
  for (const auto& [key, value] : TargetKeys(target))
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", key, value);
  return text.empty() ? "none" : text;
}

}  // namespace ebonypin::config
