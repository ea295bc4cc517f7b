/// One message and one record of every type, with every field set to a value that differs from its
/// default.
#pragma once

#include <vector>

#include "ebonypin/core/fleet/records.h"
#include "ebonypin/core/messages.h"

namespace ebonypin::wire {

[[nodiscard]] std::vector<core::Message> SampleMessages();
[[nodiscard]] std::vector<core::LogRecord> SampleRecords();

/// Stored records of jobs of steps, with every field set.
[[nodiscard]] core::fleet::JobSpec SampleStepJob();
[[nodiscard]] core::fleet::JobProgress SampleProgress();

}  // namespace ebonypin::wire
