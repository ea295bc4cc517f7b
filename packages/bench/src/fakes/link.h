/// Delay of a message between two failure domains, with loss.
#pragma once

#include <random>

#include "event_loop.h"

namespace ebonypin::bench {

struct LinkOptions {
  Duration m_local = std::chrono::microseconds{200};
  Duration m_remote = std::chrono::milliseconds{5};  ///< One way between failure domains.
  double m_jitter = 0.1;                             ///< Mean of the exponential extra delay.
  double m_loss = 0.002;
  /// A lost message arrives after the transport has sent it again.
  Duration m_resend = std::chrono::milliseconds{200};
};

/// Returns the delay of one message.
[[nodiscard]] inline Duration LinkDelay(const LinkOptions& options, const bool remote,
                                        std::mt19937_64& random) {
  if (!remote) return options.m_local;
  const double base = static_cast<double>(options.m_remote.count());
  const double extra = std::exponential_distribution<double>{1.0 / options.m_jitter}(random);
  Duration delay{static_cast<std::int64_t>(base * (1.0 + extra))};
  if (std::uniform_real_distribution<double>{0.0, 1.0}(random) < options.m_loss) {
    delay += options.m_resend;
  }
  return delay;
}

}  // namespace ebonypin::bench
