#include "api_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fake_entry.h"

namespace ebonypin::ctl {
namespace {

using namespace std::chrono_literals;

FakeAnswer Done(const FakeCall&) { return {200, Json(R"({"answer":"done"})")}; }
FakeAnswer Draining(const FakeCall&) {
  return {503, Json(R"({"answer":"not_run","error":{"kind":"draining","message":"m"}})")};
}
FakeAnswer Unknown(const FakeCall&) { return {504, Json(R"({"answer":"unknown"})")}; }

const ApiRequest kWork{.m_method = "POST",
                       .m_path = "/v1/requests",
                       .m_body = web::json::value::object(),
                       .m_timeout = 300ms};
const ApiRequest kRepeatable{.m_method = "PUT",
                             .m_path = "/v1/classes/a",
                             .m_body = web::json::value::object(),
                             .m_repeat_safe = true,
                             .m_timeout = 300ms};

class ApiClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ApiClientTest);
  CPPUNIT_TEST(WorkThatWasNotSentGoesToTheNextEntry);
  CPPUNIT_TEST(WorkThatWasRefusedHereGoesToTheNextEntry);
  CPPUNIT_TEST(WorkWhoseAnswerIsLostIsNotRepeated);
  CPPUNIT_TEST(UnknownOutcomeIsNotRepeated);
  CPPUNIT_TEST(RepeatableChangeOutlivesALostAnswer);
  CPPUNIT_TEST(RefusalDoesNotHideALostAnswer);
  CPPUNIT_TEST(OtherServersAreRecognised);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against an outage of one entry that stops callers, and against asking it first again.
  void WorkThatWasNotSentGoesToTheNextEntry() {
    FakeEntry entry(Done);
    ApiClient client({ClosedUrl(), entry.Url()});
    CPPUNIT_ASSERT_EQUAL(200, client.Call(kWork).m_status);
    CPPUNIT_ASSERT_EQUAL(entry.Url(), client.Call(kWork).m_entry);
    ApiClient nobody({ClosedUrl(), ClosedUrl()});
    const auto outcome = nobody.Call(kWork);
    CPPUNIT_ASSERT(outcome.m_status == 0 && !outcome.m_maybe_sent);
  }

  /// Guards against a refusal by a leaving entry that reaches the caller.
  void WorkThatWasRefusedHereGoesToTheNextEntry() {
    FakeEntry leaving(Draining);
    FakeEntry entry(Done);
    CPPUNIT_ASSERT_EQUAL(200, ApiClient({leaving.Url(), entry.Url()}).Call(kWork).m_status);
    CPPUNIT_ASSERT_EQUAL(503, ApiClient({leaving.Url(), ClosedUrl()}).Call(kWork).m_status);
  }

  /// Guards against work that runs twice because its answer was lost.
  void WorkWhoseAnswerIsLostIsNotRepeated() {
    const SilentEntry silent;
    FakeEntry entry(Done);
    const auto outcome = ApiClient({silent.Url(), entry.Url()}).Call(kWork);
    CPPUNIT_ASSERT(outcome.m_status == 0 && outcome.m_maybe_sent);
    CPPUNIT_ASSERT(entry.Calls().empty());
  }

  /// Guards against work that runs twice because an entry does not know its outcome.
  void UnknownOutcomeIsNotRepeated() {
    FakeEntry unknown(Unknown);
    FakeEntry entry(Done);
    CPPUNIT_ASSERT_EQUAL(504, ApiClient({unknown.Url(), entry.Url()}).Call(kWork).m_status);
    CPPUNIT_ASSERT(entry.Calls().empty());
  }

  /// Guards against operators who must guess whether a change took effect.
  void RepeatableChangeOutlivesALostAnswer() {
    const SilentEntry silent;
    FakeEntry entry(Done);
    const auto outcome = ApiClient({silent.Url(), entry.Url()}).Call(kRepeatable);
    CPPUNIT_ASSERT_EQUAL(200, outcome.m_status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.Calls().size());
  }

  /// Guards against "not run" when an earlier entry may have acted.
  void RefusalDoesNotHideALostAnswer() {
    const SilentEntry silent;
    FakeEntry leaving(Draining);
    const auto outcome = ApiClient({silent.Url(), leaving.Url()}).Call(kRepeatable);
    CPPUNIT_ASSERT(outcome.m_status == 0 && outcome.m_maybe_sent);
  }

  /// Guards against an answer of another server that is taken for an entry's.
  void OtherServersAreRecognised() {
    FakeEntry other([](const FakeCall&) { return FakeAnswer{200, web::json::value::number(1)}; });
    const auto outcome = ApiClient({other.Url()}).Call(kWork);
    CPPUNIT_ASSERT_EQUAL(0, outcome.m_status);
    CPPUNIT_ASSERT(outcome.m_error.m_message.find("check that --entry") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApiClientTest);

}  // namespace
}  // namespace ebonypin::ctl
