#include "fleet_convert.h"

#include "convert.h"

namespace ebonypin::wire {
namespace {

template <typename T>
std::vector<T> GetNumbers(const typename capnp::List<T>::Reader& in) {
  RequireListSize(in.size());
  std::vector<T> list;
  list.reserve(in.size());
  for (const auto number : in) list.push_back(number);
  return list;
}

template <typename T>
void PutNumbers(typename capnp::List<T>::Builder out, const std::vector<T>& in) {
  for (unsigned i = 0; i < out.size(); ++i) out.set(i, in[i]);
}

std::vector<std::string> GetTexts(const capnp::List<capnp::Text>::Reader in) {
  RequireListSize(in.size());
  std::vector<std::string> list;
  list.reserve(in.size());
  for (const auto text : in) list.push_back(GetText(text));
  return list;
}

}  // namespace

void Put(schema::fleet::StepSpec::Builder out, const core::fleet::StepSpec& in) {
  out.setCount(in.m_count);
  out.setCpuMillis(in.m_size.m_cpu_millis);
  out.setMemoryMb(in.m_size.m_memory_mb);
  out.setAccelerators(in.m_size.m_accelerators);
  out.setEstimateUs(in.m_estimate.count());
  PutNumbers<std::uint32_t>(out.initAfter(ListSize(in.m_after)), in.m_after);
  out.setRequiredLabel(in.m_required_label);
  out.setDataRack(in.m_data_rack);
  out.setImage(in.m_image.m_value);
  out.setLatencyTargetUs(in.m_latency_target.count());
  out.setMaxPerWorker(in.m_max_per_worker);
  out.setMayBeUnavailable(in.m_may_be_unavailable);
  out.setCheckpointing(in.m_checkpointing);
  out.setGang(in.m_gang);
  out.setSameRack(in.m_same_rack);
  out.setSpeculative(in.m_speculative);
  out.setLongRunning(in.m_long_running);
  out.setFills(in.m_fills);
}

core::fleet::StepSpec Get(const schema::fleet::StepSpec::Reader in) {
  return {.m_count = in.getCount(),
          .m_size = {.m_cpu_millis = in.getCpuMillis(),
                     .m_memory_mb = in.getMemoryMb(),
                     .m_accelerators = in.getAccelerators()},
          .m_estimate = core::Duration{in.getEstimateUs()},
          .m_after = GetNumbers<std::uint32_t>(in.getAfter()),
          .m_required_label = GetText(in.getRequiredLabel()),
          .m_data_rack = GetText(in.getDataRack()),
          .m_image = {GetText(in.getImage())},
          .m_latency_target = core::Duration{in.getLatencyTargetUs()},
          .m_max_per_worker = in.getMaxPerWorker(),
          .m_may_be_unavailable = in.getMayBeUnavailable(),
          .m_checkpointing = in.getCheckpointing(),
          .m_gang = in.getGang(),
          .m_same_rack = in.getSameRack(),
          .m_speculative = in.getSpeculative(),
          .m_long_running = in.getLongRunning(),
          .m_fills = in.getFills()};
}

void Put(schema::fleet::JobSpec::Builder out, const core::fleet::JobSpec& in) {
  out.setId(in.m_id.m_value);
  out.setQueue(in.m_policy.m_queue.m_value);
  out.setService(in.m_policy.m_service.m_value);
  out.setPriority(in.m_policy.m_priority);
  out.setAttempts(in.m_policy.m_attempts);
  out.setStretch(in.m_policy.m_stretch);
  out.setObjectiveUs(in.m_policy.m_objective.count());
  out.setAdvised(in.m_policy.m_advised);
  out.setAdviceCallUs(in.m_policy.m_advice_call_time.count());
  out.setAdviceWorkerUs(in.m_policy.m_advice_worker_time.count());
  out.setPayload(PutData(in.m_payload));
  PutList(out.initSteps(ListSize(in.m_steps)), in.m_steps);
  out.setTimes(in.m_times);
  out.setFirstDue(in.m_first_due);
  out.setIntervalMs(in.m_interval_ms);
}

core::fleet::JobSpec Get(const schema::fleet::JobSpec::Reader in) {
  return {.m_id = {GetText(in.getId())},
          .m_policy = {.m_queue = {GetText(in.getQueue())},
                       .m_service = {GetText(in.getService())},
                       .m_priority = in.getPriority(),
                       .m_attempts = in.getAttempts(),
                       .m_stretch = in.getStretch(),
                       .m_objective = core::Duration{in.getObjectiveUs()},
                       .m_advised = in.getAdvised(),
                       .m_advice_call_time = core::Duration{in.getAdviceCallUs()},
                       .m_advice_worker_time = core::Duration{in.getAdviceWorkerUs()}},
          .m_payload = GetData(in.getPayload()),
          .m_steps = GetList<core::fleet::StepSpec>(in.getSteps()),
          .m_times = in.getTimes(),
          .m_first_due = in.getFirstDue(),
          .m_interval_ms = in.getIntervalMs()};
}

void Put(schema::fleet::TaskRef::Builder out, const core::fleet::TaskRef& in) {
  out.setJob(in.m_job.m_value);
  out.setOccurrence(in.m_occurrence);
  out.setStep(in.m_step);
  out.setIndex(in.m_index);
}

core::fleet::TaskRef Get(const schema::fleet::TaskRef::Reader in) {
  return {.m_job = {GetText(in.getJob())},
          .m_occurrence = in.getOccurrence(),
          .m_step = in.getStep(),
          .m_index = in.getIndex()};
}

void Put(schema::fleet::WorkerInfo::Builder out, const core::fleet::WorkerInfo& in) {
  out.setId(in.m_id.m_value);
  out.setBorn(in.m_born);
  out.setService(in.m_service.m_value);
  out.setMachine(in.m_machine);
  out.setDomain(in.m_domain);
  out.setCpuMillis(in.m_capacity.m_cpu_millis);
  out.setMemoryMb(in.m_capacity.m_memory_mb);
  out.setAccelerators(in.m_capacity.m_accelerators);
  auto labels = out.initLabels(ListSize(in.m_labels));
  for (unsigned i = 0; i < labels.size(); ++i) labels.set(i, in.m_labels[i]);
  out.setRack(in.m_rack);
  out.setDraining(in.m_draining);
  out.setRemainingUs(in.m_remaining.count());
  out.setReachable(in.m_reachable);
}

core::fleet::WorkerInfo Get(const schema::fleet::WorkerInfo::Reader in) {
  return {.m_id = {GetText(in.getId())},
          .m_born = in.getBorn(),
          .m_service = {GetText(in.getService())},
          .m_machine = GetText(in.getMachine()),
          .m_domain = GetText(in.getDomain()),
          .m_capacity = {.m_cpu_millis = in.getCpuMillis(),
                         .m_memory_mb = in.getMemoryMb(),
                         .m_accelerators = in.getAccelerators()},
          .m_labels = GetTexts(in.getLabels()),
          .m_rack = GetText(in.getRack()),
          .m_draining = in.getDraining(),
          .m_remaining = core::Duration{in.getRemainingUs()},
          .m_reachable = in.getReachable()};
}

void Put(schema::fleet::RunStatus::Builder out, const core::fleet::RunStatus& in) {
  Put(out.initTask(), in.m_task);
  out.setRun(in.m_run);
  out.setPercent(in.m_percent);
  out.setCheckpoint(PutData(in.m_checkpoint));
  out.setFigure(in.m_figure);
  out.setOrderKnown(in.m_order_known);
}

core::fleet::RunStatus Get(const schema::fleet::RunStatus::Reader in) {
  return {.m_task = Get(in.getTask()),
          .m_run = in.getRun(),
          .m_percent = in.getPercent(),
          .m_checkpoint = GetData(in.getCheckpoint()),
          .m_figure = in.getFigure(),
          .m_order_known = in.getOrderKnown()};
}

void Put(schema::fleet::ImagePair::Builder out, const core::fleet::ImagePair& in) {
  out.setServing(in.m_serving.m_value);
  out.setFilling(in.m_filling.m_value);
  out.setExtraWhenFull(in.m_growth);
  out.setIdleMs(in.m_idle_ms);
}

core::fleet::ImagePair Get(const schema::fleet::ImagePair::Reader in) {
  return {.m_serving = {GetText(in.getServing())},
          .m_filling = {GetText(in.getFilling())},
          .m_growth = in.getExtraWhenFull(),
          .m_idle_ms = in.getIdleMs()};
}

void Put(schema::fleet::RunEnded::Builder out, const core::fleet::RunEnded& in) {
  out.setNumber(in.m_number);
  Put(out.initTask(), in.m_task);
  out.setRun(in.m_run);
  out.setOutcome(static_cast<std::uint8_t>(in.m_outcome));
  out.setCheckpoint(PutData(in.m_checkpoint));
}

core::fleet::RunEnded Get(const schema::fleet::RunEnded::Reader in) {
  return {.m_number = in.getNumber(),
          .m_task = Get(in.getTask()),
          .m_run = in.getRun(),
          .m_outcome = GetEnum(in.getOutcome(), core::fleet::RunOutcome::kAlone),
          .m_checkpoint = GetData(in.getCheckpoint())};
}

void Put(schema::fleet::CrashedRun::Builder out, const core::fleet::CrashedRun& in) {
  out.setBorn(in.m_born);
  Put(out.initTask(), in.m_task);
  out.setRun(in.m_run);
  out.setAgeUs(in.m_age.count());
}

core::fleet::CrashedRun Get(const schema::fleet::CrashedRun::Reader in) {
  return {.m_born = in.getBorn(),
          .m_task = Get(in.getTask()),
          .m_run = in.getRun(),
          .m_age = core::Duration{in.getAgeUs()}};
}

void Put(schema::fleet::AgentReport::Builder out, const core::fleet::AgentReport& in) {
  out.setAgent(in.m_agent.m_value);
  out.setRpcAddress(in.m_rpc_address);
  out.setEpoch(in.m_epoch);
  out.setNumber(in.m_number);
  out.setSession(in.m_session);
  out.setLastOrder(in.m_last_order);
  out.setRunsKnown(in.m_runs_known);
  Put(out.initWorker(), in.m_worker);
  PutList(out.initRuns(ListSize(in.m_runs)), in.m_runs);
  PutList(out.initEnds(ListSize(in.m_ends)), in.m_ends);
  PutList(out.initCrashed(ListSize(in.m_crashed)), in.m_crashed);
  out.setMoreEnds(!in.m_ends_complete);
}

core::fleet::AgentReport Get(const schema::fleet::AgentReport::Reader in) {
  return {.m_agent = {GetText(in.getAgent())},
          .m_rpc_address = GetText(in.getRpcAddress()),
          .m_epoch = in.getEpoch(),
          .m_number = in.getNumber(),
          .m_session = in.getSession(),
          .m_last_order = in.getLastOrder(),
          .m_runs_known = in.getRunsKnown(),
          .m_worker = Get(in.getWorker()),
          .m_runs = GetList<core::fleet::RunStatus>(in.getRuns()),
          .m_ends = GetList<core::fleet::RunEnded>(in.getEnds()),
          .m_crashed = GetList<core::fleet::CrashedRun>(in.getCrashed()),
          .m_ends_complete = !in.getMoreEnds()};
}

void Put(schema::fleet::AgentReportReply::Builder out, const core::fleet::AgentReportReply& in) {
  out.setAccepted(in.m_accepted);
  out.setEpoch(in.m_epoch);
  out.setCoordinator(in.m_coordinator);
  out.setSession(in.m_session);
  out.setGrantUs(in.m_grant.count());
  out.setRecordedEnd(in.m_recorded_end);
  out.setWorkerBorn(in.m_worker_born);
  PutList(out.initPairs(ListSize(in.m_pairs)), in.m_pairs);
  out.setRecordedCrash(in.m_recorded_crash);
}

core::fleet::AgentReportReply Get(const schema::fleet::AgentReportReply::Reader in) {
  return {.m_accepted = in.getAccepted(),
          .m_epoch = in.getEpoch(),
          .m_coordinator = GetText(in.getCoordinator()),
          .m_session = in.getSession(),
          .m_grant = core::Duration{in.getGrantUs()},
          .m_recorded_end = in.getRecordedEnd(),
          .m_worker_born = in.getWorkerBorn(),
          .m_pairs = GetList<core::fleet::ImagePair>(in.getPairs()),
          .m_recorded_crash = in.getRecordedCrash()};
}

void Put(schema::fleet::Order::Builder out, const core::fleet::Order& in) {
  out.setNumber(in.m_number);
  out.setKind(static_cast<std::uint8_t>(in.m_kind));
  Put(out.initTask(), in.m_start.m_task);
  out.setRun(in.m_start.m_run);
  out.setPayload(PutData(in.m_start.m_payload));
  out.setCheckpoint(PutData(in.m_start.m_checkpoint));
  out.setTicket(in.m_start.m_ticket);
  out.setLatencyTargetUs(in.m_start.m_latency_target.count());
  out.setFills(in.m_start.m_fills);
  out.setImage(in.m_start.m_image.m_value);
  out.setCpuMillis(in.m_start.m_cpu_millis);
}

core::fleet::Order Get(const schema::fleet::Order::Reader in) {
  return {.m_number = in.getNumber(),
          .m_kind = GetEnum(in.getKind(), core::fleet::OrderKind::kDescribe),
          .m_start = {.m_task = Get(in.getTask()),
                      .m_run = in.getRun(),
                      .m_payload = GetData(in.getPayload()),
                      .m_checkpoint = GetData(in.getCheckpoint()),
                      .m_ticket = GetText(in.getTicket()),
                      .m_latency_target = core::Duration{in.getLatencyTargetUs()},
                      .m_fills = in.getFills(),
                      .m_image = {GetText(in.getImage())},
                      .m_cpu_millis = in.getCpuMillis()}};
}

void Put(schema::fleet::AgentOrders::Builder out, const core::fleet::AgentOrders& in) {
  out.setEpoch(in.m_epoch);
  out.setCoordinator(in.m_coordinator);
  out.setSession(in.m_session);
  PutList(out.initOrders(ListSize(in.m_orders)), in.m_orders);
}

core::fleet::AgentOrders Get(const schema::fleet::AgentOrders::Reader in) {
  return {.m_epoch = in.getEpoch(),
          .m_coordinator = GetText(in.getCoordinator()),
          .m_session = in.getSession(),
          .m_orders = GetList<core::fleet::Order>(in.getOrders())};
}

void Put(schema::fleet::AgentOrdersReply::Builder out, const core::fleet::AgentOrdersReply& in) {
  out.setAccepted(in.m_accepted);
  out.setEpoch(in.m_epoch);
  out.setLastOrder(in.m_last_order);
}

core::fleet::AgentOrdersReply Get(const schema::fleet::AgentOrdersReply::Reader in) {
  return {
      .m_accepted = in.getAccepted(), .m_epoch = in.getEpoch(), .m_last_order = in.getLastOrder()};
}

void Put(schema::fleet::JobCall::Builder out, const core::fleet::JobCall& in) {
  out.setKind(static_cast<std::uint8_t>(in.m_kind));
  Put(out.initJob(), in.m_job);
  out.setWaitUs(in.m_wait.count());
}

core::fleet::JobCall Get(const schema::fleet::JobCall::Reader in) {
  return {.m_kind = GetEnum(in.getKind(), core::fleet::JobCallKind::kPending),
          .m_job = Get(in.getJob()),
          .m_wait = core::Duration{in.getWaitUs()}};
}

void Put(schema::fleet::JobCallReply::Builder out, const core::fleet::JobCallReply& in) {
  out.setStatus(static_cast<std::uint8_t>(in.m_status));
  out.setPhase(static_cast<std::uint8_t>(in.m_phase));
  out.setPending(in.m_pending);
  out.setRetryAfterUs(in.m_retry_after.count());
  out.setEpoch(in.m_epoch);
  out.setCoordinator(in.m_coordinator);
  out.setReason(in.m_reason);
  out.setBasis(static_cast<std::uint8_t>(in.m_basis));
}

core::fleet::JobCallReply Get(const schema::fleet::JobCallReply::Reader in) {
  return {.m_status = GetEnum(in.getStatus(), core::fleet::JobCallStatus::kNotCoordinator),
          .m_phase = GetEnum(in.getPhase(), core::fleet::JobPhase::kCancelled),
          .m_pending = in.getPending(),
          .m_retry_after = core::Duration{in.getRetryAfterUs()},
          .m_epoch = in.getEpoch(),
          .m_coordinator = GetText(in.getCoordinator()),
          .m_reason = GetText(in.getReason()),
          .m_basis = GetEnum(in.getBasis(), core::fleet::AnswerBasis::kRecorded)};
}

void Put(schema::fleet::StepDown::Builder out, const core::fleet::StepDown& in) {
  out.setEpoch(in.m_epoch);
  out.setCoordinator(in.m_coordinator);
}

core::fleet::StepDown Get(const schema::fleet::StepDown::Reader in) {
  return {.m_epoch = in.getEpoch(), .m_coordinator = GetText(in.getCoordinator())};
}

void Put(schema::fleet::StepDownReply::Builder out, const core::fleet::StepDownReply& in) {
  out.setSteppedDown(in.m_stepped_down);
  out.setEpoch(in.m_epoch);
  out.setEarlierGrantsLeftUs(in.m_earlier_grants_left.count());
}

core::fleet::StepDownReply Get(const schema::fleet::StepDownReply::Reader in) {
  return {.m_stepped_down = in.getSteppedDown(),
          .m_epoch = in.getEpoch(),
          .m_earlier_grants_left = core::Duration{in.getEarlierGrantsLeftUs()}};
}

void Put(schema::fleet::TaskProgress::Builder out, const core::fleet::TaskProgress& in) {
  out.setOccurrence(in.m_occurrence);
  out.setStep(in.m_step);
  out.setIndex(in.m_index);
  out.setDone(in.m_done);
  out.setFailures(in.m_failures);
  out.setRun(in.m_run);
  out.setCheckpoint(PutData(in.m_checkpoint));
  PutNumbers<core::fleet::RunNumber>(out.initCrashes(ListSize(in.m_crashes)), in.m_crashes);
}

core::fleet::TaskProgress Get(const schema::fleet::TaskProgress::Reader in) {
  return {.m_occurrence = in.getOccurrence(),
          .m_step = in.getStep(),
          .m_index = in.getIndex(),
          .m_done = in.getDone(),
          .m_failures = in.getFailures(),
          .m_run = in.getRun(),
          .m_checkpoint = GetData(in.getCheckpoint()),
          .m_crashes = GetNumbers<core::fleet::RunNumber>(in.getCrashes())};
}

void Put(schema::fleet::JobProgress::Builder out, const core::fleet::JobProgress& in) {
  out.setJob(in.m_job.m_value);
  out.setCancelled(in.m_cancelled);
  out.setClosed(in.m_closed);
  out.setPhase(static_cast<std::uint8_t>(in.m_phase));
  out.setClosedAt(in.m_closed_at);
  out.setBegun(in.m_begun);
  PutNumbers<std::uint32_t>(out.initClosedOccurrences(ListSize(in.m_closed_occurrences)),
                            in.m_closed_occurrences);
  PutList(out.initTasks(ListSize(in.m_tasks)), in.m_tasks);
  out.setPart(in.m_part);
}

core::fleet::JobProgress Get(const schema::fleet::JobProgress::Reader in) {
  return {.m_job = {GetText(in.getJob())},
          .m_cancelled = in.getCancelled(),
          .m_closed = in.getClosed(),
          .m_phase = GetEnum(in.getPhase(), core::fleet::JobPhase::kCancelled),
          .m_closed_at = in.getClosedAt(),
          .m_begun = in.getBegun(),
          .m_closed_occurrences = GetNumbers<std::uint32_t>(in.getClosedOccurrences()),
          .m_tasks = GetList<core::fleet::TaskProgress>(in.getTasks()),
          .m_part = in.getPart()};
}

void Put(schema::fleet::MemberRecord::Builder out, const core::fleet::MemberRecord& in) {
  out.setAgent(in.m_agent.m_value);
  out.setRpcAddress(in.m_rpc_address);
  out.setWorker(in.m_worker.m_value);
}

core::fleet::MemberRecord Get(const schema::fleet::MemberRecord::Reader in) {
  return {.m_agent = {GetText(in.getAgent())},
          .m_rpc_address = GetText(in.getRpcAddress()),
          .m_worker = {GetText(in.getWorker())}};
}

void Put(schema::fleet::ImagePairsRecord::Builder out, const core::fleet::ImagePairsRecord& in) {
  PutList(out.initPairs(ListSize(in.m_pairs)), in.m_pairs);
}

core::fleet::ImagePairsRecord Get(const schema::fleet::ImagePairsRecord::Reader in) {
  return {.m_pairs = GetList<core::fleet::ImagePair>(in.getPairs())};
}

void Put(schema::fleet::SettledRecord::Builder out, const core::fleet::SettledRecord& in) {
  out.setEpoch(in.m_epoch);
}

core::fleet::SettledRecord Get(const schema::fleet::SettledRecord::Reader in) {
  return {.m_epoch = in.getEpoch()};
}

void Put(schema::fleet::CoordinatorRecord::Builder out, const core::fleet::CoordinatorRecord& in) {
  out.setEpoch(in.m_epoch);
  out.setEntry(in.m_entry);
  out.setRpcAddress(in.m_rpc_address);
  out.setIncarnation(in.m_incarnation);
}

core::fleet::CoordinatorRecord Get(const schema::fleet::CoordinatorRecord::Reader in) {
  KJ_REQUIRE(in.getEpoch() <= core::fleet::kMaxEpoch, "epoch too large", in.getEpoch());
  return {.m_epoch = in.getEpoch(),
          .m_entry = GetText(in.getEntry()),
          .m_rpc_address = GetText(in.getRpcAddress()),
          .m_incarnation = in.getIncarnation()};
}

}  // namespace ebonypin::wire
