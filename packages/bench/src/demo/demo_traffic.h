/// Callers of the demo: they send at fixed rates, whatever the answers are.
#pragma once

#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "demo_http.h"
#include "demo_record.h"

namespace ebonypin::bench::demo {

struct TrafficOptions {
  std::vector<std::string> m_entries;  ///< Base URLs.
  std::vector<Flow> m_flows;
  std::chrono::seconds m_length{10};
  std::chrono::seconds m_patience{45};  ///< Longest wait for ends after the last item was sent.
  std::uint64_t m_seed = 1;
  std::string m_topic = "brass";
};

struct Progress {
  std::uint64_t m_sent = 0;
  std::uint64_t m_ended = 0;
};

class Traffic {
 public:
  explicit Traffic(TrafficOptions options);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  /// Sends for the configured length, calls `show` each second, and waits until everything has
  /// ended or the patience is over.
  void Run(const std::function<void(const Progress&)>& show);

  /// Returns the items as they stand.
  [[nodiscard]] std::vector<Item> Items();

 private:
  using Clock = std::chrono::steady_clock;

  /// Item with its time of sending, guarded by m_mutex once calls run.
  struct Entry {
    Item m_item;
    Clock::time_point m_sent;
    bool m_may_have_run = false;  ///< An answer to it was lost.
  };

  void Send(std::size_t flow);
  void SendRequest(std::size_t index, std::size_t server, std::size_t refusals);
  void SubmitJob(std::size_t index, std::size_t server);
  void PollJob(std::size_t index, std::size_t server);
  void PostUpdate(std::size_t index, std::size_t server);
  void Watch();

  /// Sends a call and counts it until its outcome was handled.
  void Call(std::size_t server, const std::string& method, const std::string& path,
            const web::json::value& body, std::function<void(const HttpOutcome&)> done);
  /// Runs `action` from the thread of Run after a pause.
  void Later(std::function<void()> action);
  void RunDue(std::unique_lock<std::mutex>& lock);

  [[nodiscard]] web::json::value WorkBody(std::size_t index);
  [[nodiscard]] std::string IdOf(std::size_t index);
  [[nodiscard]] std::size_t Next(std::size_t server) const;
  /// Records the end of an item, the first one only.
  void End(std::size_t index, Told told, const std::string& problem = "");
  void EndWithResult(std::size_t index, const std::string& result);
  [[nodiscard]] Progress Count();

  const TrafficOptions m_options;
  HttpClients m_http;
  std::mt19937_64 m_random;
  std::mutex m_mutex;  ///< Guards the members below.
  std::deque<Entry> m_items;
  std::deque<std::pair<Clock::time_point, std::function<void()>>> m_later;
  std::atomic<std::uint64_t> m_calls{0};  ///< Calls without outcome.
  std::atomic<bool> m_stopping{false};
  std::thread m_watcher;
};

}  // namespace ebonypin::bench::demo
