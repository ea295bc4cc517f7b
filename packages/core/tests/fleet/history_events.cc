#include "history_events.h"

#include <iostream>

namespace ebonypin::core::fleet {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(Event::kCount)> kNames{
    "takeover, planned",
    "takeover, coordinator killed",
    "takeover, coordinator frozen",
    "takeover, restarted at the same address",
    "takeover, coordinator cut off from the store",
    "claim that never became active",
    "partition returned to a former coordinator",
    "takeover within 5 s of another",
    "step-down answered",
    "wait shortened",
    "link cut one way",
    "link cut both ways",
    "agent cut off from the store",
    "agent restarted",
    "agent frozen",
    "agent's wall clock stepped",
    "first heartbeat of a former incarnation",
    "heartbeat delayed",
    "worker restarted under its id",
    "worker restarted under a new id",
    "born below that of the former incarnation",
    "worker list stale",
    "worker list short",
    "worker list with odd entries",
    "silent member not listed any more",
    "append delayed",
    "answer to an append lost",
    "append repeated",
    "appends overlap",
    "member record removed",
    "call to a worker carried out late",
    "hold call carried out late",
    "report delayed",
    "orders delayed",
    "gang member started",
    "serving task started",
    "serving task moved",
    "filling task started",
    "occurrence started",
    "evacuation",
    "more than 500 unacknowledged ends",
    "job cancelled soon after its submission",
    "start carried out and answered as not carried out",
};

}  // namespace

std::string_view EventName(const Event event) noexcept {
  return kNames.at(static_cast<std::size_t>(event));
}

void PrintEvents(const std::string_view property, const std::uint64_t histories,
                 const EventCounts& counts) {
  std::cout << "\nEvents drawn in " << histories << " histories, " << property << ":\n";
  for (std::size_t i = 0; i < counts.size(); ++i) {
    std::cout << "  " << EventName(static_cast<Event>(i)) << ": " << counts.at(i) << '\n';
  }
}

}  // namespace ebonypin::core::fleet
