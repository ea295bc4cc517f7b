# Messages between ebonypin's processes and records of the log streams.
# Schema changes only add fields; a reader ignores fields that it does not know.
@0xb4f7c2d19a6e5031;

using Cxx = import "/capnp/c++.capnp";
using Fleet = import "fleet.capnp";
$Cxx.namespace("ebonypin::schema");

struct Resources { cpuMillis @0 :Int64; memoryMb @1 :Int64; accelerators @2 :Int64; }

struct Error { kind @0 :Text; message @1 :Text; retryAfterUs @2 :Int64; }

struct Target {
  # A negative value means that this part of the target is not set.
  startWithinUs @0 :Int64 = -1;
  finishWithinUs @1 :Int64 = -1;
  latencyUs @2 :Int64 = -1;
  percentile @3 :Float64;
  throughput @4 :Float64 = -1;
}

struct ClassSpec {
  name @0 :Text;
  team @1 :Text;
  kind @2 :UInt8;
  exclusive @3 :Bool;
  nonIdempotent @4 :Bool;
  target @5 :Target;
  revision @6 :UInt64;
  acceptedOffset @7 :UInt64;
}

struct WorkRequest {
  id @0 :Text;
  class @1 :Text;
  key @2 :Text;
  deadlineUs @3 :Int64 = -1;
  size @4 :Resources;
  declaredRunUs @5 :Int64;
  nonIdempotent @6 :Bool;
  payload @7 :Data;
}

struct JobAccepted { job @0 :Text; entry @1 :Text; request @2 :WorkRequest; wall @3 :Int64; }
struct JobAssigned {
  job @0 :Text;
  attempt @1 :UInt32;
  epoch @2 :UInt64;
  entry @3 :Text;
  agent @4 :Text;
  agentIncarnation @5 :UInt64;
  reservation @6 :UInt64;
}
struct JobRequeued { job @0 :Text; attempt @1 :UInt32; epoch @2 :UInt64; checkpoint @3 :Data; reason @4 :Text; }
struct JobFinished { job @0 :Text; attempt @1 :UInt32; epoch @2 :UInt64; outcome @3 :UInt8; result @4 :Data; }
struct JobCancelled { job @0 :Text; entry @1 :Text; }
struct ShardClaimed { shard @0 :UInt32; epoch @1 :UInt64; entry @2 :Text; incarnation @3 :UInt64; }
struct ShardReleased { shard @0 :UInt32; epoch @1 :UInt64; entry @2 :Text; }
struct JobState {
  job @0 :Text;
  request @1 :WorkRequest;
  acceptedWall @2 :Int64;
  acceptedOffset @3 :UInt64;
  lastOffset @4 :UInt64;
  attempt @5 :UInt32;
  assigned @6 :Bool;
  agent @7 :Text;
  agentIncarnation @8 :UInt64;
  reservation @9 :UInt64;
  checkpoint @10 :Data;
  cancelRequested @11 :Bool;
  closed @12 :Bool;
  outcome @13 :UInt8;
  result @14 :Data;
}
struct JobSnapshot { state @0 :JobState; asOf @1 :UInt64; }
struct ClassPut {
  spec @0 :ClassSpec;
  baseRevision @1 :UInt64;
  operator @2 :Text;
  changeId @3 :Text;
  wall @4 :Int64;
}
struct ClassRemoved {
  name @0 :Text;
  baseRevision @1 :UInt64;
  operator @2 :Text;
  changeId @3 :Text;
  wall @4 :Int64;
}
struct WorkerDrain {
  agent @0 :Text;
  draining @1 :Bool;
  operator @2 :Text;
  changeId @3 :Text;
  wall @4 :Int64;
}
struct WatchUpdated { topic @0 :Text; updateId @1 :Text; value @2 :Data; }
struct EntryInfo {
  entry @0 :Text;
  incarnation @1 :UInt64;
  rpcAddress @2 :Text;
  httpAddress @3 :Text;
  leaving @4 :Bool;
}

struct LogRecord {
  union {
    jobAccepted @0 :JobAccepted;
    jobAssigned @1 :JobAssigned;
    jobRequeued @2 :JobRequeued;
    jobFinished @3 :JobFinished;
    jobCancelled @4 :JobCancelled;
    shardClaimed @5 :ShardClaimed;
    shardReleased @6 :ShardReleased;
    jobSnapshot @7 :JobSnapshot;
    classPut @8 :ClassPut;
    classRemoved @9 :ClassRemoved;
    workerDrain @10 :WorkerDrain;
    watchUpdated @11 :WatchUpdated;
    entryAlive @12 :EntryInfo;
  }
}

struct LogBatch {
  version @0 :UInt16;
  batchId @1 :Text;
  entry @2 :Text;
  records @3 :List(LogRecord);
}

