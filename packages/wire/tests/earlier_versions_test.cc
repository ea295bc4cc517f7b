/// Messages and stored records as earlier versions encoded them.
///
/// The bytes are of the commits named beside them and stay as they are. A field that was added
/// since has its default value in what is read.
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "ebonypin/core/fleet/records.h"
#include "ebonypin/core/messages.h"
#include "ebonypin/wire/fleet_codec.h"
#include "ebonypin/wire/message_codec.h"

namespace ebonypin::wire {
namespace {

using namespace std::chrono_literals;
namespace fleet = core::fleet;

/// AgentReport of e66a1a0.
constexpr std::string_view kReport =
    "000000003c0000000000000001000100010011000000000000000000050005000400000000000000"
    "06000000000000000700000000000000010000000000000005000000000000001100000042000000"
    "11000000620000001400000006000600690000002f000000910000002f0000006167656e742d3100"
    "3132372e302e302e313a330000000000080000000000000009000000000000000a00000000000000"
    "0b00000000000000030000000000000080841e00000000001500000022000000150000002a000000"
    "1500000022000000150000004a0000001900000016000000250000001a000000772d310000000000"
    "6465736b000000006d2d310000000000646f6d61696e2d6100000000000000000500000012000000"
    "05000000120000006100000000000000620000000000000072310000000000000400000003000200"
    "0c000000000000000d00000000000000000000000000f83f0400000002000100110000000a000000"
    "0100000002000000030000000000000001000000320000006a6f622d310000006300000000000000"
    "04000000030002000e000000000000000f0000000000000005000000000000000400000002000100"
    "110000000a0000000100000002000000030000000000000001000000320000006a6f622d31000000"
    "6400000000000000";

/// AgentOrders of e66a1a0.
constexpr std::string_view kOrders =
    "000000001c0000000000000001000100010013000000000000000000020002000100000000000000"
    "0200000000000000050000006200000009000000570000003132372e302e302e313a340000000000"
    "040000000500050003000000000000000201000000000000040000000000000040420f0000000000"
    "ac0d00000000000010000000020001001d0000002a0000001d0000000a0000001d00000012000000"
    "1d000000320000000100000002000000030000000000000001000000320000006a6f622d31000000"
    "706c61746500000063000000000000007400000000000000696d616765000000";

/// JobCall of 702bc52, which did not tell how long its sender waits.
constexpr std::string_view kJobCall =
    "00000000170000000000000001000100010015000000000000000000010001000200000000000000"
    "00000000080005000200000001000000000000000000f03f00000000000000000000000003000000"
    "00000000000000000000000000000000000000000000000000000000000000001100000032000000"
    "1100000012000000110000000a000000110000002a00000011000000070000006a6f622d31000000"
    "71000000000000000000000000000000706c6174650000000000000007000400";

/// JobProgress of e66a1a0.
constexpr std::string_view kProgress =
    "100f5002030307040107110932110d2f1105141f6a6f622d31100251040401110102110301010201"
    "0511010a0163";

/// MemberRecord of e66a1a0.
constexpr std::string_view kMember =
    "10084003110942110962110d227f6167656e742d31ff3132372e302e302e0007313a3307772d31";

/// MemberRecord of 62b2698, which did not store the worker.
constexpr std::string_view kMemberWithoutWorker =
    "100640021105421105627f6167656e742d31ff3132372e302e302e0007313a33";

unsigned Digit(const char digit) {
  return static_cast<unsigned>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
}

std::string Bytes(const std::string_view hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes.push_back(static_cast<char>(Digit(hex[i]) * 16 + Digit(hex[i + 1])));
  }
  return bytes;
}

const fleet::TaskRef kTask{.m_job = {"job-1"}, .m_occurrence = 1, .m_step = 2, .m_index = 3};

class EarlierVersionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EarlierVersionsTest);
  CPPUNIT_TEST(AReportOfAnEarlierAgentIsRead);
  CPPUNIT_TEST(OrdersOfAnEarlierCoordinatorAreRead);
  CPPUNIT_TEST(ACallFromAnEarlierEntryIsRead);
  CPPUNIT_TEST(ProgressOfAnEarlierCoordinatorIsRestored);
  CPPUNIT_TEST(MembersOfEarlierCoordinatorsAreRestored);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a coordinator that misreads the reports of agents that are not upgraded yet,
  /// after a field or an enumerator was renumbered: it would record a run as ended otherwise.
  void AReportOfAnEarlierAgentIsRead() {
    const fleet::AgentReport expected{
        .m_agent = {"agent-1"},
        .m_rpc_address = "127.0.0.1:3",
        .m_epoch = 4,
        .m_number = 5,
        .m_session = 6,
        .m_last_order = 7,
        .m_runs_known = true,
        .m_worker = {.m_id = {"w-1"},
                     .m_born = 8,
                     .m_service = {"desk"},
                     .m_machine = "m-1",
                     .m_domain = "domain-a",
                     .m_capacity = {.m_cpu_millis = 9, .m_memory_mb = 10, .m_accelerators = 11},
                     .m_labels = {"a", "b"},
                     .m_rack = "r1",
                     .m_draining = true,
                     .m_remaining = 2s,
                     .m_reachable = true},
        .m_runs = {{.m_task = kTask,
                    .m_run = 12,
                    .m_percent = 13,
                    .m_checkpoint = "c",
                    .m_figure = 1.5,
                    .m_order_known = false}},
        .m_ends = {{.m_number = 14,
                    .m_task = kTask,
                    .m_run = 15,
                    .m_outcome = fleet::RunOutcome::kAlone,
                    .m_checkpoint = "d"}}};
    const auto decoded = core::Capture([] { return DecodeMessage(Bytes(kReport)); });
    CPPUNIT_ASSERT(decoded.Ok());
    CPPUNIT_ASSERT(core::Message{expected} == *decoded.m_value);
  }

  /// Guards against an agent that carries out an order of a coordinator that is not upgraded yet as
  /// another order: one that describes a run would start it again.
  void OrdersOfAnEarlierCoordinatorAreRead() {
    const fleet::AgentOrders expected{.m_epoch = 1,
                                      .m_coordinator = "127.0.0.1:4",
                                      .m_session = 2,
                                      .m_orders = {{.m_number = 3,
                                                    .m_kind = fleet::OrderKind::kDescribe,
                                                    .m_start = {.m_task = kTask,
                                                                .m_run = 4,
                                                                .m_payload = "plate",
                                                                .m_checkpoint = "c",
                                                                .m_ticket = "t",
                                                                .m_latency_target = 1s,
                                                                .m_fills = true,
                                                                .m_image = {"image"},
                                                                .m_cpu_millis = 3500}}}};
    const auto decoded = core::Capture([] { return DecodeMessage(Bytes(kOrders)); });
    CPPUNIT_ASSERT(decoded.Ok());
    CPPUNIT_ASSERT(core::Message{expected} == *decoded.m_value);
  }

  /// Guards against a call that is held for a time that an earlier entry does not wait: without the
  /// field, the time is zero, which stands for the timeout of that entry.
  void ACallFromAnEarlierEntryIsRead() {
    const fleet::JobCall expected{.m_kind = fleet::JobCallKind::kCancel,
                                  .m_job = {.m_id = {"job-1"},
                                            .m_policy = {.m_queue = {"q"}, .m_priority = 2},
                                            .m_payload = "plate",
                                            .m_times = 3},
                                  .m_wait = {}};
    const auto decoded = core::Capture([] { return DecodeMessage(Bytes(kJobCall)); });
    CPPUNIT_ASSERT(decoded.Ok());
    CPPUNIT_ASSERT(core::Message{expected} == *decoded.m_value);
  }

  /// Guards against tasks that run again after a takeover by an upgraded entry, because it does not
  /// read from the store that they are done.
  void ProgressOfAnEarlierCoordinatorIsRestored() {
    const fleet::JobProgress expected{.m_job = {"job-1"},
                                      .m_cancelled = true,
                                      .m_closed = true,
                                      .m_phase = fleet::JobPhase::kCancelled,
                                      .m_closed_at = 7,
                                      .m_begun = true,
                                      .m_closed_occurrences = {0, 2},
                                      .m_tasks = {{.m_occurrence = 1,
                                                   .m_step = 2,
                                                   .m_index = 3,
                                                   .m_done = true,
                                                   .m_failures = 2,
                                                   .m_run = 5,
                                                   .m_checkpoint = "c"}}};
    const auto decoded = core::Capture([] { return DecodeJobProgress(Bytes(kProgress)); });
    CPPUNIT_ASSERT(decoded.Ok());
    CPPUNIT_ASSERT(expected == *decoded.m_value);
  }

  /// Guards against starts before the grants of an earlier coordinator have ended, because the
  /// members that it stored are not read.
  void MembersOfEarlierCoordinatorsAreRestored() {
    fleet::MemberRecord expected{
        .m_agent = {"agent-1"}, .m_rpc_address = "127.0.0.1:3", .m_worker = {"w-1"}};
    const auto decoded = core::Capture([] { return DecodeMember(Bytes(kMember)); });
    CPPUNIT_ASSERT(decoded.Ok() && *decoded.m_value == expected);
    expected.m_worker = {};
    const auto without = core::Capture([] { return DecodeMember(Bytes(kMemberWithoutWorker)); });
    CPPUNIT_ASSERT(without.Ok() && *without.m_value == expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlierVersionsTest);

}  // namespace
}  // namespace ebonypin::wire
