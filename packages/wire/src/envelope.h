/// Conversion of a message to and from the RPC envelope.
#pragma once

#include <ebonypin.capnp.h>

#include "ebonypin/core/messages.h"

namespace ebonypin::wire {

/// Writes `in` and the wire version into `out`.
void PutEnvelope(schema::Envelope::Builder out, const core::Message& in);

/// Returns the message in `in`; throws kj::Exception when its type is unknown or a field is
/// malformed.
[[nodiscard]] core::Message GetEnvelope(schema::Envelope::Reader in);

}  // namespace ebonypin::wire
