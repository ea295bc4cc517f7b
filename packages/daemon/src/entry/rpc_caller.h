/// Function type with which the parts of an entry send messages without depending on wire::Rpc.
#pragma once

#include <functional>
#include <string>

#include "ebonypin/wire/rpc.h"

namespace ebonypin::daemon {

/// Calls "ip:port" as wire::Rpc::Call does.
using RpcCaller = std::function<void(std::string address, core::Message request,
                                     core::Duration deadline, wire::CallDone done)>;

}  // namespace ebonypin::daemon
