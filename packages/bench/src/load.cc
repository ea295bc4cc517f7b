#include "load.h"

#include <cpprest/http_client.h>

#include <atomic>
#include <thread>
#include <vector>

namespace ebonypin::bench {
namespace {

using Clock = std::chrono::steady_clock;
using web::http::status_codes;

constexpr double kSmallestUs = 10.0;
constexpr double kLargestUs = 1e8;
constexpr unsigned kBins = 1620;  ///< Steps of 1 %.
constexpr std::chrono::seconds kCallTimeout{30};

void RunOne(const LoadTarget& target, const LoadBounds& bounds, const Clock::time_point end,
            std::atomic<std::uint64_t>& taken, const std::uint64_t first, LoadResult& result) {
  web::http::client::http_client_config config;
  config.set_timeout(kCallTimeout);
  web::http::client::http_client client("http://" + target.m_address, config);
  for (std::uint64_t n = taken++; n < bounds.m_count && Clock::now() < end; n = taken++) {
    web::http::http_request request(web::http::methods::POST);
    request.set_request_uri(target.m_path);
    request.set_body(target.m_body(first + n), target.m_content_type);
    request.headers().add("X-Request-Id", std::to_string(first + n));
    const auto began = Clock::now();
    int status = 0;
    try {
      const auto response = client.request(request).get();
      status = response.status_code();
      (void)response.extract_string(true).get();
    } catch (const std::exception&) {
      status = 0;  // Counted as a call without an answer.
    }
    ++result.m_statuses[status];
    if (status == status_codes::OK || status == status_codes::Accepted) {
      result.m_latency(std::chrono::duration<double, std::micro>(Clock::now() - began).count());
    }
  }
}

}  // namespace

LatencyHistogram MakeLatencyHistogram() {
  return boost::histogram::make_histogram_with(std::vector<std::uint64_t>{},
                                               LatencyAxis(kBins, kSmallestUs, kLargestUs));
}

double LatencyQuantile(const LatencyHistogram& histogram, const double share) {
  std::uint64_t total = 0;
  for (auto&& bin : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
    total += *bin;
  }
  if (total == 0) return 0.0;
  const double wanted = share * static_cast<double>(total);
  std::uint64_t seen = 0;
  for (auto&& bin : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
    seen += *bin;
    if (static_cast<double>(seen) >= wanted) return bin.bin().upper();
  }
  return kLargestUs;
}

std::uint64_t LoadResult::Good() const {
  std::uint64_t good = 0;
  for (const int status : {200, 202}) {
    const auto found = m_statuses.find(status);
    if (found != m_statuses.end()) good += found->second;
  }
  return good;
}

double LoadResult::Rate() const {
  return m_elapsed.count() > 0 ? static_cast<double>(Good()) / m_elapsed.count() : 0.0;
}

LoadResult RunLoad(const LoadTarget& target, const LoadBounds& bounds, const std::uint64_t first) {
  std::atomic<std::uint64_t> taken{0};
  std::vector<LoadResult> results(bounds.m_concurrency);
  std::vector<std::thread> threads;
  threads.reserve(results.size());
  const auto began = Clock::now();
  for (auto& result : results) {
    threads.emplace_back(
        [&] { RunOne(target, bounds, began + bounds.m_time, taken, first, result); });
  }
  for (auto& thread : threads) thread.join();
  LoadResult sum;
  for (const auto& result : results) AddTo(sum, result);
  sum.m_elapsed = Clock::now() - began;
  return sum;
}

void AddTo(LoadResult& sum, const LoadResult& other) {
  sum.m_latency += other.m_latency;
  for (const auto& [status, count] : other.m_statuses) sum.m_statuses[status] += count;
  sum.m_elapsed += other.m_elapsed;
}

}  // namespace ebonypin::bench
