#include "ebonypin/config/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

#include "setting_keys.h"

namespace ebonypin::config {
namespace {

using namespace std::chrono_literals;

const std::string kEntryText = R"(# an entry
[process]
role = entry
id = entry-1
domain = rack-1
rpc = 127.0.0.1:7101
http = 127.0.0.1:7001
[log]
url = http://127.0.0.1:7400
timeout = 200ms
)";

const std::string kAgentText = R"([process]
role = agent
id = agent-1
domain = rack-1
rpc = 127.0.0.1:7201
seeds = 127.0.0.1:7101, 127.0.0.1:7102
[worker]
url = http://127.0.0.1:7301
cpu_millis = 16000
memory = 60GB
accelerators = 2
[limits]
memory = 128MB
descriptors = 4100
head_bytes = 8192
body_bytes = 4096
head_timeout = 1s
idle_timeout = 2s
body_timeout = 4s
write_timeout = 5s
connections = 32
buffered = 2MB
rpc_connections = 64
)";

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
  return text.replace(at, from.size(), to);
}

/// Returns the faults of `text`, or an empty string when it is accepted.
std::string FaultsOf(const std::string& text, const std::vector<SettingOverride>& overrides = {}) {
  const auto settings = core::Capture([&] { return ParseSettings(text, "f.ini", overrides); });
  if (settings.Ok()) return "";
  CPPUNIT_ASSERT(settings.m_error->m_kind == core::ErrorKind::kBadSetting);
  return settings.m_error->m_message;
}

