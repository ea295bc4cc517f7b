/// List of the machines of the users' platform.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "ebonypin/core/error.h"
#include "ebonypin/core/fleet/job.h"

namespace ebonypin::platform {

/// One page of the list.
struct MachinePage {
  std::vector<core::fleet::WorkerId> m_workers;  ///< On machines that are up.
  std::string m_next;                            ///< Token of the next page; empty: the last one.
  std::size_t m_unreadable = 0;                  ///< Entries left out because they cannot be read.
};

class MachineList {
 public:
  MachineList() = default;
  virtual ~MachineList() = default;
  MachineList(const MachineList&) = delete;
  MachineList& operator=(const MachineList&) = delete;

  /// Reads the page with this token; an empty one names the first page. `done` is called once, on a
  /// thread of the HTTP library.
  virtual void Read(const std::string& page,
                    std::function<void(core::Captured<MachinePage>)> done) = 0;
};

}  // namespace ebonypin::platform
