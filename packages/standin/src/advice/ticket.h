/// Tickets that the advice stand-in issues and the worker stand-in checks.
#pragma once

#include <chrono>
#include <string>

namespace ebonypin::standin {

using TicketTime = std::chrono::steady_clock::time_point;

/// Returns a ticket for starts of the step on the worker before `until`.
[[nodiscard]] std::string MakeTicket(const std::string& step, const std::string& worker,
                                     TicketTime until);

/// Returns whether the ticket is for the step of `task` on the worker and is valid at `now`.
[[nodiscard]] bool IsTicketValid(const std::string& ticket, const std::string& task,
                                 const std::string& worker, TicketTime now);

}  // namespace ebonypin::standin