void AssertStarts(const std::string& expected, const std::string& text) {
  CPPUNIT_ASSERT_EQUAL(expected, text.substr(0, expected.size()));
}

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(EachKeySetsItsField);
  CPPUNIT_TEST(FlagOverridesFile);
  CPPUNIT_TEST(EachFaultIsOneLineWithLocationAndRemedy);
  CPPUNIT_TEST(InvalidValuesAreRejected);
  CPPUNIT_TEST(ReferenceMatchesTheDocumentation);
  CPPUNIT_TEST(TableDefaultsMatchTheCode);
  CPPUNIT_TEST(ExamplesAreAccepted);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against keys that are accepted and then ignored.
  void EachKeySetsItsField() {
    const auto entry = core::Capture([] { return ParseSettings(kEntryText, "f.ini"); });
    CPPUNIT_ASSERT(entry.Ok());
    CPPUNIT_ASSERT(*entry.m_value == (Settings{.m_role = "entry",
                                               .m_id = "entry-1",
                                               .m_domain = "rack-1",
                                               .m_http_address = "127.0.0.1:7001",
                                               .m_rpc_address = "127.0.0.1:7101",
                                               .m_log_url = "http://127.0.0.1:7400",
                                               .m_log_timeout = 200ms}));
    const auto agent = core::Capture([] { return ParseSettings(kAgentText, "f.ini"); });
    CPPUNIT_ASSERT(agent.Ok());
    CPPUNIT_ASSERT(
        *agent.m_value ==
        (Settings{.m_role = "agent",
                  .m_id = "agent-1",
                  .m_domain = "rack-1",
                  .m_rpc_address = "127.0.0.1:7201",
                  .m_seeds = {"127.0.0.1:7101", "127.0.0.1:7102"},
                  .m_worker_url = "http://127.0.0.1:7301",
                  .m_capacity = {.m_cpu_millis = 16000, .m_memory_mb = 61440, .m_accelerators = 2},
                  .m_memory_mb = 128,
                  .m_descriptors = 4100,
                  .m_max_head_bytes = 8192,
                  .m_max_body_bytes = 4096,
                  .m_head_timeout = 1s,
                  .m_idle_timeout = 2s,
                  .m_body_timeout = 4s,
                  .m_write_timeout = 5s,
                  .m_max_connections = 32,
                  .m_max_buffered_mb = 2,
                  .m_max_rpc_connections = 64}));
  }

  /// Guards against a file that overrides the command line, and against unchecked flags.
  void FlagOverridesFile() {
    const auto settings = core::Capture([] {
      return ParseSettings(kEntryText, "f.ini",
                           {{.m_flag = "process_id", .m_value = "entry-2"},
                            {.m_flag = "log_timeout", .m_value = "3s"}});
    });
    CPPUNIT_ASSERT(settings.Ok());
    CPPUNIT_ASSERT_EQUAL(std::string{"entry-2"}, settings.m_value->m_id);
    CPPUNIT_ASSERT(settings.m_value->m_log_timeout == 3s);
    AssertStarts("--log_timeout: '3' is refused; write a whole number with a unit",
                 FaultsOf(kEntryText, {{.m_flag = "log_timeout", .m_value = "3"}}));
  }

  /// Guards against processes that start with wrong settings, and against messages without file,
  /// line or remedy.
  void EachFaultIsOneLineWithLocationAndRemedy() {
    AssertStarts("f.ini:8: unknown section [logs]; use one of [process], [log], [store]",
                 FaultsOf(Replaced(kEntryText, "[log]", "[logs]")));
    CPPUNIT_ASSERT_EQUAL(std::string{"f.ini:11: unknown section [extra]; use one of [process], "
                                     "[log], [store], [advice], [machines], [calls], [worker], "
                                     "[policy], [limits]"},
                         FaultsOf(kEntryText + "[extra]\n"));
    AssertStarts("f.ini:6: unknown key 'rcp' in [process]; use one of role, id,",
                 FaultsOf(Replaced(kEntryText, "rpc =", "rcp =")));
    CPPUNIT_ASSERT_EQUAL(
        std::string{"f.ini:2: key 'rpc' of [process] is missing; add 'rpc = 127.0.0.1:7101' or "
                    "pass --process_rpc"},
        FaultsOf(Replaced(kEntryText, "rpc = 127.0.0.1:7101\n", "")));
    CPPUNIT_ASSERT_EQUAL(std::string{"f.ini:7: key 'memory' of [worker] is missing, role agent "
                                     "needs it; add 'memory = 60GB' or pass --worker_memory"},
                         FaultsOf(Replaced(kAgentText, "memory = 60GB\n", "")));
    CPPUNIT_ASSERT_EQUAL(std::string{"f.ini:4: key 'id' is set again; remove it here or on line 3"},
                         FaultsOf(Replaced(kAgentText, "domain =", "id =\ndomain =")));
    CPPUNIT_ASSERT_EQUAL(
        std::string{"f.ini:3: line cannot be read; write 'key = value' under a [section]"},
        FaultsOf(Replaced(kEntryText, "role = entry", "role entry")));
    // All faults of a file are reported at once.
    const auto two = FaultsOf(Replaced(Replaced(kEntryText, "200ms", "200"), "entry-1", "a b"));
    AssertStarts("f.ini:4: id = 'a b' is refused; write 1 to 64 letters", two);
    AssertStarts("f.ini:10: timeout = '200' is refused; write a whole number with a unit",
                 two.substr(two.find('\n') + 1));
  }

  /// Guards against values that are accepted at the start and fail only while the process serves.
  void InvalidValuesAreRejected() {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"role = entry", "role = server"},
        {"rpc = 127.0.0.1:7101", "rpc = 127.0.0.1"},
        {"rpc = 127.0.0.1:7101", "rpc = 127.0.0.1:0"},
        {"rpc = 127.0.0.1:7101", "rpc = 127.0.0.1:65536"},
        {"rpc = 127.0.0.1:7101", "rpc = 127.0.0.256:7101"},
        {"rpc = 127.0.0.1:7101", "rpc = localhost:7101"},
        {"rpc = 127.0.0.1:7101", "rpc = 0.0.0.0:7101"},
        {"rpc = 127.0.0.1:7101", "rpc = 127.0.0.1:7101\nrpc_listen = 127.0.0.1"},
        {"http://127.0.0.1:7400", "127.0.0.1:7400"},
        {"http://127.0.0.1:7400", "ftp://127.0.0.1:7400"},
        {"200ms", "0.2s"},
        {"200ms", "-200ms"},
        {"200ms", "64MB"},
        {"200ms", "99ms"},
        {"200ms", "61s"},
        {"200ms", "9223372036854775807h"},
        {"200ms", "200ms\nmax_appends_per_second = 0"},
        {"200ms", "200ms\nmax_appends_per_second = 10/s"},
        {"200ms", "200ms\n[worker]\nmemory = 64"},
        {"200ms", "200ms\n[worker]\nmemory = 0MB"},
        {"200ms", "200ms\n[worker]\nslots = 4294967297"},
        {"200ms", "200ms\n[limits]\nmemory = 160"},
        {"200ms", "200ms\n[limits]\nbody_bytes = 4194305"},
        {"200ms", "200ms\n[limits]\nhead_timeout = 0s"},
        {"rpc = 127", "seeds = 127.0.0.1:7101,\nrpc = 127"},
    };
    for (const auto& [from, to] : cases)
      CPPUNIT_ASSERT_MESSAGE(to, !FaultsOf(Replaced(kEntryText, from, to)).empty());
  }

  /// Guards against documentation that differs from what the program accepts.
  void ReferenceMatchesTheDocumentation() {
    std::ifstream stream(EBONYPIN_SOURCE_DIR "/docs/settings.md");
    std::string found;
    for (std::string line; std::getline(stream, line);) {
      if (line.starts_with("|")) found += line + '\n';
    }
    CPPUNIT_ASSERT_EQUAL(SettingsReference(), found);
  }

  /// Guards against a documented default that differs from the one in the code.
  void TableDefaultsMatchTheCode() {
    for (const auto& key : SettingKeys()) {
      if (key.m_default.empty()) continue;
      Settings settings;
      CPPUNIT_ASSERT_MESSAGE(key.m_key, key.m_set(settings, key.m_default));
      CPPUNIT_ASSERT_MESSAGE(key.m_key, settings == Settings{});
    }
  }

  /// Guards against example files that the program no longer accepts.
  void ExamplesAreAccepted() {
    for (const std::string name :
         {"entry.ini", "agent.ini", "fleet_entry.ini", "fleet_agent.ini"}) {
      const auto loaded =
          core::Capture([&] { return LoadSettings(EBONYPIN_SOURCE_DIR "/examples/" + name); });
      CPPUNIT_ASSERT_MESSAGE(loaded.Ok() ? "" : loaded.m_error->m_message, loaded.Ok());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace ebonypin::config
