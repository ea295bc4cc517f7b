#include "ebonypin/core/fleet/messages.h"

namespace ebonypin::core::fleet {

std::size_t TextBytes(const Order& order) noexcept {
  const auto& start = order.m_start;
  return start.m_task.m_job.m_value.size() + start.m_payload.size() + start.m_checkpoint.size() +
         start.m_ticket.size() + start.m_image.m_value.size();
}

}  // namespace ebonypin::core::fleet
