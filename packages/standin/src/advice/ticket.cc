#include "ticket.h"

#include <cstdint>

namespace ebonypin::standin {
namespace {

std::int64_t Micros(const TicketTime time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

std::string Scope(const std::string& step, const std::string& worker) {
  return step + "/" + worker + "/";
}

}  // namespace

std::string MakeTicket(const std::string& step, const std::string& worker, const TicketTime until) {
  return Scope(step, worker) + std::to_string(Micros(until));
}

bool IsTicketValid(const std::string& ticket, const std::string& task, const std::string& worker,
                   const TicketTime now) {
  const auto scope = Scope(task.substr(0, task.rfind('.')), worker);
  return ticket.starts_with(scope) && std::stoll(ticket.substr(scope.size())) > Micros(now);
}

}  // namespace ebonypin::standin
