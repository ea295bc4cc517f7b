/// Advice service of the users' platform: which workers may run a step.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "ebonypin/core/error.h"
#include "ebonypin/core/fleet/advice_calls.h"

namespace ebonypin::platform {

struct Advice {
  std::map<core::fleet::WorkerId, std::string> m_tickets;  ///< One for each worker that may run it.
  core::Duration m_valid{};                                ///< For how long the advice holds.
};

class AdviceService {
 public:
  AdviceService() = default;
  virtual ~AdviceService() = default;
  AdviceService(const AdviceService&) = delete;
  AdviceService& operator=(const AdviceService&) = delete;

  /// Sends the request and calls `done` exactly once, after its deadline at the latest.
  virtual void Ask(const core::fleet::AdviceRequest& request,
                   std::function<void(core::Captured<Advice>)> done) = 0;
};

}  // namespace ebonypin::platform
