/// Reads the body of a request for a stand-in that may be destroyed meanwhile.
#pragma once

#include <cpprest/http_msg.h>

#include <memory>
#include <utility>

#include "ebonypin/platform/call_gate.h"

namespace ebonypin::standin {

/// Calls `use` with the finished `body` through the gate, which the stand-in closes after its
/// listener. Once it is closed, the request is answered with 503.
template <typename T, typename F>
void UseBody(const web::http::http_request& request, const pplx::task<T>& body,
             std::shared_ptr<platform::CallGate> gate, F use) {
  body.then([request, gate = std::move(gate), use = std::move(use)](const pplx::task<T>& read) {
    if (gate->Run([&] { use(read); })) return;
    // The library ends the process for the error of a task that nobody has looked at.
    const auto ignore_error = [](const auto& task) {
      try {
        task.wait();
      } catch (const std::exception&) {
        // The client has gone.
      }
    };
    ignore_error(read);
    request.reply(web::http::status_codes::ServiceUnavailable).then(ignore_error);
  });
}

}  // namespace ebonypin::standin
