#include "api_routes.h"
#include "json_codec.h"

namespace ebonypin::daemon {
namespace {

using core::AnswerKind;
using web::json::value;

constexpr std::uint64_t kMaxWaitMs = 30'000;

value ReadJson(const core::TopicName& topic, const core::WatchRead& read) {
  value updates = value::array(read.m_updates.size());
  for (std::size_t i = 0; i < read.m_updates.size(); ++i) {
    value update = value::object();
    update["sequence"] = value::number(read.m_updates[i].m_sequence);
    update["update_id"] = value::string(read.m_updates[i].m_update_id);
    update["value"] = value::string(read.m_updates[i].m_value);
    updates[i] = std::move(update);
  }
  value json = value::object();
  json["topic"] = value::string(topic.m_value);
  json["updates"] = std::move(updates);
  json["cursor"] = value::number(read.m_next);
  json["gap"] = value::boolean(read.m_gap);
  return json;
}

void ServeRead(const EntryParts& parts, const ApiCall& call, const Respond& respond) {
  const core::TopicName topic{call.m_path_parameters[0]};
  const auto cursor = QueryNumber(call, "cursor", 0, std::numeric_limits<std::uint64_t>::max());
  const auto limit = QueryNumber(call, "limit", core::kUpdatesPerTopic, core::kUpdatesPerTopic);
  const auto wait = parts.m_leaving ? 0 : QueryNumber(call, "wait_ms", 0, kMaxWaitMs);
  parts.m_watches.Read(topic, cursor, limit, call.m_arrived + std::chrono::milliseconds{wait},
                       [topic, respond](const core::WatchRead& read) {
                         respond({.m_body = ReadJson(topic, read)});
                       });
}

void ServeUpdate(const EntryParts& parts, const ApiCall& call, const Respond& respond) {
  const auto topic = call.m_path_parameters[0];
  core::WatchUpdated record{.m_topic = {topic},
                            .m_update_id = ReadName(call.m_body, "update_id"),
                            .m_value = ReadString(call.m_body, "value")};
  parts.m_region_log.Submit(
      std::move(record), [topic, respond](const platform::AppendOutcome& outcome) {
        switch (outcome.m_kind) {
          case platform::AppendOutcomeKind::kAppended: {
            auto answer = ToApiAnswer({.m_kind = AnswerKind::kAccepted});
            answer.m_location = "/v1/watches/" + web::uri::encode_data_string(topic);
            answer.m_body["topic"] = value::string(topic);
            answer.m_body["location"] = value::string(answer.m_location);
            return respond(answer);
          }
          case platform::AppendOutcomeKind::kNotAppended:
            return respond(Refusal(*outcome.m_error));
          case platform::AppendOutcomeKind::kUnknown:
            return respond(UnknownOutcome(*outcome.m_error));
        }
      });
}

}  // namespace

void AddWatchRoutes(const EntryParts& parts) {
  using web::http::methods;
  parts.m_http.Add(
      methods::GET, "/v1/watches/{topic}",
      [parts](const ApiCall& call, const Respond& respond) { ServeRead(parts, call, respond); });
  parts.m_http.Add(
      methods::POST, "/v1/watches/{topic}",
      [parts](const ApiCall& call, const Respond& respond) { ServeUpdate(parts, call, respond); });
}

}  // namespace ebonypin::daemon
