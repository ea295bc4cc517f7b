/// Implementation of Capture; see error.h.
#pragma once

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <type_traits>
#include <utility>

namespace ebonypin::core {

/// Value or error of a captured operation: exactly one is set.
template <typename T>
struct Captured {
  std::optional<T> m_value;
  std::optional<Error> m_error;

  [[nodiscard]] bool Ok() const noexcept { return m_value.has_value(); }
};

/// Value type of a result.
template <typename R>
struct ResultValue;
template <typename T>
struct ResultValue<leaf::result<T>> {
  using Type = T;
};

/// Value type of an operation that returns Result<void>.
struct Unit {};

template <typename F>
auto Capture(F&& function) {
  using V = typename ResultValue<std::invoke_result_t<F>>::Type;
  using T = std::conditional_t<std::is_void_v<V>, Unit, V>;
  return leaf::try_handle_all(
      [&]() -> Result<Captured<T>> {
        if constexpr (std::is_void_v<V>) {
          BOOST_LEAF_CHECK(std::forward<F>(function)());
          return Captured<T>{.m_value = Unit{}, .m_error = std::nullopt};
        } else {
          BOOST_LEAF_AUTO(value, std::forward<F>(function)());
          return Captured<T>{.m_value = std::move(value), .m_error = std::nullopt};
        }
      },
      [](const Error& error) { return Captured<T>{.m_value = std::nullopt, .m_error = error}; },
      [] {
        return Captured<T>{
            .m_value = std::nullopt,
            .m_error = Error{.m_kind = ErrorKind::kInternal,
                             .m_message = "internal error without details; report it as a defect"}};
      });
}

}  // namespace ebonypin::core
