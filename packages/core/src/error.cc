#include "ebonypin/core/error.h"

#include <algorithm>
#include <array>

namespace ebonypin::core {
namespace {

struct KindName {
  ErrorKind m_kind;
  std::string_view m_name;
};

constexpr std::array kKindNames = {
    KindName{ErrorKind::kInvalidRequest, "invalid_request"},
    KindName{ErrorKind::kUnknownClass, "unknown_class"},
    KindName{ErrorKind::kNotFound, "not_found"},
    KindName{ErrorKind::kNeverFits, "never_fits"},
    KindName{ErrorKind::kOverloaded, "overloaded"},
    KindName{ErrorKind::kQuotaExceeded, "quota_exceeded"},
    KindName{ErrorKind::kDeadlineTooShort, "deadline_too_short"},
    KindName{ErrorKind::kNoCapacity, "no_capacity"},
    KindName{ErrorKind::kDraining, "draining"},
    KindName{ErrorKind::kLogUnavailable, "log_unavailable"},
    KindName{ErrorKind::kStaleEpoch, "stale_epoch"},
    KindName{ErrorKind::kStaleIncarnation, "stale_incarnation"},
    KindName{ErrorKind::kStaleAttempt, "stale_attempt"},
    KindName{ErrorKind::kReservationGone, "reservation_gone"},
    KindName{ErrorKind::kRevisionConflict, "revision_conflict"},
    KindName{ErrorKind::kCancelled, "cancelled"},
    KindName{ErrorKind::kTimeout, "timeout"},
    KindName{ErrorKind::kDisconnected, "disconnected"},
    KindName{ErrorKind::kTooLarge, "too_large"},
    KindName{ErrorKind::kBadMessage, "bad_message"},
    KindName{ErrorKind::kBadSetting, "bad_setting"},
    KindName{ErrorKind::kTaskFailed, "task_failed"},
    KindName{ErrorKind::kInternal, "internal"},
};

}  // namespace

std::string_view ErrorKindName(const ErrorKind kind) noexcept {
  const auto* const found =
      std::find_if(kKindNames.begin(), kKindNames.end(),
                   [kind](const KindName& entry) { return entry.m_kind == kind; });
  return found == kKindNames.end() ? "internal" : found->m_name;
}

std::optional<ErrorKind> ParseErrorKind(const std::string_view name) noexcept {
  const auto* const found =
      std::find_if(kKindNames.begin(), kKindNames.end(),
                   [name](const KindName& entry) { return entry.m_name == name; });
  if (found == kKindNames.end()) return std::nullopt;
  return found->m_kind;
}

}  // namespace ebonypin::core
