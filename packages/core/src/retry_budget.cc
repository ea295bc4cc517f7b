#include "ebonypin/core/retry_budget.h"

namespace ebonypin::core {

Duration BackoffBefore(const std::uint32_t retry, const BackoffOptions& options,
                       std::mt19937_64& random) {
  const std::uint32_t doublings = std::min<std::uint32_t>(retry > 0 ? retry - 1 : 0, 20);
  const std::int64_t bound =
      std::min(options.m_largest.count(), options.m_first.count() << doublings);
  return Duration{std::uniform_int_distribution<std::int64_t>{bound / 2, bound}(random)};
}

}  // namespace ebonypin::core
