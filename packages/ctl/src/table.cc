#include "table.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>

namespace ebonypin::ctl {
namespace {

/// Returns the number of code points of UTF-8 `text`.
std::size_t CodePointCount(const std::string& text) {
  return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](const char c) {
    return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U;
  }));
}

std::string SanitizeCell(std::string text) {
  text = Printable(std::move(text));
  std::replace_if(
      text.begin(), text.end(), [](const char c) { return c == '\n' || c == '\t'; }, '?');
  return text;
}

}  // namespace

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], CodePointCount(SanitizeCell(row[i])));
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      const auto cell = SanitizeCell(row[i]);
      line += cell;
      if (i + 1 < row.size()) line.append(widths[i] - CodePointCount(cell) + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

std::string Printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](const unsigned char c) { return (c < ' ' && c != '\n' && c != '\t') || c == 0x7f; }, '?');
  return text;
}

std::string FormatWallTime(const std::int64_t wall_ms) {
  constexpr std::int64_t kMillisPerSecond = 1000;
  return fmt::format("{:%Y-%m-%d %H:%M:%S}Z",
                     fmt::gmtime(static_cast<std::time_t>(wall_ms / kMillisPerSecond)));
}

std::string Remedy(const core::ErrorKind kind) {
  using core::ErrorKind;
  switch (kind) {
    case ErrorKind::kInvalidRequest:
    case ErrorKind::kBadSetting:
      return "correct the named field and send it again";
    case ErrorKind::kUnknownClass:
      return "see 'ebonypinctl class list', or create the class with 'ebonypinctl class apply "
             "FILE'";
    case ErrorKind::kNotFound:
      return "check the name or id; closed jobs are kept for a limited time";
    case ErrorKind::kNeverFits:
      return "declare a smaller size, or add a worker that is large enough; see 'ebonypinctl "
             "instances'";
    case ErrorKind::kOverloaded:
    case ErrorKind::kNoCapacity:
      return "retry later; if it lasts, add workers or loosen the class's target";
    case ErrorKind::kQuotaExceeded:
      return "retry when other work of the team has ended";
    case ErrorKind::kDeadlineTooShort:
      return "give a longer --deadline";
    case ErrorKind::kDraining:
      return "ask another entry with --entry";
    case ErrorKind::kLogUnavailable:
      return "retry later; 'ebonypinctl status' shows the age of the log";
    case ErrorKind::kRevisionConflict:
      return "look at the current value and apply again";
    case ErrorKind::kCancelled:
      return "submit again if the work is still wanted";
    case ErrorKind::kTooLarge:
      return "send a payload below 512 KiB";
    case ErrorKind::kTaskFailed:
      return "the work itself failed; look at the result";
    case ErrorKind::kTimeout:
    case ErrorKind::kDisconnected:
      return "retry; check the network and 'ebonypinctl status' if it lasts";
    case ErrorKind::kBadMessage:
      return "check that all processes run the same version";
    case ErrorKind::kStaleEpoch:
    case ErrorKind::kStaleIncarnation:
    case ErrorKind::kStaleAttempt:
    case ErrorKind::kReservationGone:
      return "retry; the owner of the work has changed";
    case ErrorKind::kInternal:
      return "report a defect with the message and the log of the entry";
  }
  return "retry";
}

}  // namespace ebonypin::ctl
