#include "ebonypin/wire/message_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include "convert.h"
#include "envelope.h"

namespace ebonypin::wire {

void Put(schema::AgentLoad::Builder out, const core::AgentLoad& in) {
  Put(out.initCommitted(), in.m_committed);
  out.setSlotsBusy(in.m_slots_busy);
  out.setQueued(in.m_queued);
  out.setLatencyUs(in.m_latency_us);
  out.setDraining(in.m_draining);
}

core::AgentLoad Get(const schema::AgentLoad::Reader in) {
  return {.m_committed = Get(in.getCommitted()),
          .m_slots_busy = in.getSlotsBusy(),
          .m_queued = in.getQueued(),
          .m_latency_us = in.getLatencyUs(),
          .m_draining = in.getDraining()};
}

void Put(schema::AttemptRef::Builder out, const core::AttemptRef& in) {
  out.setJob(in.m_job.m_value);
  out.setAttempt(in.m_attempt);
  out.setEpoch(in.m_epoch);
}

core::AttemptRef Get(const schema::AttemptRef::Reader in) {
  return {.m_job = {GetText(in.getJob())}, .m_attempt = in.getAttempt(), .m_epoch = in.getEpoch()};
}

void Put(schema::Heartbeat::Builder out, const core::Heartbeat& in) {
  out.setAgent(in.m_agent.m_value);
  out.setIncarnation(in.m_incarnation);
  out.setDomain(in.m_domain.m_value);
  out.setRpcAddress(in.m_rpc_address);
  Put(out.initCapacity(), in.m_capacity);
  out.setSlots(in.m_slots);
  Put(out.initLoad(), in.m_load);
  out.setConfigOffset(in.m_config_offset);
  PutList(out.initAttempts(ListSize(in.m_attempts)), in.m_attempts);
  PutList(out.initKnownEntries(ListSize(in.m_known_entries)), in.m_known_entries);
}

core::Heartbeat Get(const schema::Heartbeat::Reader in) {
  return {.m_agent = {GetText(in.getAgent())},
          .m_incarnation = in.getIncarnation(),
          .m_domain = {GetText(in.getDomain())},
          .m_rpc_address = GetText(in.getRpcAddress()),
          .m_capacity = Get(in.getCapacity()),
          .m_slots = in.getSlots(),
          .m_load = Get(in.getLoad()),
          .m_config_offset = in.getConfigOffset(),
          .m_attempts = GetList<core::AttemptRef>(in.getAttempts()),
          .m_known_entries = GetList<core::EntryInfo>(in.getKnownEntries())};
}

void Put(schema::Grant::Builder out, const core::Grant& in) {
  out.setJob(in.m_job.m_value);
  out.setAttempt(in.m_attempt);
  out.setEpoch(in.m_epoch);
  out.setGranted(in.m_granted);
}

core::Grant Get(const schema::Grant::Reader in) {
  return {.m_job = {GetText(in.getJob())},
          .m_attempt = in.getAttempt(),
          .m_epoch = in.getEpoch(),
          .m_granted = in.getGranted()};
}

void Put(schema::HeartbeatReply::Builder out, const core::HeartbeatReply& in) {
  PutList(out.initGrants(ListSize(in.m_grants)), in.m_grants);
  PutList(out.initEntries(ListSize(in.m_entries)), in.m_entries);
  PutList(out.initClasses(ListSize(in.m_classes)), in.m_classes);
  out.setConfigOffset(in.m_config_offset);
  out.setDrain(in.m_drain);
}

core::HeartbeatReply Get(const schema::HeartbeatReply::Reader in) {
  return {.m_grants = GetList<core::Grant>(in.getGrants()),
          .m_entries = GetList<core::EntryInfo>(in.getEntries()),
          .m_classes = GetList<core::ClassSpec>(in.getClasses()),
          .m_config_offset = in.getConfigOffset(),
          .m_drain = in.getDrain()};
}

void Put(schema::EntryHeartbeat::Builder out, const core::EntryHeartbeat& in) {
  Put(out.initSelf(), in.m_self);
  out.setConfigOffset(in.m_config_offset);
  PutList(out.initWorkerSizes(ListSize(in.m_worker_sizes)), in.m_worker_sizes);
}

core::EntryHeartbeat Get(const schema::EntryHeartbeat::Reader in) {
  return {.m_self = Get(in.getSelf()),
          .m_config_offset = in.getConfigOffset(),
          .m_worker_sizes = GetList<core::Resources>(in.getWorkerSizes())};
}

void Put(schema::EntryHeartbeatReply::Builder out, const core::EntryHeartbeatReply& in) {
  Put(out.initSelf(), in.m_self);
  PutList(out.initEntries(ListSize(in.m_entries)), in.m_entries);
  PutList(out.initClasses(ListSize(in.m_classes)), in.m_classes);
  out.setConfigOffset(in.m_config_offset);
  PutIds(out.initDrainedAgents(ListSize(in.m_drained_agents)), in.m_drained_agents);
}

core::EntryHeartbeatReply Get(const schema::EntryHeartbeatReply::Reader in) {
  return {.m_self = Get(in.getSelf()),
          .m_entries = GetList<core::EntryInfo>(in.getEntries()),
          .m_classes = GetList<core::ClassSpec>(in.getClasses()),
          .m_config_offset = in.getConfigOffset(),
          .m_drained_agents = GetIds<core::AgentId>(in.getDrainedAgents())};
}

void Put(schema::RunRequest::Builder out, const core::RunRequest& in) {
  out.setRequest(in.m_request.m_value);
  out.setTry(in.m_try);
  out.setIncarnation(in.m_incarnation);
  out.setClass(in.m_class.m_value);
  Put(out.initSize(), in.m_size);
  out.setExpectedRunUs(in.m_expected_run.count());
  out.setStartWithinUs(in.m_start_within.count());
  out.setTimeLeftUs(in.m_time_left.count());
  out.setPayload(PutData(in.m_payload));
}

core::RunRequest Get(const schema::RunRequest::Reader in) {
  return {.m_request = {GetText(in.getRequest())},
          .m_try = in.getTry(),
          .m_incarnation = in.getIncarnation(),
          .m_class = {GetText(in.getClass())},
          .m_size = Get(in.getSize()),
          .m_expected_run = core::Duration{in.getExpectedRunUs()},
          .m_start_within = core::Duration{in.getStartWithinUs()},
          .m_time_left = core::Duration{in.getTimeLeftUs()},
          .m_payload = GetData(in.getPayload())};
}

void Put(schema::RunReply::Builder out, const core::RunReply& in) {
  out.setRequest(in.m_request.m_value);
  out.setTry(in.m_try);
  out.setKind(static_cast<std::uint8_t>(in.m_kind));
  Put(out.initError(), in.m_error);
  out.setResult(PutData(in.m_result));
  out.setResultHash(in.m_result_hash);
  Put(out.initLoad(), in.m_load);
}

core::RunReply Get(const schema::RunReply::Reader in) {
  return {.m_request = {GetText(in.getRequest())},
          .m_try = in.getTry(),
          .m_kind = GetEnum<core::AnswerKind>(in.getKind(), core::AnswerKind{3}),
          .m_error = Get(in.getError()),
          .m_result = GetData(in.getResult()),
          .m_result_hash = in.getResultHash(),
          .m_load = Get(in.getLoad())};
}

void Put(schema::ReserveRequest::Builder out, const core::ReserveRequest& in) {
  out.setJob(in.m_job.m_value);
  out.setAttempt(in.m_attempt);
  out.setEpoch(in.m_epoch);
  out.setIncarnation(in.m_incarnation);
  out.setClass(in.m_class.m_value);
  Put(out.initSize(), in.m_size);
  out.setExpectedRunUs(in.m_expected_run.count());
}

core::ReserveRequest Get(const schema::ReserveRequest::Reader in) {
  return {.m_job = {GetText(in.getJob())},
          .m_attempt = in.getAttempt(),
          .m_epoch = in.getEpoch(),
          .m_incarnation = in.getIncarnation(),
          .m_class = {GetText(in.getClass())},
          .m_size = Get(in.getSize()),
          .m_expected_run = core::Duration{in.getExpectedRunUs()}};
}

void Put(schema::ReserveReply::Builder out, const core::ReserveReply& in) {
  out.setGranted(in.m_granted);
  out.setReservation(in.m_reservation);
  Put(out.initError(), in.m_error);
  Put(out.initLoad(), in.m_load);
}

core::ReserveReply Get(const schema::ReserveReply::Reader in) {
  return {.m_granted = in.getGranted(),
          .m_reservation = in.getReservation(),
          .m_error = Get(in.getError()),
          .m_load = Get(in.getLoad())};
}

void Put(schema::StartRequest::Builder out, const core::StartRequest& in) {
  out.setJob(in.m_job.m_value);
  out.setAttempt(in.m_attempt);
  out.setEpoch(in.m_epoch);
  out.setIncarnation(in.m_incarnation);
  out.setReservation(in.m_reservation);
  out.setExclusive(in.m_exclusive);
  out.setCheckpoint(PutData(in.m_checkpoint));
  out.setPayload(PutData(in.m_payload));
}

core::StartRequest Get(const schema::StartRequest::Reader in) {
  return {.m_job = {GetText(in.getJob())},
          .m_attempt = in.getAttempt(),
          .m_epoch = in.getEpoch(),
          .m_incarnation = in.getIncarnation(),
          .m_reservation = in.getReservation(),
          .m_exclusive = in.getExclusive(),
          .m_checkpoint = GetData(in.getCheckpoint()),
          .m_payload = GetData(in.getPayload())};
}

void Put(schema::StartReply::Builder out, const core::StartReply& in) {
  out.setStarted(in.m_started);
  Put(out.initError(), in.m_error);
  Put(out.initLoad(), in.m_load);
}

core::StartReply Get(const schema::StartReply::Reader in) {
  return {.m_started = in.getStarted(), .m_error = Get(in.getError()), .m_load = Get(in.getLoad())};
}

void Put(schema::CancelRequest::Builder out, const core::CancelRequest& in) {
  out.setJob(in.m_job.m_value);
  out.setRequest(in.m_request.m_value);
  out.setEpoch(in.m_epoch);
}

core::CancelRequest Get(const schema::CancelRequest::Reader in) {
  return {.m_job = {GetText(in.getJob())},
          .m_request = {GetText(in.getRequest())},
          .m_epoch = in.getEpoch()};
}

void Put(schema::CancelReply::Builder out, const core::CancelReply& in) {
  out.setStopped(in.m_stopped);
}

core::CancelReply Get(const schema::CancelReply::Reader in) {
  return {.m_stopped = in.getStopped()};
}

void Put(schema::FenceRequest::Builder out, const core::FenceRequest& in) {
  out.setJob(in.m_job.m_value);
  out.setAttempt(in.m_attempt);
  out.setEpoch(in.m_epoch);
  out.setStop(in.m_stop);
}

core::FenceRequest Get(const schema::FenceRequest::Reader in) {
  return {.m_job = {GetText(in.getJob())},
          .m_attempt = in.getAttempt(),
          .m_epoch = in.getEpoch(),
          .m_stop = in.getStop()};
}

void Put(schema::FenceReply::Builder out, const core::FenceReply& in) {
  out.setPhase(static_cast<std::uint8_t>(in.m_phase));
  out.setIncarnation(in.m_incarnation);
  out.setCheckpoint(PutData(in.m_checkpoint));
  out.setOutcome(static_cast<std::uint8_t>(in.m_outcome));
  out.setResult(PutData(in.m_result));
}

core::FenceReply Get(const schema::FenceReply::Reader in) {
  return {.m_phase = GetEnum<core::AttemptPhase>(in.getPhase(), core::AttemptPhase{3}),
          .m_incarnation = in.getIncarnation(),
          .m_checkpoint = GetData(in.getCheckpoint()),
          .m_outcome = GetEnum<core::JobOutcome>(in.getOutcome(), core::JobOutcome{4}),
          .m_result = GetData(in.getResult())};
}

void Put(schema::TaskReport::Builder out, const core::TaskReport& in) {
  out.setAgent(in.m_agent.m_value);
  out.setIncarnation(in.m_incarnation);
  out.setJob(in.m_job.m_value);
  out.setAttempt(in.m_attempt);
  out.setPhase(static_cast<std::uint8_t>(in.m_phase));
  out.setOutcome(static_cast<std::uint8_t>(in.m_outcome));
  out.setResult(PutData(in.m_result));
  out.setCheckpoint(PutData(in.m_checkpoint));
  out.setRunTimeUs(in.m_run_time.count());
  Put(out.initUsed(), in.m_used);
}

core::TaskReport Get(const schema::TaskReport::Reader in) {
  return {.m_agent = {GetText(in.getAgent())},
          .m_incarnation = in.getIncarnation(),
          .m_job = {GetText(in.getJob())},
          .m_attempt = in.getAttempt(),
          .m_phase = GetEnum<core::AttemptPhase>(in.getPhase(), core::AttemptPhase{3}),
          .m_outcome = GetEnum<core::JobOutcome>(in.getOutcome(), core::JobOutcome{4}),
          .m_result = GetData(in.getResult()),
          .m_checkpoint = GetData(in.getCheckpoint()),
          .m_run_time = core::Duration{in.getRunTimeUs()},
          .m_used = Get(in.getUsed())};
}

void Put(schema::TaskReportReply::Builder out, const core::TaskReportReply& in) {
  out.setAcknowledged(in.m_acknowledged);
  out.setNotOwner(in.m_not_owner);
  Put(out.initOwner(), in.m_owner);
}

core::TaskReportReply Get(const schema::TaskReportReply::Reader in) {
  return {.m_acknowledged = in.getAcknowledged(),
          .m_not_owner = in.getNotOwner(),
          .m_owner = Get(in.getOwner())};
}

void PutEnvelope(schema::Envelope::Builder out, const core::Message& in) {
  out.setVersion(kWireVersion);
  std::visit(
      Overloaded{
          [&](const core::Heartbeat& m) { Put(out.initHeartbeat(), m); },
          [&](const core::HeartbeatReply& m) { Put(out.initHeartbeatReply(), m); },
          [&](const core::EntryHeartbeat& m) { Put(out.initEntryHeartbeat(), m); },
          [&](const core::EntryHeartbeatReply& m) { Put(out.initEntryHeartbeatReply(), m); },
          [&](const core::RunRequest& m) { Put(out.initRunRequest(), m); },
          [&](const core::RunReply& m) { Put(out.initRunReply(), m); },
          [&](const core::ReserveRequest& m) { Put(out.initReserveRequest(), m); },
          [&](const core::ReserveReply& m) { Put(out.initReserveReply(), m); },
          [&](const core::StartRequest& m) { Put(out.initStartRequest(), m); },
          [&](const core::StartReply& m) { Put(out.initStartReply(), m); },
          [&](const core::CancelRequest& m) { Put(out.initCancelRequest(), m); },
          [&](const core::CancelReply& m) { Put(out.initCancelReply(), m); },
          [&](const core::FenceRequest& m) { Put(out.initFenceRequest(), m); },
          [&](const core::FenceReply& m) { Put(out.initFenceReply(), m); },
          [&](const core::TaskReport& m) { Put(out.initTaskReport(), m); },
          [&](const core::TaskReportReply& m) { Put(out.initTaskReportReply(), m); },
          [&](const core::fleet::AgentReport& m) { Put(out.initAgentReport(), m); },
          [&](const core::fleet::AgentReportReply& m) { Put(out.initAgentReportReply(), m); },
          [&](const core::fleet::AgentOrders& m) { Put(out.initAgentOrders(), m); },
          [&](const core::fleet::AgentOrdersReply& m) { Put(out.initAgentOrdersReply(), m); },
          [&](const core::fleet::JobCall& m) { Put(out.initJobCall(), m); },
          [&](const core::fleet::JobCallReply& m) { Put(out.initJobCallReply(), m); },
          [&](const core::fleet::StepDown& m) { Put(out.initStepDown(), m); },
          [&](const core::fleet::StepDownReply& m) { Put(out.initStepDownReply(), m); },
          [&](const core::Error& m) { Put(out.initError(), m); }},
      in);
}

core::Message GetEnvelope(const schema::Envelope::Reader in) {
  switch (in.which()) {
    case schema::Envelope::HEARTBEAT:
      return Get(in.getHeartbeat());
    case schema::Envelope::HEARTBEAT_REPLY:
      return Get(in.getHeartbeatReply());
    case schema::Envelope::ENTRY_HEARTBEAT:
      return Get(in.getEntryHeartbeat());
    case schema::Envelope::ENTRY_HEARTBEAT_REPLY:
      return Get(in.getEntryHeartbeatReply());
    case schema::Envelope::RUN_REQUEST:
      return Get(in.getRunRequest());
    case schema::Envelope::RUN_REPLY:
      return Get(in.getRunReply());
    case schema::Envelope::RESERVE_REQUEST:
      return Get(in.getReserveRequest());
    case schema::Envelope::RESERVE_REPLY:
      return Get(in.getReserveReply());
    case schema::Envelope::START_REQUEST:
      return Get(in.getStartRequest());
    case schema::Envelope::START_REPLY:
      return Get(in.getStartReply());
    case schema::Envelope::CANCEL_REQUEST:
      return Get(in.getCancelRequest());
    case schema::Envelope::CANCEL_REPLY:
      return Get(in.getCancelReply());
    case schema::Envelope::FENCE_REQUEST:
      return Get(in.getFenceRequest());
    case schema::Envelope::FENCE_REPLY:
      return Get(in.getFenceReply());
    case schema::Envelope::TASK_REPORT:
      return Get(in.getTaskReport());
    case schema::Envelope::TASK_REPORT_REPLY:
      return Get(in.getTaskReportReply());
    case schema::Envelope::AGENT_REPORT:
      return Get(in.getAgentReport());
    case schema::Envelope::AGENT_REPORT_REPLY:
      return Get(in.getAgentReportReply());
    case schema::Envelope::AGENT_ORDERS:
      return Get(in.getAgentOrders());
    case schema::Envelope::AGENT_ORDERS_REPLY:
      return Get(in.getAgentOrdersReply());
    case schema::Envelope::JOB_CALL:
      return Get(in.getJobCall());
    case schema::Envelope::JOB_CALL_REPLY:
      return Get(in.getJobCallReply());
    case schema::Envelope::STEP_DOWN:
      return Get(in.getStepDown());
    case schema::Envelope::STEP_DOWN_REPLY:
      return Get(in.getStepDownReply());
    case schema::Envelope::ERROR:
      return Get(in.getError());
  }
  KJ_FAIL_REQUIRE("unknown message type");
}

std::size_t EncodedSize(const core::Message& message) {
  capnp::MallocMessageBuilder builder;
  PutEnvelope(builder.initRoot<schema::Envelope>(), message);
  return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

std::string EncodeMessage(const core::Message& message) {
  capnp::MallocMessageBuilder builder;
  PutEnvelope(builder.initRoot<schema::Envelope>(), message);
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

core::Result<core::Message> DecodeMessage(const std::string_view bytes) {
  core::Message message;
  auto failure = kj::runCatchingExceptions([&] {
    KJ_REQUIRE(bytes.size() % sizeof(capnp::word) == 0, "size is not a multiple of a word");
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::copy(bytes.begin(), bytes.end(), words.asBytes().begin());
    capnp::FlatArrayMessageReader reader(
        words, {.traversalLimitInWords = kMaxMessageWords, .nestingLimit = 16});
    message = GetEnvelope(reader.getRoot<schema::Envelope>());
  });
  KJ_IF_MAYBE (exception, failure) {
    return core::Fail({.m_kind = core::ErrorKind::kBadMessage,
                       .m_message = std::string{"cannot decode a message: "} +
                                    exception->getDescription().cStr() +
                                    "; check that both processes run compatible versions"});
  }
  return message;
}

}  // namespace ebonypin::wire
