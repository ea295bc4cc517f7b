// The platform's store as PROTOCOL.md describes it, in memory: appends with conditions, epochs and
// sequence numbers, reads that wait, keyed topics, groups, and the limits of records and calls.
#pragma once
#include <deque>
#include <random>

#include "http.h"
#include "json.h"

namespace play {

struct StoreLimits {
  std::size_t m_record_bytes = 262144;
  std::size_t m_call_bytes = 2097152;
  int m_parts = 12;
};

class Store {
 public:
  explicit Store(Address address)
      : m_server(std::move(address), [this](const Request& r) { return Serve(r); }) {}

  void Open() { m_server.Open(); }

  /// Appends a record of a keyed topic, as the operator does.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    Add(m_topics[topic], std::string(1, static_cast<char>(key.size())) + key + value);
    m_changed.notify_all();
  }

  /// Is asked before each call is carried out; returns an answer in its place, or nothing.
  /// `silent` keeps the call unanswered and not carried out.
  std::function<std::optional<Response>(const Request&, bool& silent)> m_before;
  /// Is told the size of each append that was refused because of a limit.
  std::function<void(const std::string& what, std::size_t size)> m_on_refused;

  /// Returns the newest value of each key of a keyed topic.
  std::map<std::string, std::string> Newest(const std::string& topic) {
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::string> out;
    for (const auto& [key, item] : m_topics[topic].m_newest) out[key] = item.first;
    return out;
  }

 private:
  struct Producer {
    std::int64_t m_epoch = -1;
    std::optional<std::int64_t> m_last;
    std::deque<std::pair<std::int64_t, Response>> m_answers;
  };
  struct Topic {
    std::deque<std::string> m_records;
    std::int64_t m_first = 0;
    std::map<std::string, std::pair<std::string, std::int64_t>> m_newest;
    std::map<std::string, Producer> m_producers;
    std::int64_t End() const { return m_first + static_cast<std::int64_t>(m_records.size()); }
  };
  struct Group {
    std::map<std::string, Clock::time_point> m_members;
    std::int64_t m_generation = 0;
    std::map<int, std::string> m_owners;
    std::map<int, std::string> m_targets;
    std::string m_topic;
  };

