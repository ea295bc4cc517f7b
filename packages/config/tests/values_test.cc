#include "ebonypin/config/values.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace ebonypin::config {
namespace {

using namespace std::chrono_literals;

class ValuesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ValuesTest);
  CPPUNIT_TEST(EachUnitHasItsFactor);
  CPPUNIT_TEST(OtherFormatsAreRejected);
  CPPUNIT_TEST(FormattedValuesParseToTheSameValue);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a value that is read in the wrong unit.
  void EachUnitHasItsFactor() {
    CPPUNIT_ASSERT(ParseDuration("7us") == 7us);
    CPPUNIT_ASSERT(ParseDuration("200ms") == 200ms);
    CPPUNIT_ASSERT(ParseDuration("2s") == 2s);
    CPPUNIT_ASSERT(ParseDuration("20min") == 20min);
    CPPUNIT_ASSERT(ParseDuration("24h") == 24h);
    CPPUNIT_ASSERT(ParseMemory("64MB") == 64);
    CPPUNIT_ASSERT(ParseMemory("60GB") == 61440);
    CPPUNIT_ASSERT(ParseRate("20/s") == 20.0);
    CPPUNIT_ASSERT(ParseRate("300/min") == 5.0);
    CPPUNIT_ASSERT(ParseRate("7200/h") == 2.0);
    CPPUNIT_ASSERT(ParseRate("0.5/s") == 0.5);
  }

  /// Guards against values that are read in part or that overflow.
  void OtherFormatsAreRejected() {
    for (const auto* const text : {"", "2", "s", "2 s", "2sec", "-2s", "+2s", "1.5s", "2S",
                                   "9223372036854775808us", "5124095577h"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseDuration(text));
    }
    for (const auto* const text : {"", "64", "64mb", "64KB", "-64MB", "18014398509481984GB"})
      CPPUNIT_ASSERT_MESSAGE(text, !ParseMemory(text));
    for (const auto* const text : {"", "20", "/s", "0/s", "-1/s", "20/d", "nan/s", "inf/s", "2x/s"})
      CPPUNIT_ASSERT_MESSAGE(text, !ParseRate(text));
    for (const auto* const text : {"", "a b", "a/b", "a\n", "\xc3\xa9"})
      CPPUNIT_ASSERT_MESSAGE(text, !IsName(text));
    CPPUNIT_ASSERT(IsName(std::string(64, 'a')) && !IsName(std::string(65, 'a')));
  }

  /// Guards against targets that change when they are printed and applied again.
  void FormattedValuesParseToTheSameValue() {
    CPPUNIT_ASSERT_EQUAL(std::string{"200ms"}, FormatDuration(200ms));
    CPPUNIT_ASSERT_EQUAL(std::string{"90s"}, FormatDuration(90s));
    CPPUNIT_ASSERT_EQUAL(std::string{"2min"}, FormatDuration(120s));
    CPPUNIT_ASSERT(rc::check([] {
      const core::Duration duration{*rc::gen::inRange<std::int64_t>(0, 1LL << 50)};
      RC_ASSERT(ParseDuration(FormatDuration(duration)) == duration);
    }));
    CPPUNIT_ASSERT(rc::check([] {
      const double rate = *rc::gen::inRange(1, 1'000'000) / 997.0;
      RC_ASSERT(ParseRate(FormatRate(rate)) == rate);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValuesTest);

}  // namespace
}  // namespace ebonypin::config
