/// Closed-loop HTTP load with latency percentiles.
#pragma once

#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace ebonypin::bench {

/// Latency in microseconds: logarithmic bins from 10 us to 100 s with steps of 1 %.
using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyHistogram =
    boost::histogram::histogram<std::tuple<LatencyAxis>,
                                boost::histogram::storage_adaptor<std::vector<std::uint64_t>>>;

[[nodiscard]] LatencyHistogram MakeLatencyHistogram();

/// Returns the latency that the given share of calls does not exceed, or 0 without calls.
[[nodiscard]] double LatencyQuantile(const LatencyHistogram& histogram, double share);

/// What is called.
struct LoadTarget {
  std::string m_address;  ///< "ip:port".
  std::string m_path;
  /// Returns the body of call number `n`.
  std::function<std::string(std::uint64_t n)> m_body;
  std::string m_content_type = "application/json";
};

/// Bounds of one run; it ends at the first that is reached.
struct LoadBounds {
  std::uint64_t m_count = 1000;
  std::chrono::milliseconds m_time{5000};
  std::uint32_t m_concurrency = 1;  ///< Each has its own connection and one call at a time.
};

struct LoadResult {
  LatencyHistogram m_latency = MakeLatencyHistogram();  ///< Of calls with status 200 or 202.
  std::map<int, std::uint64_t> m_statuses;              ///< 0: no answer.
  std::chrono::duration<double> m_elapsed{};

  /// Returns calls with status 200 or 202.
  [[nodiscard]] std::uint64_t Good() const;
  [[nodiscard]] double Rate() const;
};

/// Calls `target` until a bound is reached. Call numbers begin at `first`.
[[nodiscard]] LoadResult RunLoad(const LoadTarget& target, const LoadBounds& bounds,
                                 std::uint64_t first);

/// Adds `other` to `sum`.
void AddTo(LoadResult& sum, const LoadResult& other);

}  // namespace ebonypin::bench
