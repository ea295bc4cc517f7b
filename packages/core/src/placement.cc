#include "ebonypin/core/placement.h"

#include <algorithm>
#include <limits>

namespace ebonypin::core {
namespace {

/// Assumed service latency of an agent that has not reported its latency.
constexpr double kDefaultLatencyUs = 20'000.0;

struct Candidate {
  AgentIndex m_index = 0;
  double m_cost = std::numeric_limits<double>::infinity();
};

/// Pools whose capacity fits the work, grouped by failure domain and by whether placing it there
/// would use up scarce resources that it does not need.
struct Groups {
  std::vector<const AgentPool*> m_plain_own;
  std::vector<const AgentPool*> m_plain_other;
  std::vector<const AgentPool*> m_scarce;
};

Groups GroupPools(const FleetView& fleet, const PlacementOptions& options, const Resources& size) {
  std::int64_t smallest_memory = std::numeric_limits<std::int64_t>::max();
  for (const AgentPool& pool : fleet.m_pools) {
    if (pool.m_agent_count > 0 && Fits(size, pool.m_capacity)) {
      smallest_memory = std::min(smallest_memory, pool.m_capacity.m_memory_mb);
    }
  }
  Groups groups;
  for (const AgentPool& pool : fleet.m_pools) {
    if (pool.m_members.empty() || !Fits(size, pool.m_capacity)) continue;
    const bool scarce = (size.m_accelerators == 0 && pool.m_capacity.m_accelerators > 0) ||
                        pool.m_capacity.m_memory_mb / 2 >= smallest_memory + 1;
    if (scarce) {
      groups.m_scarce.push_back(&pool);
    } else if (pool.m_domain == options.m_own_domain) {
      groups.m_plain_own.push_back(&pool);
    } else {
      groups.m_plain_other.push_back(&pool);
    }
  }
  return groups;
}

std::size_t CountMembers(const std::vector<const AgentPool*>& pools) {
  std::size_t total = 0;
  for (const AgentPool* const pool : pools) total += pool->m_members.size();
  return total;
}

/// Returns the cost of adding the work to the agent, in microseconds: the requests in flight
/// weighted with the agent's latency, plus the penalties for distance and scarce resources.
double CostOf(const AgentView& agent, const PlacementOptions& options, const bool job,
              const bool scarce) {
  const double slots = std::max<double>(1.0, agent.m_slots);
  const double latency =
      agent.m_load.m_latency_us > 0 ? agent.m_load.m_latency_us : kDefaultLatencyUs;
  const double ahead = Outstanding(agent);
  double cost = latency * ahead / slots;
  if (ahead >= slots) cost += latency * (ahead - slots + 1.0) / slots;
  // Jobs get no domain penalty, because they run for much longer than their transfer takes and
  // should spread over the failure domains.
  if (!job && agent.m_domain != options.m_own_domain) {
    cost += static_cast<double>(options.m_domain_penalty.count());
  }
  if (scarce) cost += static_cast<double>(options.m_scarce_penalty.count());
  return cost;
}

struct Search {
  const FleetView& m_fleet;
  const PlacementOptions& m_options;
  const PlacementNeed& m_need;
  std::mt19937_64& m_random;
  Candidate m_best;
};

void Consider(Search& search, const AgentIndex index, const bool scarce) {
  const AgentView& agent = search.m_fleet.m_agents[index];
  const auto& avoid = search.m_need.m_avoid;
  if (std::find(avoid.begin(), avoid.end(), agent.m_agent) != avoid.end()) return;
  const bool has_room = Fits(search.m_need.m_size, FreeCapacity(agent)) &&
                        Outstanding(agent) + search.m_options.m_reserved_slots < agent.m_slots;
  if (search.m_need.m_job && !has_room) return;
  const double cost = CostOf(agent, search.m_options, search.m_need.m_job, scarce);
  if (cost < search.m_best.m_cost) search.m_best = {.m_index = index, .m_cost = cost};
}

/// Compares `probes` randomly sampled agents of `pools`, or all agents when there are at most
/// `probes`.
void Probe(Search& search, const std::vector<const AgentPool*>& pools, const std::size_t probes,
           const bool scarce) {
  const std::size_t total = CountMembers(pools);
  if (total == 0) return;
  if (total <= probes) {
    // A random start makes agents of equal cost equally likely to be chosen.
    const std::size_t shift =
        std::uniform_int_distribution<std::size_t>{0, total - 1}(search.m_random);
    std::vector<AgentIndex> members;
    for (const AgentPool* const pool : pools) {
      members.insert(members.end(), pool->m_members.begin(), pool->m_members.end());
    }
    for (std::size_t i = 0; i < total; ++i) {
      Consider(search, members[(i + shift) % total], scarce);
    }
    return;
  }
  std::uniform_int_distribution<std::size_t> any{0, total - 1};
  for (std::size_t probe = 0; probe < probes; ++probe) {
    std::size_t position = any(search.m_random);
    for (const AgentPool* const pool : pools) {
      if (position < pool->m_members.size()) {
        Consider(search, pool->m_members[position], scarce);
        break;
      }
      position -= pool->m_members.size();
    }
  }
}

std::string Describe(const Resources& size) {
  return std::to_string(size.m_cpu_millis) + " cpu_millis, " + std::to_string(size.m_memory_mb) +
         " memory_mb, " + std::to_string(size.m_accelerators) + " accelerators";
}

}  // namespace

std::optional<Error> CheckNeverFits(const FleetView& fleet, const Resources& size) {
  Resources largest;
  bool known = false;
  bool fits = false;
  const auto visit = [&](const Resources& capacity) {
    known = true;
    fits = fits || Fits(size, capacity);
    largest = {.m_cpu_millis = std::max(largest.m_cpu_millis, capacity.m_cpu_millis),
               .m_memory_mb = std::max(largest.m_memory_mb, capacity.m_memory_mb),
               .m_accelerators = std::max(largest.m_accelerators, capacity.m_accelerators)};
  };
  for (const AgentPool& pool : fleet.m_pools) {
    if (pool.m_agent_count > 0) visit(pool.m_capacity);
  }
  for (const auto& [peer, sizes] : fleet.m_peer_sizes) {
    for (const Resources& capacity : sizes) visit(capacity);
  }
  if (!known || fits) return std::nullopt;
  std::string missing;
  if (size.m_cpu_millis > largest.m_cpu_millis) {
    missing = "cpu_millis: needs " + std::to_string(size.m_cpu_millis) +
              ", the largest worker has " + std::to_string(largest.m_cpu_millis);
  } else if (size.m_memory_mb > largest.m_memory_mb) {
    missing = "memory_mb: needs " + std::to_string(size.m_memory_mb) + ", the largest worker has " +
              std::to_string(largest.m_memory_mb);
  } else if (size.m_accelerators > largest.m_accelerators) {
    missing = "accelerators: needs " + std::to_string(size.m_accelerators) +
              ", the largest worker has " + std::to_string(largest.m_accelerators);
  } else {
    missing = "the combination: needs " + Describe(size) + " on one worker";
  }
  return Error{.m_kind = ErrorKind::kNeverFits,
               .m_message = "no known worker has enough " + missing +
                            "; declare a smaller size or add a larger worker"};
}

Placement PlaceWork(const FleetView& fleet, const PlacementOptions& options,
                    const PlacementNeed& need, std::mt19937_64& random) {
  const Groups groups = GroupPools(fleet, options, need.m_size);
  Search search{.m_fleet = fleet, .m_options = options, .m_need = need, .m_random = random};
  // Half of the probes go to the entry's own domain, whose agents are cheaper to reach. The other
  // half compares them with agents of other domains, which spreads the load when they are busy.
  const std::size_t half = (options.m_probes + 1) / 2;
  const std::uint32_t rounds = need.m_job ? options.m_rounds : 2;
  for (std::uint32_t round = 0; round < rounds; ++round) {
    Probe(search, groups.m_plain_own, half, false);
    Probe(search, groups.m_plain_other, options.m_probes - half + (round > 0 ? half : 0), false);
    // Workers with scarce resources are sampled only when the best plain worker has no free slot.
    const bool full = search.m_best.m_cost == std::numeric_limits<double>::infinity() ||
                      Outstanding(fleet.m_agents[search.m_best.m_index]) >=
                          fleet.m_agents[search.m_best.m_index].m_slots;
    if (full) Probe(search, groups.m_scarce, options.m_probes, true);
    if (search.m_best.m_cost < std::numeric_limits<double>::infinity()) {
      return {.m_agent = search.m_best.m_index};
    }
  }
  if (auto never = CheckNeverFits(fleet, need.m_size)) return {.m_error = std::move(*never)};
  return {.m_error = {.m_kind = ErrorKind::kNoCapacity,
                      .m_message = "no suitable worker has free capacity; retry in a second",
                      .m_retry_after = std::chrono::seconds{1}}};
}

}  // namespace ebonypin::core
