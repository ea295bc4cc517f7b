#include "ebonypin/core/connection_table.h"

namespace ebonypin::core {
namespace {

using Key = ConnectionOrder::value_type;

Key KeyOf(const ConnectionId id, const ConnectionRecord& record) {
  return {record.m_phase, record.m_since, id};
}

void Index(ConnectionTable& table, const ConnectionId id, const ConnectionRecord& record) {
  table.m_bytes += record.m_bytes;
  if (record.m_phase == ConnectionPhase::kHandled) {
    table.m_handled_bytes += record.m_bytes;
    return;
  }
  table.m_closable.insert(KeyOf(id, record));
  if (record.m_bytes > 0) table.m_closable_memory.insert(KeyOf(id, record));
}

void Unindex(ConnectionTable& table, const ConnectionId id, const ConnectionRecord& record) {
  table.m_bytes -= record.m_bytes;
  if (record.m_phase == ConnectionPhase::kHandled) {
    table.m_handled_bytes -= record.m_bytes;
    return;
  }
  table.m_closable.erase(KeyOf(id, record));
  if (record.m_bytes > 0) table.m_closable_memory.erase(KeyOf(id, record));
}

/// Returns the connection of `order`, which is not empty, that is closed first.
ConnectionId FirstToClose(const ConnectionOrder& order, const Time now) {
  const auto writing = order.lower_bound({ConnectionPhase::kWriting, Time::min(), 0});
  const bool is_late = writing != order.end() && now - std::get<Time>(*writing) >= kPromptWrite;
  return std::get<ConnectionId>(is_late ? *writing : *order.begin());
}

}  // namespace

ConnectionVerdict AddConnection(ConnectionTable& table, const ConnectionId id, const Time now) {
  ConnectionVerdict verdict;
  while (table.m_records.size() >= table.m_limits.m_max_connections) {
    const auto closed = TakeConnectionToClose(table, now);
    if (!closed) {
      verdict.m_admitted = false;
      return verdict;
    }
    verdict.m_close.push_back(*closed);
  }
  const ConnectionRecord record{.m_since = now};
  table.m_records.emplace(id, record);
  Index(table, id, record);
  return verdict;
}

ConnectionVerdict MoveConnection(ConnectionTable& table, const ConnectionId id,
                                 const ConnectionPhase phase, const std::size_t bytes,
                                 const Time now) {
  ConnectionVerdict verdict;
  const auto found = table.m_records.find(id);
  if (found == table.m_records.end()) {
    verdict.m_admitted = false;
    return verdict;
  }
  ConnectionRecord& record = found->second;
  Unindex(table, id, record);
  const std::size_t limit = table.m_limits.m_max_bytes;
  const bool is_response =
      record.m_phase == ConnectionPhase::kHandled && phase >= ConnectionPhase::kWriting;
  const bool checked = !is_response && bytes > record.m_bytes;
  // Closing others would be of no use when the bytes do not fit even then.
  if (checked && (bytes > limit || table.m_handled_bytes > limit - bytes)) {
    table.m_records.erase(found);
    verdict.m_admitted = false;
    return verdict;
  }
  while (checked && table.m_bytes > limit - bytes) {
    // Idle connections without a buffer stay open: closing them would free no memory.
    const auto closed = FirstToClose(table.m_closable_memory, now);
    RemoveConnection(table, closed);
    verdict.m_close.push_back(closed);
  }
  if (record.m_phase != phase) record.m_since = now;
  record.m_phase = phase;
  record.m_bytes = bytes;
  Index(table, id, record);
  return verdict;
}

std::optional<ConnectionId> TakeConnectionToClose(ConnectionTable& table, const Time now) {
  if (table.m_closable.empty()) return std::nullopt;
  const auto id = FirstToClose(table.m_closable, now);
  RemoveConnection(table, id);
  return id;
}

void RemoveConnection(ConnectionTable& table, const ConnectionId id) {
  const auto found = table.m_records.find(id);
  if (found == table.m_records.end()) return;
  Unindex(table, id, found->second);
  table.m_records.erase(found);
}

}  // namespace ebonypin::core
