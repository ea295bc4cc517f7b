/// Options of `ebonypinctl`, independent of how the command line is read.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ebonypin/core/error.h"
#include "ebonypin/core/resources.h"
#include "ebonypin/core/time.h"

namespace ebonypin::ctl {

/// Exit codes; docs/operators.md explains them.
enum ExitCode : int {
  kExitOk = 0,
  kExitUsage = 1,     ///< Unknown command or flag, missing argument; gflags uses it too.
  kExitBadInput = 2,  ///< A file or value was refused before anything was sent.
  kExitNotRun = 3,    ///< An entry refused; nothing was run or changed.
  kExitConflict = 4,  ///< Another change came first.
  kExitUnknown = 5,   ///< It may have run or taken effect.
  kExitNoEntry = 6,   ///< No entry could be reached; nothing was sent.
  kExitJobEnded = 7,  ///< The job ended otherwise than succeeded.
};

struct Options {
  std::vector<std::string> m_entries;  ///< Base URLs, tried in this order.
  bool m_json = false;
  core::Duration m_timeout = std::chrono::seconds{10};
  std::string m_operator;
  std::optional<std::uint64_t> m_base_revision;
  bool m_wait = false;
  bool m_follow = false;
  std::uint64_t m_cursor = 0;
  std::uint64_t m_count = 0;  ///< Updates or changes to print before ending; 0 has no end.
  std::uint64_t m_limit = 100;

  // Work of callers.
  std::string m_class;
  std::string m_id;
  std::string m_key;
  std::string m_payload;
  std::optional<core::Duration> m_deadline;
  std::optional<core::Duration> m_run;
  core::Resources m_size;
  bool m_non_idempotent = false;
};

/// Returns the base URLs in `text`, separated by commas. Fails with kBadSetting when one is not
/// http://ip:port.
[[nodiscard]] core::Result<std::vector<std::string>> ParseEntries(const std::string& text);

/// Returns the options that the command line sets. Fails with kBadSetting, naming the flag.
[[nodiscard]] core::Result<Options> OptionsFromFlags();

/// Returns the names of the flags that the command line sets, apart from gflags' own.
[[nodiscard]] std::vector<std::string> SetFlags();

/// Returns the explanation of flag `name`.
[[nodiscard]] std::string FlagHelp(const std::string& name);

}  // namespace ebonypin::ctl
