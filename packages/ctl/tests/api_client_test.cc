#include "api_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fake_entry.h"

namespace ebonypin::ctl {
namespace {

using namespace std::chrono_literals;

FakeResponse Done(const FakeCall&) { return {200, Json(R"({"answer":"done"})")}; }
FakeResponse Draining(const FakeCall&) {
  return {503, Json(R"({"answer":"not_run","error":{"kind":"draining","message":"m"}})")};
}
FakeResponse Unknown(const FakeCall&) { return {504, Json(R"({"answer":"unknown"})")}; }

const ApiRequest kWork{.m_method = "POST",
                       .m_path = "/v1/requests",
                       .m_body = web::json::value::object(),
                       .m_timeout = 300ms};
const ApiRequest kRetrySafeChange{.m_method = "PUT",
                                  .m_path = "/v1/classes/a",
                                  .m_body = web::json::value::object(),
                                  .m_retry_safe = true,
                                  .m_timeout = 300ms};

class ApiClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ApiClientTest);
  CPPUNIT_TEST(WorkThatWasNotSentFailsOverToTheNextEntry);
  CPPUNIT_TEST(WorkRefusedByADrainingEntryFailsOverToTheNextEntry);
  CPPUNIT_TEST(WorkWithALostResponseIsNotRetried);
  CPPUNIT_TEST(UnknownOutcomeIsNotRetried);
  CPPUNIT_TEST(RetrySafeChangeFailsOverAfterALostResponse);
  CPPUNIT_TEST(RefusalDoesNotHideALostResponse);
  CPPUNIT_TEST(ResponsesOfOtherServersAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against an outage of one entry that fails callers, and against calling that entry first
  /// again.
  void WorkThatWasNotSentFailsOverToTheNextEntry() {
    FakeEntry entry(Done);
    ApiClient client({ClosedUrl(), entry.Url()});
    CPPUNIT_ASSERT_EQUAL(200, client.Call(kWork).m_status);
    CPPUNIT_ASSERT_EQUAL(entry.Url(), client.Call(kWork).m_entry);
    ApiClient unreachable({ClosedUrl(), ClosedUrl()});
    const auto outcome = unreachable.Call(kWork);
    CPPUNIT_ASSERT(outcome.m_status == 0 && !outcome.m_maybe_sent);
  }

  /// Guards against a refusal by a draining entry that reaches the caller although another entry
  /// can run the work.
  void WorkRefusedByADrainingEntryFailsOverToTheNextEntry() {
    FakeEntry draining(Draining);
    FakeEntry entry(Done);
    CPPUNIT_ASSERT_EQUAL(200, ApiClient({draining.Url(), entry.Url()}).Call(kWork).m_status);
    CPPUNIT_ASSERT_EQUAL(503, ApiClient({draining.Url(), ClosedUrl()}).Call(kWork).m_status);
  }

  /// Guards against work that runs twice because its response was lost.
  void WorkWithALostResponseIsNotRetried() {
    const SilentEntry silent;
    FakeEntry entry(Done);
    const auto outcome = ApiClient({silent.Url(), entry.Url()}).Call(kWork);
    CPPUNIT_ASSERT(outcome.m_status == 0 && outcome.m_maybe_sent);
    CPPUNIT_ASSERT(entry.Calls().empty());
  }

  /// Guards against work that runs twice because an entry does not know its outcome.
  void UnknownOutcomeIsNotRetried() {
    FakeEntry unknown(Unknown);
    FakeEntry entry(Done);
    CPPUNIT_ASSERT_EQUAL(504, ApiClient({unknown.Url(), entry.Url()}).Call(kWork).m_status);
    CPPUNIT_ASSERT(entry.Calls().empty());
  }

  /// Guards against an unknown outcome where a retry would show whether the change took effect.
  void RetrySafeChangeFailsOverAfterALostResponse() {
    const SilentEntry silent;
    FakeEntry entry(Done);
    const auto outcome = ApiClient({silent.Url(), entry.Url()}).Call(kRetrySafeChange);
    CPPUNIT_ASSERT_EQUAL(200, outcome.m_status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.Calls().size());
  }

  /// Guards against reporting "not run" when an entry called earlier may have acted.
  void RefusalDoesNotHideALostResponse() {
    const SilentEntry silent;
    FakeEntry draining(Draining);
    const auto outcome = ApiClient({silent.Url(), draining.Url()}).Call(kRetrySafeChange);
    CPPUNIT_ASSERT(outcome.m_status == 0 && outcome.m_maybe_sent);
  }

  /// Guards against accepting the response of a server that is not an entry.
  void ResponsesOfOtherServersAreRejected() {
    FakeEntry other([](const FakeCall&) { return FakeResponse{200, web::json::value::number(1)}; });
    const auto outcome = ApiClient({other.Url()}).Call(kWork);
    CPPUNIT_ASSERT_EQUAL(0, outcome.m_status);
    CPPUNIT_ASSERT(outcome.m_error.m_message.find("check that --entry") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApiClientTest);

}  // namespace
}  // namespace ebonypin::ctl
