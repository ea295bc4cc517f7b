/// Stand-in for the store of the users' platform, held in memory.
///
/// It serves /log-append, /log-read, /log-newest, /log-join, /log-leave and /log-owners as the
/// platform's pages describe them, with twelve partitions a topic, and
///
///     GET  /sim                              -> {"refused": n}, appends that exceeded the limits
///
///     POST /faults {"down": true}            everything is refused with 503
///                  {"lose_answers": n}       the next n appends are done and not answered
///                  {"hold_append": true}     the next append of records is done after the one that
///                                            follows it, at the latest after 500 ms
///                  {"drop_history": true}    only the newest record of each key stays
///                  {"record_bytes": n}    larger records are refused with 400
///                  {"append_bytes": n}    larger appends are refused with 400
///                  {"put": {"topic": t, "key": k, "value": v}}    appends a record, as operators
///                  do
#include <cpprest/http_msg.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "ebonypin/standin/standin.h"
#include "http_call.h"
#include "keyed_log.h"

namespace ebonypin::standin {
namespace {

using namespace std::chrono_literals;
using web::http::status_codes;
using web::json::value;

constexpr std::uint32_t kParts = 12;
constexpr std::size_t kItemsPerPage = 500;
/// Between two looks whether a read that waits has something to answer.
constexpr auto kPollInterval = 5ms;
constexpr auto kHoldTime = 500ms;

using Query = std::map<std::string, std::string>;

std::string Get(const Query& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? std::string{} : web::uri::decode(found->second);
}

std::uint64_t GetNumber(const Query& query, const std::string& name) {
  const auto text = Get(query, name);
  return text.empty() ? 0 : std::stoull(text);
}

/// Splits a body of frames: four bytes of length, most significant first, then the record.
std::vector<StoreRecord> SplitFrames(const std::string_view body) {
  std::vector<StoreRecord> records;
  std::size_t at = 0;
  while (at + 4 <= body.size()) {
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i) length = length << 8U | static_cast<unsigned char>(body[at++]);
    if (at + length > body.size()) throw std::invalid_argument("frame cut off");
    records.push_back({std::string(body.substr(at, length))});
    at += length;
  }
  return records;
}

void PutNumber(std::string& out, const std::uint64_t number, const int bytes) {
  for (int i = bytes - 1; i >= 0; --i) {
    out.push_back(static_cast<char>(number >> (8U * static_cast<unsigned>(i))));
  }
}

class StoreStandin final : public Standin {
 public:
  explicit StoreStandin(std::string listen) : m_listen(std::move(listen)) {}

  ~StoreStandin() override {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    if (m_reader.joinable()) m_reader.join();
  }

  void Start() override {
    m_server = StartServer(m_listen, [this](const HttpCall& call) { Answer(call); });
    m_reader = std::thread([this] { AnswerReads(); });
  }

 private:
  struct WaitingRead {
    HttpCall m_call;
    std::string m_topic;
    std::uint64_t m_from = 0;
    StoreTime m_until;
  };

  /// Append that is done after the next one.
  struct HeldAppend {
    HttpCall m_call;
    std::string m_topic;
    AppendCall m_append;
    StoreTime m_until;
  };

  void Answer(const HttpCall& call) {
    const auto& path = call.m_request.m_path;
    const auto query = QueryOf(call);
    const std::lock_guard lock(m_mutex);
    if (path == "/faults") return SetFaults(call, JsonOf(call));
    if (path == "/sim") {
      value json = value::object();
      json["refused"] = value::number(m_refused);
      Respond(call, status_codes::OK, json);
      return;
    }
    if (m_down) {
      RespondText(call, status_codes::ServiceUnavailable);
    } else if (path == "/log-append") {
      Append(call, query);
    } else if (path == "/log-read") {
      m_reads.push_back({.m_call = call,
                         .m_topic = Get(query, "Topic"),
                         .m_from = GetNumber(query, "From"),
                         .m_until = std::chrono::steady_clock::now() +
                                    std::chrono::milliseconds{GetNumber(query, "WaitMs")}});
    } else if (path == "/log-newest") {
      Newest(call, query);
    } else if (path == "/log-join" || path == "/log-leave") {
      Member(call, path, JsonOf(call));
    } else if (path == "/log-owners") {
      Owners(call, Get(query, "group"));
    } else {
      RespondText(call, status_codes::NotFound);
    }
  }

  void SetFaults(const HttpCall& call, const value& json) {
    if (json.has_field("down")) m_down = json.at("down").as_bool();
    if (json.has_field("lose_answers")) m_lose_answers = json.at("lose_answers").as_integer();
    if (json.has_field("hold_append")) m_hold_append = json.at("hold_append").as_bool();
    if (json.has_field("drop_history")) {
      for (auto& [topic, log] : m_topics) log.DropHistory();
    }
    if (json.has_field("record_bytes")) {
      m_limits.m_record = json.at("record_bytes").as_number().to_uint64();
    }
    if (json.has_field("append_bytes")) {
      m_limits.m_append = json.at("append_bytes").as_number().to_uint64();
    }
    if (json.has_field("put")) Put(json.at("put"));
    RespondText(call, status_codes::OK);
  }

  void Put(const value& json) {
    const auto& key = json.at("key").as_string();
    const auto record =
        std::string(1, static_cast<char>(key.size())) + key + json.at("value").as_string();
    (void)m_topics[json.at("topic").as_string()].Append({.m_records = {{record}}});
  }

