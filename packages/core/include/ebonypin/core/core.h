/// Overview and main include of the decision core. Start reading here.
///
/// The core makes every decision of the scheduler and does no input or output. It has no threads,
/// sockets, clocks or globals. A function of the core takes plain state, one event, the current
/// time and, where it chooses at random, a generator; it changes the state and returns the actions
/// for the driver to carry out. The daemon, the tests and the bench are drivers of the same core.
///
///     ids.h, time.h, resources.h, error.h   basic types
///     class_spec.h, request.h               classes, requests and answers
///     records.h                             records of the log
///     messages.h                            messages between processes
///     agent_ledger.h                        decisions of a worker's agent
#pragma once

#include "ebonypin/core/agent_ledger.h"
#include "ebonypin/core/class_spec.h"
#include "ebonypin/core/error.h"
#include "ebonypin/core/ids.h"
#include "ebonypin/core/messages.h"
#include "ebonypin/core/records.h"
#include "ebonypin/core/request.h"
#include "ebonypin/core/resources.h"
#include "ebonypin/core/time.h"
