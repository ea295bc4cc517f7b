/// Writes one valid message and batch of every type as seed corpus: seeds FOLDER.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include "ebonypin/wire/message_codec.h"
#include "ebonypin/wire/record_codec.h"
#include "samples.h"

namespace {

void WriteFile(const std::filesystem::path& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace ebonypin;
  if (argc != 2) {
    std::cerr << "usage: seeds FOLDER\n";
    return 2;
  }
  const std::filesystem::path folder(argv[1]);
  std::filesystem::create_directories(folder / "message");
  std::filesystem::create_directories(folder / "batch");
  int number = 0;
  for (const auto& message : wire::SampleMessages()) {
    WriteFile(folder / "message" / std::to_string(++number), wire::EncodeMessage(message));
  }
  for (const auto& record : wire::SampleRecords()) {
    WriteFile(
        folder / "batch" / std::to_string(++number),
        wire::EncodeBatch({.m_batch_id = "b", .m_entry = {"entry-1"}, .m_records = {record}}));
  }
  return 0;
}
