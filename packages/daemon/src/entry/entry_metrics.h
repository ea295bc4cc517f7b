/// Metrics of an entry.
#pragma once

#include <vector>

#include "api_routes.h"
#include "ebonypin/daemon/metrics.h"
#include "owner_service.h"

namespace ebonypin::daemon {

/// Returns the current values.
[[nodiscard]] std::vector<Metric> ReadEntryMetrics(const EntryParts& parts,
                                                   const OwnerService& owner, const wire::Rpc& rpc);

}  // namespace ebonypin::daemon
