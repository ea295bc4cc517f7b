#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <variant>

#include "ebonypin/wire/fleet_codec.h"
#include "ebonypin/wire/message_codec.h"
#include "ebonypin/wire/record_codec.h"
#include "samples.h"

namespace ebonypin::wire {
namespace {

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(EveryMessageKeepsEveryField);
  CPPUNIT_TEST(EveryRecordKeepsEveryField);
  CPPUNIT_TEST(StoredRecordsOfStepJobsKeepEveryField);
  CPPUNIT_TEST(AnUnsetDeadlineStaysUnset);
  CPPUNIT_TEST(DamagedBytesAreRefusedWithoutACrash);
  CPPUNIT_TEST(AnUnknownEnumerationValueIsRefused);
  CPPUNIT_TEST(AnOverlongListIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a field that is forgotten or swapped in the codec.
  void EveryMessageKeepsEveryField() {
    const auto samples = SampleMessages();
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<core::Message>, samples.size());
    for (const auto& sample : samples) {
      const auto decoded = core::Capture([&] { return DecodeMessage(EncodeMessage(sample)); });
      CPPUNIT_ASSERT(decoded.Ok());
      CPPUNIT_ASSERT(sample == *decoded.m_value);
    }
  }

  /// Guards against a record that changes when a newly started process replays it.
  void EveryRecordKeepsEveryField() {
    const core::LogBatch batch{
        .m_batch_id = "b-1", .m_entry = {"entry-1"}, .m_records = SampleRecords()};
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<core::LogRecord>, batch.m_records.size());
    const auto decoded = core::Capture([&] { return DecodeBatch(EncodeBatch(batch)); });
    CPPUNIT_ASSERT(decoded.Ok());
    CPPUNIT_ASSERT(batch == *decoded.m_value);
  }

  /// Guards against a new coordinator that restores a job differently from what was accepted.
  void StoredRecordsOfStepJobsKeepEveryField() {
    const auto job = core::Capture([] { return DecodeJobSpec(Encode(SampleStepJob())); });
    CPPUNIT_ASSERT(job.Ok() && *job.m_value == SampleStepJob());
    const auto progress = core::Capture([] { return DecodeJobProgress(Encode(SampleProgress())); });
    CPPUNIT_ASSERT(progress.Ok() && *progress.m_value == SampleProgress());
    const core::fleet::MemberRecord member{.m_agent = {"agent-1"}, .m_rpc_address = "127.0.0.1:1"};
    const auto decoded = core::Capture([&] { return DecodeMember(Encode(member)); });
    CPPUNIT_ASSERT(decoded.Ok() && *decoded.m_value == member);
    const core::fleet::ImagePairsRecord pairs{
        .m_pairs = {{.m_serving = {"s"}, .m_filling = {"f"}, .m_growth = 0.5, .m_idle_ms = 4.0}}};
    const auto learned = core::Capture([&] { return DecodeImagePairs(Encode(pairs)); });
    CPPUNIT_ASSERT(learned.Ok() && *learned.m_value == pairs);
    const core::fleet::SettledRecord settled{.m_epoch = 7};
    const auto epoch = core::Capture([&] { return DecodeSettled(Encode(settled)); });
    CPPUNIT_ASSERT(epoch.Ok() && *epoch.m_value == settled);
    const core::fleet::CoordinatorRecord coordinator{
        .m_epoch = 1, .m_entry = "entry-1", .m_rpc_address = "127.0.0.1:1", .m_incarnation = 2};
    const auto read = core::Capture([&] { return DecodeCoordinator(Encode(coordinator)); });
    CPPUNIT_ASSERT(read.Ok() && *read.m_value == coordinator);
    CPPUNIT_ASSERT(!core::Capture([] { return DecodeJobSpec("\x07garbage"); }).Ok());
  }

  /// Guards against a missing deadline that is read as a deadline of zero.
  void AnUnsetDeadlineStaysUnset() {
    const core::LogBatch batch{.m_records = {core::JobAccepted{}, core::ClassPut{}}};
    const auto decoded = core::Capture([&] { return DecodeBatch(EncodeBatch(batch)); });
    CPPUNIT_ASSERT(decoded.Ok());
    CPPUNIT_ASSERT(batch == *decoded.m_value);
  }

  /// Guards against a process that crashes on a damaged record or message.
  void DamagedBytesAreRefusedWithoutACrash() {
    const auto samples = SampleMessages();
    const auto records =
        EncodeBatch({.m_batch_id = "b-1", .m_entry = {"entry-1"}, .m_records = SampleRecords()});
    const bool held = rc::check("damaged bytes decode or fail", [&] {
      auto message = EncodeMessage(samples[*rc::gen::inRange<std::size_t>(0, samples.size())]);
      auto batch = records;
      for (auto* bytes : {&message, &batch}) {
        const auto changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes; ++i) {
          (*bytes)[*rc::gen::inRange<std::size_t>(0, bytes->size())] = *rc::gen::arbitrary<char>();
        }
        bytes->resize(*rc::gen::inRange<std::size_t>(0, bytes->size() + 1));
      }
      const auto decoded = core::Capture([&] { return DecodeMessage(message); });
      RC_ASSERT(decoded.Ok() || decoded.m_error->m_kind == core::ErrorKind::kBadMessage);
      const auto decoded_batch = core::Capture([&] { return DecodeBatch(batch); });
      RC_ASSERT(decoded_batch.Ok() ||
                decoded_batch.m_error->m_kind == core::ErrorKind::kBadMessage);
    });
    CPPUNIT_ASSERT(held);
  }

  /// Guards against an undefined enumeration value that reaches a switch.
  void AnUnknownEnumerationValueIsRefused() {
    const core::RunReply reply{.m_kind = static_cast<core::AnswerKind>(200)};
    const auto decoded = core::Capture([&] { return DecodeMessage(EncodeMessage(reply)); });
    CPPUNIT_ASSERT(!decoded.Ok());
    CPPUNIT_ASSERT(decoded.m_error->m_kind == core::ErrorKind::kBadMessage);
  }

  /// Guards against memory use far beyond the size of a message, a fault found by fuzzing: empty
  /// list elements take no space on the wire.
  void AnOverlongListIsRefused() {
    core::HeartbeatReply reply;
    reply.m_grants.resize(kMaxListElements + 1);
    const auto decoded = core::Capture([&] { return DecodeMessage(EncodeMessage(reply)); });
    CPPUNIT_ASSERT(!decoded.Ok());
    CPPUNIT_ASSERT(decoded.m_error->m_kind == core::ErrorKind::kBadMessage);
    reply.m_grants.resize(kMaxListElements);
    CPPUNIT_ASSERT(core::Capture([&] { return DecodeMessage(EncodeMessage(reply)); }).Ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace
}  // namespace ebonypin::wire
