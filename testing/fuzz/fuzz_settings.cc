/// Fuzzes the parser of settings files.
#include <cstddef>
#include <cstdint>
#include <string>

#include "ebonypin/config/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ebonypin;
  const std::string text(reinterpret_cast<const char*>(data), size);
  (void)core::Capture([&] { return config::ParseSettings(text, "fuzz.ini"); });
  return 0;
}
