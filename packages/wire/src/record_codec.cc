#include "ebonypin/wire/record_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "convert.h"

namespace ebonypin::wire {

void Put(schema::JobAccepted::Builder out, const core::JobAccepted& in) {
  out.setJob(in.m_job.m_value);
  out.setEntry(in.m_entry.m_value);
  Put(out.initRequest(), in.m_request);
  out.setWall(in.m_wall);
}

core::JobAccepted Get(const schema::JobAccepted::Reader in) {
  return {.m_job = {GetText(in.getJob())},
          .m_entry = {GetText(in.getEntry())},
          .m_request = Get(in.getRequest()),
          .m_wall = in.getWall()};
}

void Put(schema::JobAssigned::Builder out, const core::JobAssigned& in) {
  out.setJob(in.m_job.m_value);
  out.setAttempt(in.m_attempt);
  out.setEpoch(in.m_epoch);
  out.setEntry(in.m_entry.m_value);
  out.setAgent(in.m_agent.m_value);
  out.setAgentIncarnation(in.m_agent_incarnation);
  out.setReservation(in.m_reservation);
}

core::JobAssigned Get(const schema::JobAssigned::Reader in) {
  return {.m_job = {GetText(in.getJob())},
          .m_attempt = in.getAttempt(),
          .m_epoch = in.getEpoch(),
          .m_entry = {GetText(in.getEntry())},
          .m_agent = {GetText(in.getAgent())},
          .m_agent_incarnation = in.getAgentIncarnation(),
          .m_reservation = in.getReservation()};
}

void Put(schema::JobRequeued::Builder out, const core::JobRequeued& in) {
  out.setJob(in.m_job.m_value);
  out.setAttempt(in.m_attempt);
  out.setEpoch(in.m_epoch);
  out.setCheckpoint(PutData(in.m_checkpoint));
  out.setReason(in.m_reason);
}

core::JobRequeued Get(const schema::JobRequeued::Reader in) {
  return {.m_job = {GetText(in.getJob())},
          .m_attempt = in.getAttempt(),
          .m_epoch = in.getEpoch(),
          .m_checkpoint = GetData(in.getCheckpoint()),
          .m_reason = GetText(in.getReason())};
}

void Put(schema::JobFinished::Builder out, const core::JobFinished& in) {
  out.setJob(in.m_job.m_value);
  out.setAttempt(in.m_attempt);
  out.setEpoch(in.m_epoch);
  out.setOutcome(static_cast<std::uint8_t>(in.m_outcome));
  out.setResult(PutData(in.m_result));
}

core::JobFinished Get(const schema::JobFinished::Reader in) {
  return {.m_job = {GetText(in.getJob())},
          .m_attempt = in.getAttempt(),
          .m_epoch = in.getEpoch(),
          .m_outcome = GetEnum<core::JobOutcome>(in.getOutcome(), core::JobOutcome{4}),
          .m_result = GetData(in.getResult())};
}

void Put(schema::JobCancelled::Builder out, const core::JobCancelled& in) {
  out.setJob(in.m_job.m_value);
  out.setEntry(in.m_entry.m_value);
}

core::JobCancelled Get(const schema::JobCancelled::Reader in) {
  return {.m_job = {GetText(in.getJob())}, .m_entry = {GetText(in.getEntry())}};
}

void Put(schema::ShardClaimed::Builder out, const core::ShardClaimed& in) {
  out.setShard(in.m_shard);
  out.setEpoch(in.m_epoch);
  out.setEntry(in.m_entry.m_value);
  out.setIncarnation(in.m_incarnation);
}

core::ShardClaimed Get(const schema::ShardClaimed::Reader in) {
  return {.m_shard = in.getShard(),
          .m_epoch = in.getEpoch(),
          .m_entry = {GetText(in.getEntry())},
          .m_incarnation = in.getIncarnation()};
}

void Put(schema::ShardReleased::Builder out, const core::ShardReleased& in) {
  out.setShard(in.m_shard);
  out.setEpoch(in.m_epoch);
  out.setEntry(in.m_entry.m_value);
}

core::ShardReleased Get(const schema::ShardReleased::Reader in) {
  return {.m_shard = in.getShard(), .m_epoch = in.getEpoch(), .m_entry = {GetText(in.getEntry())}};
}

void Put(schema::JobSnapshot::Builder out, const core::JobSnapshot& in) {
  Put(out.initState(), in.m_state);
  out.setAsOf(in.m_as_of);
}

core::JobSnapshot Get(const schema::JobSnapshot::Reader in) {
  return {.m_state = Get(in.getState()), .m_as_of = in.getAsOf()};
}

void Put(schema::ClassPut::Builder out, const core::ClassPut& in) {
  Put(out.initSpec(), in.m_spec);
  out.setBaseRevision(in.m_base_revision);
  out.setOperator(in.m_operator);
  out.setChangeId(in.m_change_id);
  out.setWall(in.m_wall);
}

core::ClassPut Get(const schema::ClassPut::Reader in) {
  return {.m_spec = Get(in.getSpec()),
          .m_base_revision = in.getBaseRevision(),
          .m_operator = GetText(in.getOperator()),
          .m_change_id = GetText(in.getChangeId()),
          .m_wall = in.getWall()};
}

void Put(schema::ClassRemoved::Builder out, const core::ClassRemoved& in) {
  out.setName(in.m_name.m_value);
  out.setBaseRevision(in.m_base_revision);
  out.setOperator(in.m_operator);
  out.setChangeId(in.m_change_id);
  out.setWall(in.m_wall);
}

core::ClassRemoved Get(const schema::ClassRemoved::Reader in) {
  return {.m_name = {GetText(in.getName())},
          .m_base_revision = in.getBaseRevision(),
          .m_operator = GetText(in.getOperator()),
          .m_change_id = GetText(in.getChangeId()),
          .m_wall = in.getWall()};
}

void Put(schema::WorkerDrain::Builder out, const core::WorkerDrain& in) {
  out.setAgent(in.m_agent.m_value);
  out.setDraining(in.m_draining);
  out.setOperator(in.m_operator);
  out.setChangeId(in.m_change_id);
  out.setWall(in.m_wall);
}

core::WorkerDrain Get(const schema::WorkerDrain::Reader in) {
  return {.m_agent = {GetText(in.getAgent())},
          .m_draining = in.getDraining(),
          .m_operator = GetText(in.getOperator()),
          .m_change_id = GetText(in.getChangeId()),
          .m_wall = in.getWall()};
}

void Put(schema::WatchUpdated::Builder out, const core::WatchUpdated& in) {
  out.setTopic(in.m_topic.m_value);
  out.setUpdateId(in.m_update_id);
  out.setValue(PutData(in.m_value));
}

core::WatchUpdated Get(const schema::WatchUpdated::Reader in) {
  return {.m_topic = {GetText(in.getTopic())},
          .m_update_id = GetText(in.getUpdateId()),
          .m_value = GetData(in.getValue())};
}

void Put(schema::EntryInfo::Builder out, const core::EntryAlive& in) {
  out.setEntry(in.m_entry.m_value);
  out.setIncarnation(in.m_incarnation);
  out.setRpcAddress(in.m_rpc_address);
  out.setHttpAddress(in.m_http_address);
  out.setLeaving(in.m_leaving);
}

core::EntryAlive GetEntryAlive(const schema::EntryInfo::Reader in) {
  return {.m_entry = {GetText(in.getEntry())},
          .m_incarnation = in.getIncarnation(),
          .m_rpc_address = GetText(in.getRpcAddress()),
          .m_http_address = GetText(in.getHttpAddress()),
          .m_leaving = in.getLeaving()};
}

namespace {

void Put(schema::LogRecord::Builder out, const core::LogRecord& in) {
  std::visit(
      Overloaded{[&](const core::JobAccepted& r) { wire::Put(out.initJobAccepted(), r); },
                 [&](const core::JobAssigned& r) { wire::Put(out.initJobAssigned(), r); },
                 [&](const core::JobRequeued& r) { wire::Put(out.initJobRequeued(), r); },
                 [&](const core::JobFinished& r) { wire::Put(out.initJobFinished(), r); },
                 [&](const core::JobCancelled& r) { wire::Put(out.initJobCancelled(), r); },
                 [&](const core::ShardClaimed& r) { wire::Put(out.initShardClaimed(), r); },
                 [&](const core::ShardReleased& r) { wire::Put(out.initShardReleased(), r); },
                 [&](const core::JobSnapshot& r) { wire::Put(out.initJobSnapshot(), r); },
                 [&](const core::ClassPut& r) { wire::Put(out.initClassPut(), r); },
                 [&](const core::ClassRemoved& r) { wire::Put(out.initClassRemoved(), r); },
                 [&](const core::WorkerDrain& r) { wire::Put(out.initWorkerDrain(), r); },
                 [&](const core::WatchUpdated& r) { wire::Put(out.initWatchUpdated(), r); },
                 [&](const core::EntryAlive& r) { wire::Put(out.initEntryAlive(), r); }},
      in);
}

core::LogRecord Get(const schema::LogRecord::Reader in) {
  switch (in.which()) {
    case schema::LogRecord::JOB_ACCEPTED:
      return wire::Get(in.getJobAccepted());
    case schema::LogRecord::JOB_ASSIGNED:
      return wire::Get(in.getJobAssigned());
    case schema::LogRecord::JOB_REQUEUED:
      return wire::Get(in.getJobRequeued());
    case schema::LogRecord::JOB_FINISHED:
      return wire::Get(in.getJobFinished());
    case schema::LogRecord::JOB_CANCELLED:
      return wire::Get(in.getJobCancelled());
    case schema::LogRecord::SHARD_CLAIMED:
      return wire::Get(in.getShardClaimed());
    case schema::LogRecord::SHARD_RELEASED:
      return wire::Get(in.getShardReleased());
    case schema::LogRecord::JOB_SNAPSHOT:
      return wire::Get(in.getJobSnapshot());
    case schema::LogRecord::CLASS_PUT:
      return wire::Get(in.getClassPut());
    case schema::LogRecord::CLASS_REMOVED:
      return wire::Get(in.getClassRemoved());
    case schema::LogRecord::WORKER_DRAIN:
      return wire::Get(in.getWorkerDrain());
    case schema::LogRecord::WATCH_UPDATED:
      return wire::Get(in.getWatchUpdated());
    case schema::LogRecord::ENTRY_ALIVE:
      return wire::GetEntryAlive(in.getEntryAlive());
  }
  KJ_FAIL_REQUIRE("unknown record type");
}

}  // namespace

std::string EncodeBatch(const core::LogBatch& batch) {
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<schema::LogBatch>();
  out.setVersion(kWireVersion);
  out.setBatchId(batch.m_batch_id);
  out.setEntry(batch.m_entry.m_value);
  auto records = out.initRecords(ListSize(batch.m_records));
  for (unsigned i = 0; i < records.size(); ++i) Put(records[i], batch.m_records[i]);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

core::Result<core::LogBatch> DecodeBatch(const std::string_view bytes) {
  core::LogBatch batch;
  auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(kj::ArrayPtr<const kj::byte>(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader reader(
        stream, {.traversalLimitInWords = kMaxMessageWords, .nestingLimit = 16});
    const auto in = reader.getRoot<schema::LogBatch>();
    batch.m_batch_id = GetText(in.getBatchId());
    batch.m_entry = {GetText(in.getEntry())};
    RequireListSize(in.getRecords().size());
    batch.m_records.reserve(in.getRecords().size());
    for (const auto record : in.getRecords()) batch.m_records.push_back(Get(record));
  });
  KJ_IF_MAYBE (exception, failure) {
    return core::Fail({.m_kind = core::ErrorKind::kBadMessage,
                       .m_message = std::string{"cannot decode a log batch: "} +
                                    exception->getDescription().cStr() +
                                    "; upgrade this process or check what writes to the stream"});
  }
  return batch;
}

}  // namespace ebonypin::wire
