/// Judges a demo run and prints its table.
#pragma once

#include <string>
#include <vector>

#include "demo_record.h"

namespace ebonypin::bench::demo {

struct ClassFigures {
  std::string m_class;
  std::uint64_t m_sent = 0;
  std::uint64_t m_done = 0;
  std::uint64_t m_not_run = 0;
  std::uint64_t m_unknown = 0;
  double m_p50_ms = 0.0;  ///< Over the items that are done.
  double m_p99_ms = 0.0;
};

struct Result {
  std::vector<ClassFigures> m_classes;
  std::vector<std::string> m_lost;         ///< Accepted, but never ended or received.
  std::vector<std::string> m_doubled;      ///< Ran or was received more than once.
  std::vector<std::string> m_ran_anyway;   ///< Told "not run", but it ran.
  std::vector<std::string> m_wrong;        ///< Got the result of other work.
  std::vector<std::string> m_without_end;  ///< Classes of which nothing was done.

  [[nodiscard]] bool PromisesHeld() const noexcept;
};

/// Judges `items` by the merged history of all workers.
[[nodiscard]] Result Judge(const std::vector<Flow>& flows, const std::vector<Item>& items,
                           std::vector<WorkerEvent> history);

/// Returns the table and one line for each promise, with the first ids that broke it.
[[nodiscard]] std::string FormatResult(const Result& result);

}  // namespace ebonypin::bench::demo
