#include "ebonypin/daemon/events.h"

#include <cppunit/extensions/HelperMacros.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <fstream>
#include <set>
#include <sstream>

namespace ebonypin::daemon {
namespace {

class EventsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventsTest);
  CPPUNIT_TEST(CatalogueListsExactlyTheDefinedEvents);
  CPPUNIT_TEST(NumbersAreUnique);
  CPPUNIT_TEST(FieldsKeepAnEventOnOneLine);
  CPPUNIT_TEST(EventIsLoggedAtItsLevel);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against events that are missing in docs/events.md, and rows of events that no longer
  /// exist.
  void CatalogueListsExactlyTheDefinedEvents() {
    std::string expected;
    for (const auto& event : AllEvents()) {
      expected += fmt::format("| E{} | {} | {} |\n", event.m_number, EventLevelName(event.m_level),
                              event.m_message);
    }
    std::ifstream catalogue(EBONYPIN_SOURCE_DIR "/docs/events.md");
    CPPUNIT_ASSERT(catalogue.good());
    std::string found;
    for (std::string line; std::getline(catalogue, line);) {
      if (!line.starts_with("| E")) continue;
      // Compares number, level and message. The explanation in the last column is free text.
      const auto end = line.rfind(" | ", line.size() - 3);
      CPPUNIT_ASSERT_MESSAGE("no explanation: " + line, end + 3 < line.size() - 2);
      found += line.substr(0, end) + " |\n";
    }
    CPPUNIT_ASSERT_EQUAL(expected, found);
  }

  /// Guards against two events with one number, which an alert cannot tell apart.
  void NumbersAreUnique() {
    std::set<std::uint32_t> numbers;
    for (const auto& event : AllEvents()) {
      CPPUNIT_ASSERT_MESSAGE(std::string{event.m_message}, numbers.insert(event.m_number).second);
    }
  }

  /// Guards against values that look like further fields or lines.
  void FieldsKeepAnEventOnOneLine() {
    CPPUNIT_ASSERT_EQUAL(std::string{R"(E100 process started role=entry slots=8 spaced="a b" )"
                                     R"(assigned="x=1" quoted="a\"b" lines="a\x0aE1" empty="")"},
                         FormatEvent(kProcessStarted, {{"role", "entry"},
                                                       {"slots", 8},
                                                       {"spaced", "a b"},
                                                       {"assigned", "x=1"},
                                                       {"quoted", "a\"b"},
                                                       {"lines", "a\nE1"},
                                                       {"empty", ""}}));
  }

  /// Guards against events that are lost or logged at another level.
  void EventIsLoggedAtItsLevel() {
    std::ostringstream out;
    const auto before = spdlog::default_logger();
    auto logger = std::make_shared<spdlog::logger>(
        "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(out));
    logger->set_pattern("[%l] %v");
    logger->set_level(spdlog::level::warn);
    spdlog::set_default_logger(logger);
    LogEvent(kProcessStarted);
    LogEvent(kStartFailed, {{"reason", "port {} in use"}});
    spdlog::set_default_logger(before);
    CPPUNIT_ASSERT_EQUAL(std::string{"[error] E104 start failed reason=\"port {} in use\"\n"},
                         out.str());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventsTest);

}  // namespace
}  // namespace ebonypin::daemon
