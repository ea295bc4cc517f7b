/// Functions that other threads run on the event loop thread.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <functional>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

namespace ebonypin::wire {

/// Queue of functions that other threads post to the event loop thread, which a pipe wakes up.
class TaskQueue {
 public:
  TaskQueue() {
    if (pipe2(m_fds, O_CLOEXEC | O_NONBLOCK) != 0)
      throw std::runtime_error("cannot create a pipe; raise the file limit");
  }
  ~TaskQueue() {
    close(m_fds[0]);
    close(m_fds[1]);
  }
  TaskQueue(const TaskQueue&) = delete;
  TaskQueue& operator=(const TaskQueue&) = delete;

  void Post(std::function<void()> task) {
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > 1) return;  // The event loop was woken up by an earlier post.
    const char byte = 0;
    [[maybe_unused]] const auto written = write(m_fds[1], &byte, 1);
  }

  [[nodiscard]] std::vector<std::function<void()>> TakeAll() {
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_tasks, {});
  }

  [[nodiscard]] int ReadFd() const noexcept { return m_fds[0]; }

 private:
  int m_fds[2] = {-1, -1};
  std::mutex m_mutex;
  std::vector<std::function<void()>> m_tasks;
};

}  // namespace ebonypin::wire
