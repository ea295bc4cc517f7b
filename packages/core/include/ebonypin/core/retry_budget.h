/// Limits retries to a share of the first tries, so that retries cannot amplify an overload.
#pragma once

#include <algorithm>
#include <random>

#include "ebonypin/core/time.h"

namespace ebonypin::core {

struct RetryBudgetOptions {
  double m_ratio = 0.1;      ///< Extra tries allowed per first try.
  double m_capacity = 10.0;  ///< Largest number of unused extra tries; also the initial number.
};

/// Extra tries of one class.
struct RetryBudget {
  double m_spent = 0.0;  ///< Extra tries used, from 0 up to the capacity.
};

/// Counts a first try, which adds `m_ratio` extra tries to the budget.
constexpr void CreditTry(RetryBudget& budget, const RetryBudgetOptions& options) noexcept {
  budget.m_spent = std::max(0.0, budget.m_spent - options.m_ratio);
}

/// Takes one extra try; returns false when the budget is used up.
[[nodiscard]] constexpr bool TakeTry(RetryBudget& budget,
                                     const RetryBudgetOptions& options) noexcept {
  if (budget.m_spent + 1.0 > options.m_capacity) return false;
  budget.m_spent += 1.0;
  return true;
}

struct BackoffOptions {
  Duration m_first = std::chrono::milliseconds{2};
  Duration m_largest = std::chrono::milliseconds{200};
};

/// Returns the wait before retry number `retry` (from 1): uniform between half and all of an
/// exponentially growing bound, so that callers that failed together do not retry together.
[[nodiscard]] Duration BackoffBefore(std::uint32_t retry, const BackoffOptions& options,
                                     std::mt19937_64& random);

}  // namespace ebonypin::core