  void Append(const HttpCall& call, const Query& query) {
    AppendCall append{.m_records = SplitFrames(call.m_request.m_body),
                      .m_producer = Get(query, "Producer"),
                      .m_epoch = GetNumber(query, "epoch"),
                      .m_sequence = GetNumber(query, "Seq")};
    if (const auto reason = CheckSizes(append.m_records, m_limits); !reason.empty()) {
      ++m_refused;
      RespondText(call, status_codes::BadRequest, reason);
      return;
    }
    if (query.count("At") > 0) append.m_at = GetNumber(query, "At");
    if (m_hold_append && !append.m_records.empty()) {
      m_hold_append = false;
      m_held = HeldAppend{.m_call = call,
                          .m_topic = Get(query, "Topic"),
                          .m_append = std::move(append),
                          .m_until = std::chrono::steady_clock::now() + kHoldTime};
      return;
    }
    const bool has_records = !append.m_records.empty();
    Append(call, Get(query, "Topic"), append);
    if (has_records) AppendHeld();
  }

  void AppendHeld() {
    const auto held = std::exchange(m_held, std::nullopt);
    if (held) Append(held->m_call, held->m_topic, held->m_append);
  }

  void Append(const HttpCall& call, const std::string& topic, const AppendCall& append) {
    const auto result = m_topics[topic].Append(append);
    if (m_lose_answers > 0) {
      --m_lose_answers;
      return;
    }
    value json = value::object();
    json["Offset"] = value::number(result.m_offset);
    json["End"] = value::number(result.m_end);
    if (!result.m_reason.empty()) json["Reason"] = value::string(result.m_reason);
    Respond(call, static_cast<unsigned>(result.m_status), json);
  }

  void Newest(const HttpCall& call, const Query& query) {
    const auto& log = m_topics[Get(query, "Topic")];
    bool more = false;
    std::vector<value> items;
    for (const auto& item : log.Newest(Get(query, "After"), kItemsPerPage, more)) {
      value json = value::object();
      json["Key"] = value::string(item.m_key);
      json["Value"] = value::string(
          utility::conversions::to_base64({item.m_value.begin(), item.m_value.end()}));
      json["Offset"] = value::number(item.m_offset);
      items.push_back(std::move(json));
    }
    value json = value::object();
    json["items"] = value::array(std::move(items));
    json["More"] = value::boolean(more);
    json["End"] = value::number(log.End());
    Respond(call, status_codes::OK, json);
  }

  void Member(const HttpCall& call, const std::string& path, const value& json) {
    const auto now = std::chrono::steady_clock::now();
    auto& group = m_groups[json.at("group").as_string()];
    const auto member = json.at("Member").as_string();
    if (path == "/log-leave") {
      group.Leave(member, now);
      Respond(call, status_codes::OK, value::object());
      return;
    }
    const auto topic = json.at("Topics").at(0).as_string();
    const auto joined =
        group.Join(member, std::chrono::milliseconds{json.at("TtlMs").as_integer()}, kParts, now);
    std::vector<value> rows;
    for (const auto part : joined.m_parts) {
      rows.push_back(value::array({value::string(topic), value::number(part), value::number(0)}));
    }
    value answer = value::object();
    answer["Generation"] = value::number(joined.m_generation);
    answer["parts"] = value::array(std::move(rows));
    Respond(call, status_codes::OK, answer);
  }

  void Owners(const HttpCall& call, const std::string& group) {
    std::vector<value> rows;
    for (const auto& [part, member] : m_groups[group].Owners(std::chrono::steady_clock::now())) {
      rows.push_back(value::array(
          {value::string("topic"), value::number(part), value::string(member), value::number(0)}));
    }
    value answer = value::object();
    answer["parts"] = value::array(std::move(rows));
    Respond(call, status_codes::OK, answer);
  }

  void AnswerReads() {
    for (;;) {
      std::this_thread::sleep_for(kPollInterval);
      const std::lock_guard lock(m_mutex);
      if (m_stopping) return;
      const auto now = std::chrono::steady_clock::now();
      if (m_held && now >= m_held->m_until) AppendHeld();
      std::erase_if(m_reads, [&](const WaitingRead& read) { return TryRead(read, now); });
    }
  }

  bool TryRead(const WaitingRead& read, const StoreTime now) {
    const auto& log = m_topics[read.m_topic];
    const auto records = log.Read(read.m_from, kItemsPerPage);
    if (!records) {
      Respond(read.m_call, status_codes::Gone, value::object());
      return true;
    }
    if (records->empty() && now < read.m_until && !m_down) return false;
    std::string body;
    PutNumber(body, log.End(), 8);
    PutNumber(body, log.First(), 8);
    for (const auto& record : *records) {
      PutNumber(body, record.m_bytes.size(), 4);
      body += record.m_bytes;
    }
    RespondBytes(read.m_call, status_codes::OK, std::move(body));
    return true;
  }

  const std::string m_listen;
  std::thread m_reader;
  std::mutex m_mutex;
  bool m_stopping = false;
  bool m_down = false;
  int m_lose_answers = 0;
  bool m_hold_append = false;
  StoreLimits m_limits;
  std::uint64_t m_refused = 0;  ///< Appends that exceeded the limits.
  std::optional<HeldAppend> m_held;
  std::map<std::string, KeyedLog> m_topics;
  std::map<std::string, MemberGroup> m_groups;
  std::vector<WaitingRead> m_reads;
  /// Last, so that it stops before what its handler uses.
  std::unique_ptr<http::Server> m_server;
};

[[maybe_unused]] const bool kRegistered = RegisterStandin(
    "store", [](const std::string& listen) { return std::make_unique<StoreStandin>(listen); });

}  // namespace
}  // namespace ebonypin::standin
