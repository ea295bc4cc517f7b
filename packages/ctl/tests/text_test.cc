#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "class_json.h"
#include "commands.h"
#include "table.h"

namespace ebonypin::ctl {
namespace {

using Words = std::vector<std::string>;

class TextTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TextTest);
  CPPUNIT_TEST(CommandLineIsMatched);
  CPPUNIT_TEST(InvalidCommandLineNamesTheRemedy);
  CPPUNIT_TEST(EveryCommandHasHelp);
  CPPUNIT_TEST(EntryAddressesAreValidated);
  CPPUNIT_TEST(TableAlignsAndSanitizesCells);
  CPPUNIT_TEST(ClassRoundTripsThroughJson);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a command line that runs another command than the one named.
  void CommandLineIsMatched() {
    const auto match = MatchCommand({"class", "show", "preview"}, {"json"});
    CPPUNIT_ASSERT_EQUAL(std::string{}, match.m_error);
    CPPUNIT_ASSERT_EQUAL(std::string{"class show"}, match.m_command->m_name);
    CPPUNIT_ASSERT(match.m_arguments == Words{"preview"});
  }

  /// Guards against arguments and flags that are silently ignored.
  void InvalidCommandLineNamesTheRemedy() {
    CPPUNIT_ASSERT_EQUAL(std::string{"no command; see 'ebonypinctl --help'"},
                         MatchCommand({}, {}).m_error);
    CPPUNIT_ASSERT_EQUAL(std::string{"unknown command 'class'; see 'ebonypinctl --help'"},
                         MatchCommand({"class"}, {}).m_error);
    CPPUNIT_ASSERT_EQUAL(
        std::string{"wrong number of arguments; usage: ebonypinctl class show NAME"},
        MatchCommand({"class", "show"}, {}).m_error);
    CPPUNIT_ASSERT_EQUAL(
        std::string{"--follow has no effect on 'status'; see 'ebonypinctl status --help'"},
        MatchCommand({"status"}, {"follow"}).m_error);
  }

  /// Guards against commands and flags that the help does not explain.
  void EveryCommandHasHelp() {
    const auto overview = HelpFor({});
    for (const auto& command : Commands()) {
      CPPUNIT_ASSERT_MESSAGE(command.m_name,
                             overview.find("  " + command.m_name) != std::string::npos);
      for (const auto& flag : command.m_flags)
        CPPUNIT_ASSERT_MESSAGE(flag, !FlagHelp(flag).empty());
    }
    const auto help = HelpFor({"class", "apply"});
    CPPUNIT_ASSERT(help.find("usage: ebonypinctl class apply FILE\n") != std::string::npos);
    CPPUNIT_ASSERT(help.find("  4  revision conflict") != std::string::npos);
  }

  /// Guards against invalid addresses that are only detected on the first call.
  void EntryAddressesAreValidated() {
    const auto parse = [](const std::string& text) {
      return core::Capture([&] { return ParseEntries(text); });
    };
    CPPUNIT_ASSERT(parse("http://127.0.0.1:1,http://127.0.0.1:2").m_value ==
                   (Words{"http://127.0.0.1:1", "http://127.0.0.1:2"}));
    for (const std::string text : {"", "127.0.0.1:1", "http://127.0.0.1", "http://entry:1"})
      CPPUNIT_ASSERT_MESSAGE(text, !parse(text).Ok());
  }

  /// Guards against misaligned columns and against untrusted text that controls the terminal.
  void TableAlignsAndSanitizesCells() {
    CPPUNIT_ASSERT_EQUAL(std::string{"A      B\nzłoty  x\n"},
                         FormatTable({{"A", "B"}, {"złoty", "x"}}));
    CPPUNIT_ASSERT_EQUAL(std::string{"a?b?c\n"}, FormatTable({{"a\nb\x1b"
                                                               "c"}}));
  }

  /// Guards against fields of a class that change when it is sent to an entry and read back.
  void ClassRoundTripsThroughJson() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto duration = rc::gen::map(rc::gen::inRange<std::int64_t>(1, 1LL << 44),
                                         [](const std::int64_t us) { return core::Duration{us}; });
      core::ClassSpec spec{.m_name = {"a"}, .m_team = {"t"}};
      spec.m_kind = *rc::gen::element(core::ClassKind::kRequest, core::ClassKind::kJob,
                                      core::ClassKind::kWatch);
      spec.m_exclusive = *rc::gen::arbitrary<bool>();
      spec.m_non_idempotent = *rc::gen::arbitrary<bool>();
      if (*rc::gen::arbitrary<bool>()) spec.m_target.m_start_within = *duration;
      if (*rc::gen::arbitrary<bool>()) spec.m_target.m_finish_within = *duration;
      if (*rc::gen::arbitrary<bool>()) {
        spec.m_target.m_latency = *duration;
        spec.m_target.m_percentile = *rc::gen::element(95.0, 99.0);
      }
      if (*rc::gen::arbitrary<bool>())
        spec.m_target.m_throughput = *rc::gen::inRange(1, 1'000'000) / 997.0;
      const auto text = ClassToJson(spec).serialize();
      RC_ASSERT(ClassFromJson(web::json::value::parse(text)) == spec);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TextTest);

}  // namespace
}  // namespace ebonypin::ctl
