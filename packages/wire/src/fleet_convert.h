/// Conversions between the structs of core/fleet and Cap'n Proto builders and readers; see
/// convert.h.
#pragma once

#include <fleet.capnp.h>

#include "ebonypin/core/fleet/messages.h"
#include "ebonypin/core/fleet/records.h"

namespace ebonypin::wire {

void Put(schema::fleet::StepSpec::Builder out, const core::fleet::StepSpec& in);
[[nodiscard]] core::fleet::StepSpec Get(schema::fleet::StepSpec::Reader in);
void Put(schema::fleet::JobSpec::Builder out, const core::fleet::JobSpec& in);
[[nodiscard]] core::fleet::JobSpec Get(schema::fleet::JobSpec::Reader in);
void Put(schema::fleet::TaskRef::Builder out, const core::fleet::TaskRef& in);
[[nodiscard]] core::fleet::TaskRef Get(schema::fleet::TaskRef::Reader in);
void Put(schema::fleet::WorkerInfo::Builder out, const core::fleet::WorkerInfo& in);
[[nodiscard]] core::fleet::WorkerInfo Get(schema::fleet::WorkerInfo::Reader in);
void Put(schema::fleet::RunStatus::Builder out, const core::fleet::RunStatus& in);
[[nodiscard]] core::fleet::RunStatus Get(schema::fleet::RunStatus::Reader in);
void Put(schema::fleet::ImagePair::Builder out, const core::fleet::ImagePair& in);
[[nodiscard]] core::fleet::ImagePair Get(schema::fleet::ImagePair::Reader in);
void Put(schema::fleet::RunEnded::Builder out, const core::fleet::RunEnded& in);
[[nodiscard]] core::fleet::RunEnded Get(schema::fleet::RunEnded::Reader in);
void Put(schema::fleet::CrashedRun::Builder out, const core::fleet::CrashedRun& in);
[[nodiscard]] core::fleet::CrashedRun Get(schema::fleet::CrashedRun::Reader in);
void Put(schema::fleet::AgentReport::Builder out, const core::fleet::AgentReport& in);
[[nodiscard]] core::fleet::AgentReport Get(schema::fleet::AgentReport::Reader in);
void Put(schema::fleet::AgentReportReply::Builder out, const core::fleet::AgentReportReply& in);
[[nodiscard]] core::fleet::AgentReportReply Get(schema::fleet::AgentReportReply::Reader in);
void Put(schema::fleet::Order::Builder out, const core::fleet::Order& in);
[[nodiscard]] core::fleet::Order Get(schema::fleet::Order::Reader in);
void Put(schema::fleet::AgentOrders::Builder out, const core::fleet::AgentOrders& in);
[[nodiscard]] core::fleet::AgentOrders Get(schema::fleet::AgentOrders::Reader in);
void Put(schema::fleet::AgentOrdersReply::Builder out, const core::fleet::AgentOrdersReply& in);
[[nodiscard]] core::fleet::AgentOrdersReply Get(schema::fleet::AgentOrdersReply::Reader in);
void Put(schema::fleet::JobCall::Builder out, const core::fleet::JobCall& in);
[[nodiscard]] core::fleet::JobCall Get(schema::fleet::JobCall::Reader in);
void Put(schema::fleet::JobCallReply::Builder out, const core::fleet::JobCallReply& in);
[[nodiscard]] core::fleet::JobCallReply Get(schema::fleet::JobCallReply::Reader in);
void Put(schema::fleet::StepDown::Builder out, const core::fleet::StepDown& in);
[[nodiscard]] core::fleet::StepDown Get(schema::fleet::StepDown::Reader in);
void Put(schema::fleet::StepDownReply::Builder out, const core::fleet::StepDownReply& in);
[[nodiscard]] core::fleet::StepDownReply Get(schema::fleet::StepDownReply::Reader in);
void Put(schema::fleet::TaskProgress::Builder out, const core::fleet::TaskProgress& in);
[[nodiscard]] core::fleet::TaskProgress Get(schema::fleet::TaskProgress::Reader in);
void Put(schema::fleet::JobProgress::Builder out, const core::fleet::JobProgress& in);
[[nodiscard]] core::fleet::JobProgress Get(schema::fleet::JobProgress::Reader in);
void Put(schema::fleet::MemberRecord::Builder out, const core::fleet::MemberRecord& in);
[[nodiscard]] core::fleet::MemberRecord Get(schema::fleet::MemberRecord::Reader in);
void Put(schema::fleet::ImagePairsRecord::Builder out, const core::fleet::ImagePairsRecord& in);
[[nodiscard]] core::fleet::ImagePairsRecord Get(schema::fleet::ImagePairsRecord::Reader in);
void Put(schema::fleet::SettledRecord::Builder out, const core::fleet::SettledRecord& in);
[[nodiscard]] core::fleet::SettledRecord Get(schema::fleet::SettledRecord::Reader in);
void Put(schema::fleet::CoordinatorRecord::Builder out, const core::fleet::CoordinatorRecord& in);
[[nodiscard]] core::fleet::CoordinatorRecord Get(schema::fleet::CoordinatorRecord::Reader in);

}  // namespace ebonypin::wire
