#include "convert.h"

namespace ebonypin::wire {

void Put(schema::Error::Builder out, const core::Error& in) {
  out.setKind(std::string{core::ErrorKindName(in.m_kind)});
  out.setMessage(in.m_message);
  out.setRetryAfterUs(in.m_retry_after.count());
}

core::Error Get(const schema::Error::Reader in) {
  // A kind that only a newer version knows is read as kInternal; its message is kept.
  const auto kind = core::ParseErrorKind(GetText(in.getKind()));
  return {.m_kind = kind.value_or(core::ErrorKind::kInternal),
          .m_message = GetText(in.getMessage()),
          .m_retry_after = core::Duration{in.getRetryAfterUs()}};
}

void Put(schema::Target::Builder out, const core::Target& in) {
  out.setStartWithinUs(PutOptional(in.m_start_within));
  out.setFinishWithinUs(PutOptional(in.m_finish_within));
  out.setLatencyUs(PutOptional(in.m_latency));
  out.setPercentile(in.m_percentile);
  out.setThroughput(in.m_throughput.value_or(-1));
}

core::Target Get(const schema::Target::Reader in) {
  core::Target target{.m_start_within = GetOptional(in.getStartWithinUs()),
                      .m_finish_within = GetOptional(in.getFinishWithinUs()),
                      .m_latency = GetOptional(in.getLatencyUs()),
                      .m_percentile = in.getPercentile(),
                      .m_throughput = std::nullopt};
  if (in.getThroughput() >= 0) target.m_throughput = in.getThroughput();
  return target;
}

void Put(schema::Resources::Builder out, const core::Resources& in) {
  out.setCpuMillis(in.m_cpu_millis);
  out.setMemoryMb(in.m_memory_mb);
  out.setAccelerators(in.m_accelerators);
}

core::Resources Get(const schema::Resources::Reader in) {
  return {.m_cpu_millis = in.getCpuMillis(),
          .m_memory_mb = in.getMemoryMb(),
          .m_accelerators = in.getAccelerators()};
}

void Put(schema::ClassSpec::Builder out, const core::ClassSpec& in) {
  out.setName(in.m_name.m_value);
  out.setTeam(in.m_team.m_value);
  out.setKind(static_cast<std::uint8_t>(in.m_kind));
  out.setExclusive(in.m_exclusive);
  out.setNonIdempotent(in.m_non_idempotent);
  Put(out.initTarget(), in.m_target);
  out.setRevision(in.m_revision);
  out.setAcceptedOffset(in.m_accepted_offset);
}

core::ClassSpec Get(const schema::ClassSpec::Reader in) {
  return {.m_name = {GetText(in.getName())},
          .m_team = {GetText(in.getTeam())},
          .m_kind = GetEnum<core::ClassKind>(in.getKind(), core::ClassKind{2}),
          .m_exclusive = in.getExclusive(),
          .m_non_idempotent = in.getNonIdempotent(),
          .m_target = Get(in.getTarget()),
          .m_revision = in.getRevision(),
          .m_accepted_offset = in.getAcceptedOffset()};
}

void Put(schema::WorkRequest::Builder out, const core::WorkRequest& in) {
  out.setId(in.m_id.m_value);
  out.setClass(in.m_class.m_value);
  out.setKey(in.m_key);
  out.setDeadlineUs(PutOptional(in.m_deadline));
  Put(out.initSize(), in.m_size);
  out.setDeclaredRunUs(in.m_declared_run.count());
  out.setNonIdempotent(in.m_non_idempotent);
  out.setPayload(PutData(in.m_payload));
}

core::WorkRequest Get(const schema::WorkRequest::Reader in) {
  return {.m_id = {GetText(in.getId())},
          .m_class = {GetText(in.getClass())},
          .m_key = GetText(in.getKey()),
          .m_deadline = GetOptional(in.getDeadlineUs()),
          .m_size = Get(in.getSize()),
          .m_declared_run = core::Duration{in.getDeclaredRunUs()},
          .m_non_idempotent = in.getNonIdempotent(),
          .m_payload = GetData(in.getPayload())};
}

void Put(schema::JobState::Builder out, const core::JobState& in) {
  out.setJob(in.m_job.m_value);
  Put(out.initRequest(), in.m_request);
  out.setAcceptedWall(in.m_accepted_wall);
  out.setAcceptedOffset(in.m_accepted_offset);
  out.setLastOffset(in.m_last_offset);
  out.setAttempt(in.m_attempt);
  out.setAssigned(in.m_assigned);
  out.setAgent(in.m_agent.m_value);
  out.setAgentIncarnation(in.m_agent_incarnation);
  out.setReservation(in.m_reservation);
  out.setCheckpoint(PutData(in.m_checkpoint));
  out.setCancelRequested(in.m_cancel_requested);
  out.setClosed(in.m_closed);
  out.setOutcome(static_cast<std::uint8_t>(in.m_outcome));
  out.setResult(PutData(in.m_result));
}

core::JobState Get(const schema::JobState::Reader in) {
  return {.m_job = {GetText(in.getJob())},
          .m_request = Get(in.getRequest()),
          .m_accepted_wall = in.getAcceptedWall(),
          .m_accepted_offset = in.getAcceptedOffset(),
          .m_last_offset = in.getLastOffset(),
          .m_attempt = in.getAttempt(),
          .m_assigned = in.getAssigned(),
          .m_agent = {GetText(in.getAgent())},
          .m_agent_incarnation = in.getAgentIncarnation(),
          .m_reservation = in.getReservation(),
          .m_checkpoint = GetData(in.getCheckpoint()),
          .m_cancel_requested = in.getCancelRequested(),
          .m_closed = in.getClosed(),
          .m_outcome = GetEnum<core::JobOutcome>(in.getOutcome(), core::JobOutcome{4}),
          .m_result = GetData(in.getResult())};
}

void Put(schema::EntryInfo::Builder out, const core::EntryInfo& in) {
  out.setEntry(in.m_entry.m_value);
  out.setIncarnation(in.m_incarnation);
  out.setRpcAddress(in.m_rpc_address);
  out.setHttpAddress(in.m_http_address);
  out.setLeaving(in.m_leaving);
}

core::EntryInfo Get(const schema::EntryInfo::Reader in) {
  return {.m_entry = {GetText(in.getEntry())},
          .m_incarnation = in.getIncarnation(),
          .m_rpc_address = GetText(in.getRpcAddress()),
          .m_http_address = GetText(in.getHttpAddress()),
          .m_leaving = in.getLeaving()};
}

}  // namespace ebonypin::wire
