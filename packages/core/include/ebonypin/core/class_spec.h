/// Classes of work and their targets, as operators write them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "ebonypin/core/ids.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

/// How callers use a class.
enum class ClassKind : std::uint8_t {
  kRequest,  ///< Synchronous request with an immediate answer.
  kJob,      ///< Accepted into the log, answered later.
  kWatch,    ///< Subscription to the updates of a topic.
};

/// Target of a class. It is all that operators configure; an unset field imposes no requirement.
struct Target {
  std::optional<Duration> m_start_within;   ///< From arrival to the start of work.
  std::optional<Duration> m_finish_within;  ///< From arrival to the end of work.
  std::optional<Duration> m_latency;        ///< Latency at `m_percentile`.
  double m_percentile = 99.0;               ///< Percent, above 0 and below 100.
  std::optional<double> m_throughput;       ///< Completions per second to sustain.

  friend bool operator==(const Target&, const Target&) = default;
};

/// Class of work at one revision.
struct ClassSpec {
  ClassName m_name;
  TeamName m_team;
  ClassKind m_kind = ClassKind::kRequest;
  bool m_exclusive = false;       ///< At most one run at any time (renders, certificates).
  bool m_non_idempotent = false;  ///< Runs at most once; a request may also ask for this itself.
  Target m_target;
  std::uint64_t m_revision = 0;     ///< Starts at 1; 0 means not yet accepted.
  LogOffset m_accepted_offset = 0;  ///< Offset of the record that put this revision in force.

  friend bool operator==(const ClassSpec&, const ClassSpec&) = default;
};

}  // namespace ebonypin::core
