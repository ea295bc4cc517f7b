/// Ends the listener of a stand-in.
#pragma once

#include <cpprest/http_listener.h>

namespace ebonypin::standin {

/// Closes the listener and waits. The task for one that could not be opened, because its address is
/// taken, has no state, and waiting for it throws.
inline void CloseListener(web::http::experimental::listener::http_listener& listener) {
  const auto closing = listener.close();
  if (closing != pplx::task<void>{}) closing.wait();
}

}  // namespace ebonypin::standin
