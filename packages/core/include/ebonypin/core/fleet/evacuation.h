/// Evacuation of failure domains at the request of operators.
///
/// While a failure domain is under evacuation, nothing is started on its workers. Runs that have
/// started there go on: a move costs a stop and a resume, and the operators did not ask for one.
///
/// Example:
///
///     Evacuations evacuations;
///     Apply(evacuations, "domain-a", true);   // a record of the domain was read
///     KeepOnly(evacuations, {"domain-a"});    // all records were read; only these exist
///     SetEvacuations(coordinator, evacuations.m_domains);
#pragma once

#include <set>
#include <string>
#include <vector>

#include "ebonypin/core/fleet/coordinator.h"

namespace ebonypin::core::fleet {

/// Evacuations that are in force according to the operators' records.
struct Evacuations {
  std::set<std::string> m_domains;
  /// All records have been read since the start of the process. Until then any domain may be under
  /// evacuation, so nothing is started.
  bool m_known = false;

  friend bool operator==(const Evacuations&, const Evacuations&) = default;
};

/// Applies the newest record of `domain`; `requested` is false when the record was removed. Returns
/// whether that changed anything. An empty name changes nothing.
bool Apply(Evacuations& evacuations, const std::string& domain, bool requested);

/// Ends the evacuation of the domains that have no record, after all records were read. Returns
/// them.
std::vector<std::string> KeepOnly(Evacuations& evacuations, const std::set<std::string>& domains);

}  // namespace ebonypin::core::fleet
