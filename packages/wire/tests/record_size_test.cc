#include "ebonypin/core/fleet/record_size.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "ebonypin/wire/fleet_codec.h"
#include "ebonypin/wire/limits.h"

namespace ebonypin::wire {
namespace {

using namespace core::fleet;  // NOLINT(google-build-using-namespace): the types under test.

/// Text of `size` bytes that packing cannot shorten.
std::string DenseText(const std::size_t size) {
  std::string text(size, 'x');
  for (std::size_t i = 0; i < size; ++i) text[i] = static_cast<char>(1 + (i * 31 + size) % 250);
  return text;
}

/// Size of the record in the store: length of the key, key and encoding.
template <typename Record>
std::size_t StoredBytes(const std::string& key, const Record& record) {
  return 1 + key.size() + Encode(record).size();
}

JobProgress DrawProgress() {
  JobProgress progress{.m_job = {"0123456789abcdef"}, .m_begun = true, .m_part = 7};
  progress.m_closed_occurrences.assign(*rc::gen::inRange(0, 50),
                                       *rc::gen::arbitrary<std::uint32_t>());
  const auto tasks = *rc::gen::inRange(0U, 40U);
  for (std::uint32_t i = 0; i < tasks; ++i) {
    progress.m_tasks.push_back({.m_occurrence = *rc::gen::arbitrary<std::uint32_t>(),
                                .m_step = *rc::gen::arbitrary<std::uint32_t>(),
                                .m_index = i,
                                .m_failures = *rc::gen::arbitrary<std::uint32_t>(),
                                .m_run = *rc::gen::arbitrary<std::uint64_t>(),
                                .m_checkpoint = DenseText(*rc::gen::inRange(0, 3000)),
                                .m_crashes = *rc::gen::arbitrary<std::vector<RunNumber>>()});
  }
  return progress;
}

JobSpec DrawJob() {
  JobSpec job{.m_id = {"0123456789abcdef"},
              .m_policy = {.m_queue = {DenseText(20)}, .m_service = {DenseText(20)}},
              .m_payload = DenseText(*rc::gen::inRange(0, 4000))};
  const auto steps = *rc::gen::inRange(0, 64);
  for (int i = 0; i < steps; ++i) {
    job.m_steps.push_back({.m_count = *rc::gen::arbitrary<std::uint32_t>(),
                           .m_size = {.m_cpu_millis = *rc::gen::arbitrary<std::int64_t>(),
                                      .m_memory_mb = *rc::gen::arbitrary<std::int64_t>(),
                                      .m_accelerators = *rc::gen::arbitrary<std::int64_t>()},
                           .m_after = *rc::gen::arbitrary<std::vector<std::uint32_t>>(),
                           .m_required_label = DenseText(*rc::gen::inRange(0, 200)),
                           .m_data_rack = DenseText(*rc::gen::inRange(0, 200)),
                           .m_image = {DenseText(*rc::gen::inRange(0, 200))}});
  }
  return job;
}

class RecordSizeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordSizeTest);
  CPPUNIT_TEST(NoEncodingIsLargerThanItsBound);
  CPPUNIT_TEST(ThePartWithTheLongestStatesCanBeStoredAndRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against records that the coordinator takes for small enough and the store refuses.
  void NoEncodingIsLargerThanItsBound() {
    CPPUNIT_ASSERT(rc::check("no encoding is larger than its bound", [] {
      const auto progress = DrawProgress();
      RC_ASSERT(StoredBytes(ProgressKey(progress.m_job, 123'456), progress) <=
                MaxRecordBytes(progress));
      const auto job = DrawJob();
      RC_ASSERT(StoredBytes(JobKey(job.m_id), job) <= MaxRecordBytes(job));
      const MemberRecord member{.m_agent = {DenseText(*rc::gen::inRange(0, 99))},
                                .m_rpc_address = DenseText(*rc::gen::inRange(0, 99)),
                                .m_worker = {DenseText(*rc::gen::inRange(0, 99))}};
      RC_ASSERT(StoredBytes(MemberKey(member.m_agent), member) <= MaxRecordBytes(member));
      ImagePairsRecord pairs;
      const auto count = *rc::gen::inRange(0, 100);
      for (int i = 0; i < count; ++i) {
        pairs.m_pairs.push_back({.m_serving = {DenseText(*rc::gen::inRange(0, 99))},
                                 .m_filling = {DenseText(*rc::gen::inRange(0, 99))},
                                 .m_growth = 1.0 / 3,
                                 .m_idle_ms = 1.0 / 7});
      }
      RC_ASSERT(StoredBytes(std::string{kImagePairsKey}, pairs) <= MaxRecordBytes(pairs));
    }));
  }

  /// Guards against a part that the store refuses, or that a successor cannot decode.
  void ThePartWithTheLongestStatesCanBeStoredAndRead() {
    JobProgress progress{.m_job = {"0123456789abcdef"}};
    progress.m_closed_occurrences.assign(kMaxOccurrences, 0xffffffff);
    for (std::uint32_t i = 0; i < kTasksPerPart; ++i) {
      progress.m_tasks.push_back({.m_occurrence = 0xffffffff,
                                  .m_step = 0xffffffff,
                                  .m_index = 0xffffffff,
                                  .m_failures = 0xffffffff,
                                  .m_run = ~RunNumber{0},
                                  .m_checkpoint = DenseText(kMaxCheckpointBytes),
                                  .m_crashes = {~RunNumber{0}, ~RunNumber{0}, ~RunNumber{0}}});
    }
    CPPUNIT_ASSERT(MaxRecordBytes(progress) <= RecordLimits{}.m_record_bytes);
    const auto bytes = Encode(progress);
    const auto decoded = core::Capture([&] { return DecodeJobProgress(bytes); });
    CPPUNIT_ASSERT(decoded.Ok() && *decoded.m_value == progress);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordSizeTest);

}  // namespace
}  // namespace ebonypin::wire
