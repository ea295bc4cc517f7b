#include "ebonypin/config/class_file.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace ebonypin::config {
namespace {

using namespace std::chrono_literals;
using core::ClassKind;
using core::ClassSpec;

std::string FaultsOf(const std::string& text) {
  const auto classes = core::Capture([&] { return ParseClasses(text, "c.ini"); });
  if (classes.Ok()) return "";
  CPPUNIT_ASSERT(classes.m_error->m_kind == core::ErrorKind::kBadSetting);
  return classes.m_error->m_message;
}

/// Returns the fault of a class that has `lines` besides team and kind.
std::string FaultOfKeys(const std::string& lines, const std::string& kind = "job") {
  return FaultsOf("[class a]\nteam = t\nkind = " + kind + "\n" + lines);
}

void AssertStarts(const std::string& expected, const std::string& text) {
  CPPUNIT_ASSERT_EQUAL(expected, text.substr(0, expected.size()));
}

std::vector<ClassSpec> Example(const std::string& name) {
  const auto classes =
      core::Capture([&] { return LoadClasses(EBONYPIN_SOURCE_DIR "/examples/" + name); });
  CPPUNIT_ASSERT_MESSAGE(classes.Ok() ? "" : classes.m_error->m_message, classes.Ok());
  return *classes.m_value;
}

class ClassFileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClassFileTest);
  CPPUNIT_TEST(ExamplesStateTheirTargets);
  CPPUNIT_TEST(WeightAndPlacementKeysAreRejectedWithTheReason);
  CPPUNIT_TEST(EachFaultNamesLineAndRemedy);
  CPPUNIT_TEST(ContradictoryKeysAreRejected);
  CPPUNIT_TEST(FormattedClassParsesToTheSameClass);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against example files that no longer state the targets of their deployments, and
  /// against keys that are ignored.
  void ExamplesStateTheirTargets() {
    const auto krakow = Example("krakow.ini");
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, krakow.size());
    CPPUNIT_ASSERT(krakow[0] ==
                   (ClassSpec{.m_name = {"preview"},
                              .m_team = {"design"},
                              .m_kind = ClassKind::kRequest,
                              .m_target = {.m_start_within = 50ms, .m_latency = 250ms}}));
    CPPUNIT_ASSERT(krakow[1] ==
                   (ClassSpec{.m_name = {"render"},
                              .m_team = {"production"},
                              .m_kind = ClassKind::kJob,
                              .m_exclusive = true,
                              .m_non_idempotent = true,
                              .m_target = {.m_start_within = 10min, .m_finish_within = 4h}}));
    CPPUNIT_ASSERT(!krakow[2].m_exclusive && !krakow[2].m_target.m_latency &&
                   krakow[2].m_target.m_finish_within > krakow[1].m_target.m_finish_within);
    const auto association = Example("association.ini");
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, association.size());
    CPPUNIT_ASSERT(association[0] ==
                   (ClassSpec{.m_name = {"certificate"},
                              .m_team = {"registry"},
                              .m_kind = ClassKind::kJob,
                              .m_exclusive = true,
                              .m_non_idempotent = true,
                              .m_target = {.m_finish_within = 30s, .m_throughput = 20.0}}));
    CPPUNIT_ASSERT(association[1].m_kind == ClassKind::kRequest &&
                   association[1].m_target == (core::Target{.m_latency = 300ms}));
    CPPUNIT_ASSERT(association[2].m_kind == ClassKind::kWatch &&
                   association[2].m_target ==
                       (core::Target{.m_latency = 2s, .m_percentile = 95.0}));
  }

  /// Guards against weights or placement that operators set and that silently have no effect.
  void WeightAndPlacementKeysAreRejectedWithTheReason() {
    for (const std::string key : {"weight", "priority", "cpu_shares"}) {
      AssertStarts("c.ini:4: '" + key +
                       "' is not accepted: classes have targets only, and the "
                       "scheduler derives how much each class gets",
                   FaultOfKeys(key + " = 10"));
    }
    for (const std::string key : {"placement", "node", "domains", "replicas", "anti_affinity"}) {
      AssertStarts("c.ini:4: '" + key +
                       "' is not accepted: classes have targets only, and the "
                       "scheduler chooses where work runs",
                   FaultOfKeys(key + " = 1"));
    }
  }

  /// Guards against classes that are accepted in part, and messages without file, line or remedy.
  void EachFaultNamesLineAndRemedy() {
    AssertStarts("c.ini:4: unknown key 'latency'; use one of team, kind,",
                 FaultOfKeys("latency = 1s"));
    AssertStarts("c.ini:4: start_within = '2' is refused; write a whole number with a unit",
                 FaultOfKeys("start_within = 2"));
    AssertStarts("c.ini:4: throughput = '20' is refused; write a number with a unit (/s,",
                 FaultOfKeys("throughput = 20"));
    AssertStarts("c.ini:4: exclusive = 'yes' is refused; write true or false",
                 FaultOfKeys("exclusive = yes"));
    AssertStarts("c.ini:3: kind = 'batch' is refused; write request", FaultOfKeys("", "batch"));
    AssertStarts("c.ini:1: section [preview] is refused; write [class NAME]",
                 FaultsOf("[preview]\nteam = t\nkind = job\n"));
    CPPUNIT_ASSERT_EQUAL(std::string{"c.ini:2: class a has no team; add 'team = NAME'\n"
                                     "c.ini:2: class a has no kind; add 'kind = request', 'job' "
                                     "or 'watch'"},
                         FaultsOf("\n[class a]\n"));
    CPPUNIT_ASSERT_EQUAL(std::string{"c.ini:4: section [class a] appears again; merge it with "
                                     "line 1"},
                         FaultOfKeys("[class a]\n"));
    CPPUNIT_ASSERT_EQUAL(std::string{"c.ini:1: no class; add a section [class NAME]"},
                         FaultsOf(""));
  }

  /// Guards against classes whose keys contradict each other.
  void ContradictoryKeysAreRejected() {
    AssertStarts("c.ini:5: latency_p95 is a second latency target",
                 FaultOfKeys("latency_p99 = 2s\nlatency_p95 = 1s"));
    AssertStarts("c.ini:1: start_within 2s is longer than finish_within 1s",
                 FaultOfKeys("start_within = 2s\nfinish_within = 1s"));
    AssertStarts("c.ini:1: an exclusive request class needs 'non_idempotent = true'",
                 FaultOfKeys("exclusive = true", "request"));
    AssertStarts("c.ini:1: a watch runs no work", FaultOfKeys("non_idempotent = true", "watch"));
    CPPUNIT_ASSERT_EQUAL(std::string{},
                         FaultOfKeys("exclusive = true\nnon_idempotent = true", "request"));
  }

  /// Guards against targets that change when the printed form of a class is applied again.
  void FormattedClassParsesToTheSameClass() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto duration = rc::gen::map(rc::gen::inRange<std::int64_t>(1'000, 1LL << 44),
                                         [](const std::int64_t us) { return core::Duration{us}; });
      ClassSpec spec{.m_name = {"a.b-c_1"}, .m_team = {"t"}};
      spec.m_kind = *rc::gen::element(ClassKind::kRequest, ClassKind::kJob);
      spec.m_non_idempotent = *rc::gen::arbitrary<bool>();
      spec.m_exclusive = spec.m_non_idempotent && *rc::gen::arbitrary<bool>();
      auto& target = spec.m_target;
      if (*rc::gen::arbitrary<bool>()) target.m_start_within = *duration;
      if (*rc::gen::arbitrary<bool>())
        target.m_finish_within = target.m_start_within.value_or(0us) + *duration;
      if (*rc::gen::arbitrary<bool>()) {
        target.m_latency = *duration;
        target.m_percentile = *rc::gen::element(95.0, 99.0);
      }
      if (*rc::gen::arbitrary<bool>())
        target.m_throughput = *rc::gen::inRange(1, 1'000'000) / 997.0;
      const auto read = core::Capture([&] { return ParseClasses(FormatClass(spec), "c.ini"); });
      RC_ASSERT(read.Ok());
      RC_ASSERT(*read.m_value == std::vector{spec});
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClassFileTest);

}  // namespace
}  // namespace ebonypin::config
