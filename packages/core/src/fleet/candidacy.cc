#include "ebonypin/core/fleet/candidacy.h"

#include <algorithm>
#include <charconv>

namespace ebonypin::core::fleet {

std::string MemberName(const Candidate& candidate) {
  return candidate.m_entry + "@" + candidate.m_rpc_address + "#" +
         std::to_string(candidate.m_cpu_millis);
}

std::optional<Candidate> ParseMember(const std::string& member) {
  const auto at = member.find('@');
  if (at == std::string::npos) return std::nullopt;
  const auto hash = std::min(member.find('#', at), member.size());
  Candidate candidate{.m_entry = member.substr(0, at),
                      .m_rpc_address = member.substr(at + 1, hash - at - 1)};
  if (hash < member.size()) {
    const char* const end = member.data() + member.size();
    const auto parsed = std::from_chars(member.data() + hash + 1, end, candidate.m_cpu_millis);
    if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  }
  return candidate;
}

CandidacyStep DecideCandidacy(const Candidate& own, const std::vector<std::string>& members) {
  const bool fitter_stands = std::any_of(members.begin(), members.end(), [&](const auto& member) {
    const auto other = ParseMember(member);
    return other && other->m_cpu_millis > own.m_cpu_millis;
  });
  return fitter_stands ? CandidacyStep::kStandAside : CandidacyStep::kStand;
}

}  // namespace ebonypin::core::fleet
