/// Stand-in for a worker and its endpoint.
#include <cpprest/http_listener.h>

#include "ebonypin/standin/standin.h"

namespace ebonypin::standin {
namespace {

class WorkerStandin final : public Standin {
 public:
  explicit WorkerStandin(const std::string& listen) : m_listener("http://" + listen) {}
  ~WorkerStandin() override { m_listener.close().wait(); }

  void Start() override {
    m_listener.support(web::http::methods::POST, [](web::http::http_request request) {
      request.extract_string(true).then([request](const std::string& payload) {
        return request.reply(web::http::status_codes::OK, "served:" + payload);
      });
    });
    m_listener.open().wait();
  }

 private:
  web::http::experimental::listener::http_listener m_listener;
};

[[maybe_unused]] const bool kRegistered = RegisterStandin(
    "worker", [](const std::string& listen) { return std::make_unique<WorkerStandin>(listen); });

}  // namespace
}  // namespace ebonypin::standin
