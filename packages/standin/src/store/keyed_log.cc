#include "keyed_log.h"

#include <algorithm>

namespace ebonypin::standin {
namespace {

constexpr std::size_t kRememberedAnswers = 5;

}  // namespace

std::string CheckSizes(const std::vector<StoreRecord>& records, const StoreLimits& limits) {
  std::size_t sum = 0;
  for (const auto& record : records) {
    sum += record.m_bytes.size();
    if (record.m_bytes.size() > limits.m_record) {
      return "a record of " + std::to_string(record.m_bytes.size()) + " bytes";
    }
  }
  return sum > limits.m_append ? "records of " + std::to_string(sum) + " bytes" : std::string{};
}

AppendResult KeyedLog::Append(const AppendCall& call) {
  AppendResult result{.m_offset = End(), .m_end = End()};
  if (!call.m_producer.empty()) {
    auto& producer = m_producers[call.m_producer];
    if (call.m_epoch < producer.m_epoch) return {.m_status = 409, .m_reason = "fenced"};
    if (call.m_epoch > producer.m_epoch) producer = {.m_epoch = call.m_epoch};
    if (call.m_records.empty()) return result;
    const auto repeated = producer.m_answers.find(call.m_sequence);
    if (repeated != producer.m_answers.end()) return repeated->second;
    if (producer.m_last && call.m_sequence != *producer.m_last + 1) {
      return {.m_status = 409, .m_reason = "seq"};
    }
  }
  if (call.m_at && *call.m_at != End()) return {.m_status = 412, .m_end = End()};
  for (const auto& record : call.m_records) Put(record);
  result.m_end = End();
  if (!call.m_producer.empty()) {
    auto& producer = m_producers[call.m_producer];
    producer.m_last = call.m_sequence;
    producer.m_answers[call.m_sequence] = result;
    if (producer.m_answers.size() > kRememberedAnswers) {
      producer.m_answers.erase(producer.m_answers.begin());
    }
  }
  return result;
}

void KeyedLog::Put(const StoreRecord& record) {
  const auto offset = End();
  m_records.push_back(record);
  if (record.m_bytes.empty()) return;
  const auto size = static_cast<unsigned char>(record.m_bytes[0]);
  if (record.m_bytes.size() < 1U + size) return;
  const auto key = record.m_bytes.substr(1, size);
  const auto value = record.m_bytes.substr(1U + size);
  if (value.empty()) {
    m_newest.erase(key);
  } else {
    m_newest[key] = {.m_key = key, .m_value = value, .m_offset = offset};
  }
}

std::vector<KeyedItem> KeyedLog::Newest(const std::string& after, const std::size_t limit,
                                        bool& more) const {
  std::vector<KeyedItem> items;
  auto item = after.empty() ? m_newest.begin() : m_newest.upper_bound(after);
  for (; item != m_newest.end() && items.size() < limit; ++item) items.push_back(item->second);
  more = item != m_newest.end();
  return items;
}

std::optional<std::vector<StoreRecord>> KeyedLog::Read(const std::uint64_t from,
                                                       const std::size_t limit) const {
  if (from < m_first) return std::nullopt;
  std::vector<StoreRecord> records;
  for (auto i = from - m_first; i < m_records.size() && records.size() < limit; ++i) {
    records.push_back(m_records[i]);
  }
  return records;
}

void KeyedLog::DropHistory() {
  m_first = End();
  m_records.clear();
}

MemberGroup::Joined MemberGroup::Join(const std::string& member,
                                      const std::chrono::milliseconds ttl,
                                      const std::uint32_t parts, const StoreTime now) {
  Expire(now);
  const bool newcomer = m_members.count(member) == 0 || parts != m_parts;
  m_members[member] = now + ttl;
  m_parts = parts;
  if (newcomer) Deal();
  Joined joined{.m_generation = m_generation};
  for (const auto& [part, owner] : m_owners) {
    if (owner == member) joined.m_parts.push_back(part);
  }
  return joined;
}

void MemberGroup::Leave(const std::string& member, const StoreTime now) {
  Expire(now);
  if (m_members.erase(member) > 0) Deal();
}

std::map<std::uint32_t, std::string> MemberGroup::Owners(const StoreTime now) {
  Expire(now);
  return m_owners;
}

void MemberGroup::Expire(const StoreTime now) {
  const auto before = m_members.size();
  std::erase_if(m_members, [&](const auto& entry) { return entry.second <= now; });
  if (m_members.size() != before) Deal();
}

void MemberGroup::Deal() {
  ++m_generation;
  m_owners.clear();
  if (m_members.empty()) return;
  auto member = m_members.begin();
  for (std::uint32_t part = 0; part < m_parts; ++part) {
    m_owners[part] = member->first;
    if (++member == m_members.end()) member = m_members.begin();
  }
}

}  // namespace ebonypin::standin
