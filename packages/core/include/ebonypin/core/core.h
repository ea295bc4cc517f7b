/// Read this first: the boundary of the decision core.
///
/// The core holds every decision of the scheduler and does no input or output. It has no threads,
/// sockets, clocks or globals. A function of the core takes plain state, one event, the current
/// time and, where it chooses at random, a generator; it changes the state and returns the actions
/// for the driver to carry out. The daemon, the tests and the bench are drivers of the same core.
///
///     ids.h, time.h, resources.h, error.h   vocabulary
///     class_spec.h, request.h               what operators and callers ask for
///     records.h                             what is written to the log
///     messages.h                            what processes send each other
///     agent_ledger.h                        what one worker's agent decides
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
