/// Which entries stand for the office of the coordinator.
///
/// Load pattern: entries of one site have from a tenth to a half of a processor, and the work of
/// the office grows with the workers. An entry that is too small for it loses its membership while
/// it takes the office over, and so does the next one. So the entries with the most processor
/// stand, and the others stand aside for as long as one of these is a member of the group.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ebonypin::core::fleet {

/// Entry as the members of the store's group are named: "ID@ADDRESS#PROCESSORS".
struct Candidate {
  std::string m_entry;
  std::string m_rpc_address;
  std::uint32_t m_cpu_millis = 0;  ///< Thousandths of a processor; zero: not stated.

  friend bool operator==(const Candidate&, const Candidate&) = default;
};

[[nodiscard]] std::string MemberName(const Candidate& candidate);

/// Returns nothing when `member` is not such a name.
[[nodiscard]] std::optional<Candidate> ParseMember(const std::string& member);

enum class CandidacyStep : std::uint8_t { kStand, kStandAside };

/// Decides whether `own` is a member of the group, from the names of the members that hold
/// partitions. Entries of equal processors all stand.
[[nodiscard]] CandidacyStep DecideCandidacy(const Candidate& own,
                                            const std::vector<std::string>& members);

}  // namespace ebonypin::core::fleet
