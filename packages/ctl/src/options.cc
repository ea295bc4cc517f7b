#include "options.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string_view>

#include "ebonypin/config/values.h"

DEFINE_string(entry, "",
              "entries to ask, http://ip:port[,http://ip:port...]; the next one is tried when a "
              "repeat is safe. Default: environment variable EBONYPIN_ENTRY, or "
              "http://127.0.0.1:7001");
DEFINE_bool(json, false, "print the answer as JSON, one object a line");
DEFINE_string(timeout, "10s", "longest wait for one answer of an entry, such as 500ms or 10s");
DEFINE_string(operator, "", "your name in the audit trail; default: environment variable USER");
DEFINE_int64(base_revision, -1,
             "revision that the change is based on, 0 to create; default: the current one");
DEFINE_bool(wait, false, "wait for the end and show progress on standard error");
DEFINE_bool(follow, false, "go on and print each new change");
DEFINE_uint64(cursor, 0, "print updates after this cursor; 0: all that are kept");
DEFINE_uint64(count, 0, "end after this many updates or changes; 0: no end");
DEFINE_uint64(limit, 100, "longest list to print, at most 1000");
DEFINE_string(class, "", "class of the work");
DEFINE_string(id, "", "request id, at most 256 bytes; default: a random one");
DEFINE_string(key, "", "idempotency key; default for jobs: a random one");
DEFINE_string(payload, "", "payload; @FILE reads a file, @- standard input");
DEFINE_string(deadline, "", "longest time from arrival to the end, such as 2s");
DEFINE_string(run, "", "declared run time, such as 500ms");
DEFINE_int64(cpu_millis, 0, "declared processors, in thousandths");
DEFINE_string(memory, "", "declared memory, such as 512MB");
DEFINE_int64(accelerators, 0, "declared accelerators");
DEFINE_bool(non_idempotent, false, "run at most once, also when the class does not say so");

namespace ebonypin::ctl {
namespace {

constexpr const char* kDefaultEntry = "http://127.0.0.1:7001";

core::Error BadFlag(const std::string& flag, const std::string& value,
                    const std::string_view form) {
  return {.m_kind = core::ErrorKind::kBadSetting,
          .m_message = fmt::format("--{}: '{}' is refused; write {}", flag, value, form)};
}

std::string Environment(const char* name, const std::string& fallback) {
  const char* const value = std::getenv(name);
  return value == nullptr || *value == '\0' ? fallback : value;
}

core::Result<std::optional<core::Duration>> DurationFlag(const std::string& flag,
                                                         const std::string& value) {
  if (value.empty()) return std::optional<core::Duration>{};
  const auto duration = config::ParseDuration(value);
  if (!duration || duration->count() == 0)
    return core::Fail(BadFlag(flag, value, config::kDurationFormat));
  return duration;
}

core::Result<std::string> ReadPayload(const std::string& value) {
  if (!value.starts_with('@')) return value;
  if (value == "@-") return std::string{std::istreambuf_iterator<char>{std::cin}, {}};
  std::ifstream stream(value.substr(1), std::ios::binary);
  if (!stream) return core::Fail(BadFlag("payload", value, "@FILE with a file that can be read"));
  return std::string{std::istreambuf_iterator<char>{stream}, {}};
}

}  // namespace

core::Result<std::vector<std::string>> ParseEntries(const std::string& text) {
  std::vector<std::string> entries;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    if (!config::IsUrl(part)) return core::Fail(BadFlag("entry", part, config::kUrlFormat));
    entries.push_back(part);
  }
  if (entries.empty()) return core::Fail(BadFlag("entry", text, config::kUrlFormat));
  return entries;
}

core::Result<Options> OptionsFromFlags() {
  Options options{
      .m_json = FLAGS_json,
      .m_operator = FLAGS_operator.empty() ? Environment("USER", "") : FLAGS_operator,
      .m_wait = FLAGS_wait,
      .m_follow = FLAGS_follow,
      .m_cursor = FLAGS_cursor,
      .m_count = FLAGS_count,
      .m_limit = FLAGS_limit,
      .m_class = FLAGS_class,
      .m_id = FLAGS_id,
      .m_key = FLAGS_key,
      .m_size = {.m_cpu_millis = FLAGS_cpu_millis, .m_accelerators = FLAGS_accelerators},
      .m_non_idempotent = FLAGS_non_idempotent};
  const auto entry =
      FLAGS_entry.empty() ? Environment("EBONYPIN_ENTRY", kDefaultEntry) : FLAGS_entry;
  BOOST_LEAF_ASSIGN(options.m_entries, ParseEntries(entry));
  BOOST_LEAF_AUTO(timeout, DurationFlag("timeout", FLAGS_timeout));
  if (timeout) options.m_timeout = *timeout;
  BOOST_LEAF_ASSIGN(options.m_deadline, DurationFlag("deadline", FLAGS_deadline));
  BOOST_LEAF_ASSIGN(options.m_run, DurationFlag("run", FLAGS_run));
  BOOST_LEAF_ASSIGN(options.m_payload, ReadPayload(FLAGS_payload));
  if (FLAGS_base_revision >= 0)
    options.m_base_revision = static_cast<std::uint64_t>(FLAGS_base_revision);
  if (!FLAGS_memory.empty()) {
    const auto memory = config::ParseMemory(FLAGS_memory);
    if (!memory) return core::Fail(BadFlag("memory", FLAGS_memory, config::kMemoryFormat));
    options.m_size.m_memory_mb = *memory;
  }
  if (FLAGS_cpu_millis < 0)
    return core::Fail(BadFlag("cpu_millis", std::to_string(FLAGS_cpu_millis), "0 or more"));
  if (FLAGS_accelerators < 0)
    return core::Fail(BadFlag("accelerators", std::to_string(FLAGS_accelerators), "0 or more"));
  return options;
}

std::vector<std::string> SetFlags() {
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  std::vector<std::string> names;
  for (const auto& flag : flags) {
    if (flag.filename == __FILE__ && !flag.is_default) names.push_back(flag.name);
  }
  return names;
}

std::string FlagHelp(const std::string& name) {
  gflags::CommandLineFlagInfo info;
  return gflags::GetCommandLineFlagInfo(name.c_str(), &info) ? info.description : "";
}

}  // namespace ebonypin::ctl
