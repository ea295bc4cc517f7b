/// Calls of many callers at a time, on connections that stay open, and their answers.
#pragma once

#include <cpprest/http_client.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "cancel_checks.h"

namespace ebonypin::daemon {

/// Returns the time of the machine's steady clock in microseconds.
[[nodiscard]] std::int64_t SteadyMicroseconds() noexcept;

class RecordedCalls {
 public:
  /// Calls the entries that listen at `addresses`.
  explicit RecordedCalls(const std::vector<std::string>& addresses);
  /// Waits for the answers.
  ~RecordedCalls() { WaitForAnswers(); }
  RecordedCalls(const RecordedCalls&) = delete;
  RecordedCalls& operator=(const RecordedCalls&) = delete;

  /// Sends a call and returns at once. `body` is that of a submission. Connections stay open, and
  /// are used until their process is gone, unless `on_new_connection` is set.
  void Send(CallKind kind, std::size_t entry, const std::string& job, const std::string& body = {},
            bool on_new_connection = false);

  /// Waits until every call has been answered or given up.
  void WaitForAnswers();

  [[nodiscard]] std::vector<ObservedCall> Calls() const;

 private:
  void Finish(ObservedCall call);

  const std::vector<std::string> m_addresses;
  std::vector<web::http::client::http_client> m_clients;
  mutable std::mutex m_mutex;
  std::condition_variable m_answered;
  std::size_t m_open = 0;
  std::vector<ObservedCall> m_calls;
};

}  // namespace ebonypin::daemon
