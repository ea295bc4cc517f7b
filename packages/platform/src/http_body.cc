#include "ebonypin/platform/http_body.h"

#include <cpprest/producerconsumerstream.h>

#include <algorithm>

namespace ebonypin::platform {

void SetSingleUseBody(web::http::http_request& request, const std::string_view body,
                      const std::string& content_type) {
  // The buffer is in memory and as large as the body, so nothing here waits for the network. The
  // task of close() passes through a thread of the HTTP client.
  concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer(
      std::max<std::size_t>(body.size(), 1));
  const auto* const bytes = reinterpret_cast<const std::uint8_t*>(body.data());
  if (!body.empty()) buffer.putn_nocopy(bytes, body.size()).wait();
  buffer.close(std::ios_base::out).wait();
  request.set_body(buffer.create_istream(), body.size(), content_type);
}

}  // namespace ebonypin::platform
