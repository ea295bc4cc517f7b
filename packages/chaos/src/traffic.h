/// Callers with the workloads of both deployments; they record each call and its answer.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "history.h"

namespace ebonypin::chaos {

struct TrafficOptions {
  std::vector<std::string> m_entries;  ///< Base URLs.
  std::uint64_t m_seed = 1;
  std::uint32_t m_request_threads = 4;  ///< Each thread sends previews and lookups one at a time.
  std::uint32_t m_job_threads = 3;      ///< Each thread submits renders, certificates and syncs.
  std::uint32_t m_watchers = 2;
};

struct TestClass;

/// Creates the classes that the traffic uses. Returns false when one of them cannot be created
/// within 20 s.
[[nodiscard]] bool CreateClasses(const TrafficOptions& options);

/// Threads that send work until Stop is called.
class Traffic {
 public:
  Traffic(TrafficOptions options, Recorder& recorder);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  /// Stops sending requests, jobs and updates. Watchers continue until they have received every
  /// posted update, for at most 20 s.
  void Stop();

 private:
  /// Sends one request or job to entry number `entry`, and fails over to the next entry when the
  /// connection cannot be established, as a load balancer does.
  [[nodiscard]] Call SendWork(std::size_t entry, const std::string& path,
                              const TestClass& test_class, const std::string& id,
                              const std::string& key) const;
  void RequestLoop(std::uint32_t thread);
  void JobLoop(std::uint32_t thread);
  void PostLoop();
  void WatchLoop(std::uint32_t watcher);
  void RevisionLoop();

  const TrafficOptions m_options;
  Recorder& m_recorder;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_posts_done{false};
  std::atomic<std::uint64_t> m_posted{0};
  std::vector<std::thread> m_callers;
  std::vector<std::thread> m_watchers;
};

}  // namespace ebonypin::chaos