  static std::string Number(std::uint64_t value, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i) & 0xFF);
    return out;
  }

  void Add(Topic& topic, const std::string& record) {
    const auto offset = topic.End();
    topic.m_records.push_back(record);
    if (record.empty()) return;
    const auto size = static_cast<unsigned char>(record[0]);
    if (record.size() < 1U + size) return;
    const auto key = record.substr(1, size);
    const auto value = record.substr(1U + size);
    if (value.empty()) {
      topic.m_newest.erase(key);
    } else {
      topic.m_newest[key] = {value, offset};
    }
  }

  std::optional<Response> Serve(const Request& request) {
    bool silent = false;
    if (m_before) {
      auto answer = m_before(request, silent);
      if (silent) return std::nullopt;
      if (answer) return answer;
    }
    std::this_thread::sleep_for(Ms{2});
    const bool writes = request.m_path == "/log-append" || request.m_path == "/log-join" ||
                        request.m_path == "/log-leave";
    if (writes && m_lost_share > 0.0 && Draw() < m_lost_share) {
      // Done now, or seconds later if its condition still holds, and not answered.
      if (m_lost_late) {
        std::thread([this, request, wait = Ms{1000 + static_cast<int>(Draw() * 5000)}] {
          std::this_thread::sleep_for(wait);
          (void)Do(request);
        }).detach();
      } else {
        (void)Do(request);
      }
      return std::nullopt;
    }
    return Do(request);
  }

  double Draw() {
    const std::lock_guard lock(m_draw_mutex);
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
  }

  std::optional<Response> Do(const Request& request) {
    auto query = request.Query();
    const auto number = [&](const std::string& name) {
      return query.count(name) > 0 ? std::strtoll(query[name].c_str(), nullptr, 10) : 0;
    };
    std::unique_lock lock(m_mutex);
    if (request.m_path == "/log-append") return Append(request, query);
    if (request.m_path == "/log-read") {
      auto& topic = m_topics[query["Topic"]];
      const auto from = number("From");
      const auto until = Clock::now() + Ms{std::min<long long>(number("WaitMs"), 30000)};
      const auto most = query.count("MaxSize") > 0 ? number("MaxSize") : 1024;
      m_changed.wait_until(lock, until, [&] { return topic.End() > from; });
      if (from < topic.m_first) {
        return Response{410, Json::Object().Set("First", topic.m_first).Write()};
      }
      std::string body = Number(static_cast<std::uint64_t>(topic.End()), 8) +
                         Number(static_cast<std::uint64_t>(topic.m_first), 8);
      for (auto at = from; at < topic.End() && at < from + most; ++at) {
        const auto& record = topic.m_records[static_cast<std::size_t>(at - topic.m_first)];
        body += Number(record.size(), 4) + record;
      }
      return Response{200, body, "application/octet-stream"};
    }
    if (request.m_path == "/log-newest") {
      auto& topic = m_topics[query["Topic"]];
      Json items = Json::List();
      bool more = false;
      std::size_t size = 0;
      for (auto item = topic.m_newest.upper_bound(query["After"]); item != topic.m_newest.end();
           ++item) {
        if (items.m_list.size() == 500 || size > 1000000) {
          more = true;
          break;
        }
        size += item->second.first.size();
        items.Add(Json::Object()
                      .Set("Key", item->first)
                      .Set("Value", Base64(item->second.first))
                      .Set("Offset", item->second.second));
      }
      return Response{200, Json::Object()
                               .Set("items", items)
                               .Set("More", more)
                               .Set("End", topic.End())
                               .Write()};
    }
    if (request.m_path == "/log-join" || request.m_path == "/log-leave") {
      const auto body = Json::Parse(request.m_body);
      auto& group = m_groups[body.Text("group")];
      Expire(group);
      const auto member = body.Text("Member");
      if (request.m_path == "/log-leave") {
        if (group.m_members.erase(member) > 0) Deal(group);
        return Response{200, "{}"};
      }
      if (const auto* const topics = body.Find("Topics")) group.m_topic = topics->m_list.at(0).m_text;
      const bool is_new = group.m_members.count(member) == 0;
      group.m_members[member] = Clock::now() + Ms{body.Int("TtlMs")};
      if (is_new) Deal(group);
      if (body.Int("Generation") >= group.m_generation) {
        for (auto& [part, owner] : group.m_owners) {
          if (owner == member) owner = group.m_targets[part];
        }
      }
      Json parts = Json::List();
      for (auto& [part, target] : group.m_targets) {
        auto& owner = group.m_owners[part];
        if (owner.empty() || group.m_members.count(owner) == 0) owner = target;
        if (owner == member && target == member) {
          parts.Add(Json::List().Add(group.m_topic).Add(part).Add(0));
        }
      }
      return Response{
          200, Json::Object().Set("Generation", group.m_generation).Set("parts", parts).Write()};
    }
    if (request.m_path == "/log-owners") {
      auto& group = m_groups[query["group"]];
      Expire(group);
      Json parts = Json::List();
      for (const auto& [part, owner] : group.m_owners) {
        if (group.m_members.count(owner) == 0) continue;
        parts.Add(Json::List().Add(group.m_topic).Add(part).Add(owner).Add(0));
      }
      return Response{200, Json::Object().Set("parts", parts).Write()};
    }
    return Response{404, "{}"};
  }

  Response Append(const Request& request, std::map<std::string, std::string>& query) {
    auto& topic = m_topics[query["Topic"]];
    if (request.m_body.size() > m_limits.m_call_bytes) {
      if (m_on_refused) m_on_refused("call", request.m_body.size());
      return {413, "{}"};
    }
    std::vector<std::string> records;
    for (std::size_t at = 0; at + 4 <= request.m_body.size();) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = size << 8U | static_cast<unsigned char>(request.m_body[at++]);
      }
      if (at + size > request.m_body.size()) return {400, "{}"};
      if (size > m_limits.m_record_bytes) {
        if (m_on_refused) m_on_refused("record", size);
        return {413, "{}"};
      }
      records.push_back(request.m_body.substr(at, size));
      at += size;
    }
    Producer* producer = nullptr;
    const auto sequence = std::strtoll(query["Seq"].c_str(), nullptr, 10);
    if (query.count("Producer") > 0) {
      producer = &topic.m_producers[query["Producer"]];
      const auto epoch = std::strtoll(query["epoch"].c_str(), nullptr, 10);
      if (epoch < producer->m_epoch) {
        return {409, Json::Object().Set("Reason", "fenced").Write()};
      }
      if (epoch > producer->m_epoch) {
        *producer = Producer{};
        producer->m_epoch = epoch;
      }
    }
    const auto ends = [&](std::int64_t offset) {
      return Json::Object().Set("Offset", offset).Set("End", topic.End()).Write();
    };
    if (records.empty()) return {200, ends(topic.End())};
    if (producer != nullptr) {
      for (const auto& [number, answer] : producer->m_answers) {
        if (number == sequence) return answer;
      }
      if (producer->m_last && sequence != *producer->m_last + 1) {
        return {409, Json::Object().Set("Reason", "seq").Set("Seq", *producer->m_last + 1).Write()};
      }
    }
    if (query.count("At") > 0 && std::strtoll(query["At"].c_str(), nullptr, 10) != topic.End()) {
      return {412, Json::Object().Set("End", topic.End()).Write()};
    }
    const auto offset = topic.End();
    for (const auto& record : records) Add(topic, record);
    const Response answer{200, ends(offset)};
    if (producer != nullptr) {
      producer->m_last = sequence;
      producer->m_answers.emplace_back(sequence, answer);
      if (producer->m_answers.size() > 5) producer->m_answers.pop_front();
    }
    m_changed.notify_all();
    return answer;
  }

  void Expire(Group& group) {
    const auto now = Clock::now();
    const auto before = group.m_members.size();
    std::erase_if(group.m_members, [now](const auto& member) { return member.second <= now; });
    if (group.m_members.size() != before) Deal(group);
  }

  void Deal(Group& group) {
    ++group.m_generation;
    group.m_targets.clear();
    if (group.m_members.empty()) {
      group.m_owners.clear();
      return;
    }
    auto member = group.m_members.begin();
    for (int part = 0; part < m_limits.m_parts; ++part) {
      group.m_targets[part] = member->first;
      if (++member == group.m_members.end()) member = group.m_members.begin();
      auto& owner = group.m_owners[part];
      if (owner.empty() || group.m_members.count(owner) == 0) owner = group.m_targets[part];
    }
  }

  static std::string Base64(const std::string& in) {
    static const char* const kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
      std::uint32_t bits = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        bits = bits << 8U | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        out += i + j <= in.size() ? kDigits[bits >> (18 - 6 * j) & 63U] : '=';
      }
    }
    return out;
  }

 public:
  StoreLimits m_limits;
  std::atomic<double> m_lost_share{0.0};  ///< Share of the writes that get no answer.
  std::atomic<bool> m_lost_late{false};

 private:
  std::mutex m_draw_mutex;
  std::mt19937 m_random{17};
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Topic> m_topics;
  std::map<std::string, Group> m_groups;
  Server m_server;
};

}  // namespace play
