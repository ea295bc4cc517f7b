/// Callers of both deployments that record what they asked and were told.
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
  std::uint32_t m_request_threads =
      4;                            ///< Previews and lookups, one after the other in each thread.
  std::uint32_t m_job_threads = 3;  ///< Renders, certificates and syncs.
  std::uint32_t m_watchers = 2;
};

struct ClassCase;

/// Creates the classes. Returns false when that fails within 20 s.
[[nodiscard]] bool CreateClasses(const TrafficOptions& options);

/// Threads that ask for work until Stop.
class Traffic {
 public:
  Traffic(TrafficOptions options, Recorder& recorder);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  /// Ends requests and jobs; watchers go on until they have every posted update or 20 s have
  /// passed.
  void Stop();

 private:
  /// Sends one call for work to an entry, or to the next when no connection can be made, as a load
  /// balancer does.
  [[nodiscard]] Call Ask(std::size_t entry, const std::string& path, const ClassCase& of_class,
                         const std::string& id, const std::string& key) const;
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
