/// Fuzzes the decoder of log batches together with the folds that apply them.
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "ebonypin/core/config_table.h"
#include "ebonypin/core/job_table.h"
#include "ebonypin/wire/record_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ebonypin;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto batch = core::Capture([&] { return wire::DecodeBatch(bytes); });
  if (!batch.Ok()) return 0;
  core::JobTable jobs;
  std::vector<core::JobEvent> events;
  core::ConfigTable config;
  std::vector<core::AuditEntry> changes;
  core::Apply(jobs, 1, *batch.m_value, events);
  core::Apply(config, 1, *batch.m_value, changes);
  return 0;
}
