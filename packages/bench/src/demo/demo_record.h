/// What the demo's callers asked and were told, and what workers ran.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ebonypin::bench::demo {

/// How callers use a class, and how much of it the demo sends.
struct Flow {
  std::string m_class;
  enum class Kind : std::uint8_t { kRequest, kJob, kWatch } m_kind = Kind::kRequest;
  double m_per_second = 1.0;
  int m_min_run_ms = 0;
  int m_max_run_ms = 0;
  bool m_non_idempotent = false;
};

enum class Told : std::uint8_t {
  kNothing,   ///< Not answered yet.
  kDone,      ///< Result of a request, end of a job, or update received by the watcher.
  kAccepted,  ///< In the log; not ended yet.
  kNotRun,
  kUnknown,  ///< The entry said so, or the connection broke.
};

/// One request, job or watch update.
struct Item {
  std::size_t m_flow = 0;  ///< Index of its Flow.
  std::string m_id;        ///< Request id, idempotency key and update id.
  std::string m_expected;  ///< Result of its payload.
  Told m_told = Told::kNothing;
  std::string m_job;
  std::string m_problem;         ///< Error kind or outcome, when there is one.
  bool m_wrong_result = false;   ///< The result belongs to other work.
  std::uint32_t m_received = 0;  ///< Times that the watcher got the update.
  double m_millis = 0.0;         ///< From sending to the end.
};

/// Item of a worker's history.
struct WorkerEvent {
  std::int64_t m_at_us = 0;
  std::string m_what;  ///< "start", "end", "stop", "lost", "serve", "served" or "serve_failed".
  std::string m_id;    ///< Job, or request at the endpoint.
};

}  // namespace ebonypin::bench::demo
