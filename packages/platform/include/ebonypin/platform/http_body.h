/// Bodies of calls that must not be repeated unseen.
#pragma once

#include <cpprest/http_msg.h>

#include <string>
#include <string_view>

namespace ebonypin::platform {

/// Sets a body that the HTTP client sends at most once.
///
/// The client repeats a request by itself when the connection that it reused is closed before the
/// status line, whatever the method. The caller then sees only the answer to the repetition, and a
/// refusal would not show that nothing was done. A body that cannot be rewound prevents this: the
/// call fails with a lost connection. Must not be called on a thread of the HTTP client, since it
/// waits for one of them.
void SetSingleUseBody(web::http::http_request& request, std::string_view body,
                      const std::string& content_type = "application/json");

}  // namespace ebonypin::platform
