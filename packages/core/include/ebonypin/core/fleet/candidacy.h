/// Candidates for the leadership: which entries may become the coordinator.
///
/// The entries of one site have from a tenth to half of a processor, and the coordinator's work
/// grows with the number of workers. An entry that is too small loses its membership during the
/// takeover, and so does the next one. Therefore only the entries with the most processor time
/// stand, and the others stand aside while one of these is a member of the group.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ebonypin::core::fleet {

/// Entry as encoded in the name of a member of the store's group: "ID@ADDRESS#PROCESSORS".
struct Candidate {
  std::string m_entry;
  std::string m_rpc_address;
  std::uint32_t m_cpu_millis = 0;  ///< Thousandths of a processor; zero: not stated.

  friend bool operator==(const Candidate&, const Candidate&) = default;
};

[[nodiscard]] std::string MemberName(const Candidate& candidate);

/// Returns nothing when `member` is not a name in this format.
[[nodiscard]] std::optional<Candidate> ParseMember(const std::string& member);

enum class CandidacyStep : std::uint8_t { kStand, kStandAside };

/// Decides whether the entry `own` stands, from the names of the members that hold partitions.
/// Entries with equal processors all stand.
[[nodiscard]] CandidacyStep DecideCandidacy(const Candidate& own,
                                            const std::vector<std::string>& members);

}  // namespace ebonypin::core::fleet
