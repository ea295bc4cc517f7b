/// Command-line client for operators and callers.
#include <gflags/gflags.h>

#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "commands.h"

DECLARE_bool(help);

namespace {

/// Returns 128 random bits in hexadecimal.
std::string NewId() {
  std::random_device source;
  std::ostringstream text;
  text << std::hex;
  for (int i = 0; i < 4; ++i) {
    text.width(8);
    text.fill('0');
    text << source();
  }
  return text.str();
}

}  // namespace

int main(int argc, char** argv) {
  namespace ctl = ebonypin::ctl;
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  const std::vector<std::string> words(argv + 1, argv + argc);
  if (FLAGS_help || words == std::vector<std::string>{"help"}) {
    std::cout << ctl::HelpFor(FLAGS_help ? words : std::vector<std::string>{});
    return ctl::kExitOk;
  }
  const auto match = ctl::MatchCommand(words, ctl::SetFlags());
  if (!match.m_error.empty()) {
    std::cerr << "error: " << match.m_error << '\n';
    return ctl::kExitUsage;
  }
  const auto options = ebonypin::core::Capture([] { return ctl::OptionsFromFlags(); });
  if (!options.Ok()) {
    std::cerr << "error: " << options.m_error->m_message << '\n';
    return ctl::kExitBadInput;
  }
  ctl::ApiClient client(options.m_value->m_entries);
  ctl::Context context{
      .m_options = *options.m_value,
      .m_client = client,
      .m_out = std::cout,
      .m_err = std::cerr,
      .m_new_id = NewId,
      .m_sleep = [](const ebonypin::core::Duration time) { std::this_thread::sleep_for(time); }};
  return match.m_command->m_run(context, match.m_arguments);
}
