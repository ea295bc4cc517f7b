/// Sizes of records, and the limits of the store on them.
///
/// The store refuses a record or an append beyond its limits whenever it is sent, so what is
/// written has to be within them. Sizes are upper bounds for the encoding of packages/wire, which a
/// test there compares with real encodings.
#pragma once

#include <cstddef>
#include <functional>

#include "ebonypin/core/fleet/records.h"

namespace ebonypin::core::fleet {

/// Limits of the store, in bytes. The defaults are the usual ones of the users' platform.
struct RecordLimits {
  std::size_t m_record_bytes = 262'144;    ///< Largest record, with its key.
  std::size_t m_append_bytes = 2'097'152;  ///< Largest sum of the records of one append.

  friend bool operator==(const RecordLimits&, const RecordLimits&) = default;
};

/// Returns the largest size of the record, with its key, in bytes.
[[nodiscard]] std::size_t MaxRecordBytes(const RecordChange& change) noexcept;

/// Returns whether the record of the submission fits into `limits`. `encoded_bytes` returns the
/// exact size of its encoding; it is asked only when the upper bound does not fit.
[[nodiscard]] bool FitsRecord(const JobSpec& job, const RecordLimits& limits,
                              const std::function<std::size_t(const JobSpec&)>& encoded_bytes);

/// Leaves out saved states, the longest ones, until the record fits into `limits`. A task without
/// its state starts from the beginning under a later coordinator.
void FitStates(JobProgress& progress, const RecordLimits& limits);

/// Leaves out the pairs at the end until the record fits into `limits`.
void FitPairs(ImagePairsRecord& record, const RecordLimits& limits);

/// Returns the limits to use after the store has refused an append for good: half of these, down to
/// a size in which a record without saved states fits.
[[nodiscard]] RecordLimits LowerLimits(const RecordLimits& limits) noexcept;

}  // namespace ebonypin::core::fleet