struct AgentLoad {
  committed @0 :Resources;
  slotsBusy @1 :UInt32;
  queued @2 :UInt32;
  latencyUs @3 :UInt32;
  draining @4 :Bool;
}
struct AttemptRef { job @0 :Text; attempt @1 :UInt32; epoch @2 :UInt64; }
struct Heartbeat {
  agent @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  rpcAddress @3 :Text;
  capacity @4 :Resources;
  slots @5 :UInt32;
  load @6 :AgentLoad;
  configOffset @7 :UInt64;
  attempts @8 :List(AttemptRef);
  knownEntries @9 :List(EntryInfo);
}
struct Grant { job @0 :Text; attempt @1 :UInt32; epoch @2 :UInt64; granted @3 :Bool; }
struct HeartbeatReply {
  grants @0 :List(Grant);
  entries @1 :List(EntryInfo);
  classes @2 :List(ClassSpec);
  configOffset @3 :UInt64;
  drain @4 :Bool;
}
struct EntryHeartbeat { self @0 :EntryInfo; configOffset @1 :UInt64; workerSizes @2 :List(Resources); }
struct EntryHeartbeatReply {
  self @0 :EntryInfo;
  entries @1 :List(EntryInfo);
  classes @2 :List(ClassSpec);
  configOffset @3 :UInt64;
  drainedAgents @4 :List(Text);
}
struct RunRequest {
  request @0 :Text;
  try @1 :UInt64;
  incarnation @2 :UInt64;
  class @3 :Text;
  size @4 :Resources;
  expectedRunUs @5 :Int64;
  startWithinUs @6 :Int64;
  timeLeftUs @7 :Int64;
  payload @8 :Data;
}
struct RunReply {
  request @0 :Text;
  try @1 :UInt64;
  kind @2 :UInt8;
  error @3 :Error;
  result @4 :Data;
  resultHash @5 :UInt64;
  load @6 :AgentLoad;
}
struct ReserveRequest {
  job @0 :Text;
  attempt @1 :UInt32;
  epoch @2 :UInt64;
  incarnation @3 :UInt64;
  class @4 :Text;
  size @5 :Resources;
  expectedRunUs @6 :Int64;
}
struct ReserveReply { granted @0 :Bool; reservation @1 :UInt64; error @2 :Error; load @3 :AgentLoad; }
struct StartRequest {
  job @0 :Text;
  attempt @1 :UInt32;
  epoch @2 :UInt64;
  incarnation @3 :UInt64;
  reservation @4 :UInt64;
  exclusive @5 :Bool;
  checkpoint @6 :Data;
  payload @7 :Data;
}
struct StartReply { started @0 :Bool; error @1 :Error; load @2 :AgentLoad; }
struct CancelRequest { job @0 :Text; request @1 :Text; epoch @2 :UInt64; }
struct CancelReply { stopped @0 :Bool; }
struct FenceRequest { job @0 :Text; attempt @1 :UInt32; epoch @2 :UInt64; stop @3 :Bool; }
struct FenceReply {
  phase @0 :UInt8;
  incarnation @1 :UInt64;
  checkpoint @2 :Data;
  outcome @3 :UInt8;
  result @4 :Data;
}
struct TaskReport {
  agent @0 :Text;
  incarnation @1 :UInt64;
  job @2 :Text;
  attempt @3 :UInt32;
  phase @4 :UInt8;
  outcome @5 :UInt8;
  result @6 :Data;
  checkpoint @7 :Data;
  runTimeUs @8 :Int64;
  used @9 :Resources;
}
struct TaskReportReply { acknowledged @0 :Bool; notOwner @1 :Bool; owner @2 :EntryInfo; }

struct Envelope {
  version @0 :UInt16;
  union {
    heartbeat @1 :Heartbeat;
    heartbeatReply @2 :HeartbeatReply;
    entryHeartbeat @3 :EntryHeartbeat;
    entryHeartbeatReply @4 :EntryHeartbeatReply;
    runRequest @5 :RunRequest;
    runReply @6 :RunReply;
    reserveRequest @7 :ReserveRequest;
    reserveReply @8 :ReserveReply;
    startRequest @9 :StartRequest;
    startReply @10 :StartReply;
    cancelRequest @11 :CancelRequest;
    cancelReply @12 :CancelReply;
    fenceRequest @13 :FenceRequest;
    fenceReply @14 :FenceReply;
    taskReport @15 :TaskReport;
    taskReportReply @16 :TaskReportReply;
    error @17 :Error;
    agentReport @18 :Fleet.AgentReport;
    agentReportReply @19 :Fleet.AgentReportReply;
    agentOrders @20 :Fleet.AgentOrders;
    agentOrdersReply @21 :Fleet.AgentOrdersReply;
    jobCall @22 :Fleet.JobCall;
    jobCallReply @23 :Fleet.JobCallReply;
    stepDown @24 :Fleet.StepDown;
    stepDownReply @25 :Fleet.StepDownReply;
  }
}

interface Peer {
  call @0 (request :Envelope) -> (reply :Envelope);
  # Delivers one message and returns its reply.
}
