# Messages and stored records of jobs of steps.
# Schema changes only add fields; a reader ignores fields that it does not know.
@0xe3a1c7d05b2f4896;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ebonypin::schema::fleet");

struct StepSpec {
  count @0 :UInt32;
  cpuMillis @1 :Int64;
  memoryMb @2 :Int64;
  accelerators @3 :Int64;
  estimateUs @4 :Int64;
  after @5 :List(UInt32);
  requiredLabel @6 :Text;
  dataRack @7 :Text;
  image @8 :Text;
  latencyTargetUs @9 :Int64;
  maxPerWorker @10 :UInt32;
  mayBeUnavailable @11 :UInt32;
  checkpointing @12 :Bool;
  gang @13 :Bool;
  sameRack @14 :Bool;
  speculative @15 :Bool;
  longRunning @16 :Bool;
  fills @17 :Bool;
}

struct JobSpec {
  id @0 :Text;
  queue @1 :Text;
  service @2 :Text;
  priority @3 :UInt32;
  attempts @4 :UInt32;
  stretch @5 :Float64;
  objectiveUs @6 :Int64;
  advised @7 :Bool;
  payload @8 :Data;
  steps @9 :List(StepSpec);
  times @10 :UInt32;
  firstDue @11 :Int64;
  intervalMs @12 :Int64;
  adviceCallUs @13 :Int64;
  adviceWorkerUs @14 :Int64;
}

struct TaskRef { job @0 :Text; occurrence @1 :UInt32; step @2 :UInt32; index @3 :UInt32; }

struct WorkerInfo {
  id @0 :Text;
  born @1 :Int64;
  service @2 :Text;
  machine @3 :Text;
  domain @4 :Text;
  cpuMillis @5 :Int64;
  memoryMb @6 :Int64;
  accelerators @7 :Int64;
  labels @8 :List(Text);
  rack @9 :Text;
  draining @10 :Bool;
  remainingUs @11 :Int64;
  reachable @12 :Bool;
}

struct RunStatus {
  task @0 :TaskRef;
  run @1 :UInt64;
  percent @2 :UInt32;
  checkpoint @3 :Data;
  figure @4 :Float64;
  orderKnown @5 :Bool;
}
# `extra` was the growth per processor. Earlier versions wrote it; it is no longer read.
struct ImagePair {
  serving @0 :Text;
  filling @1 :Text;
  extra @2 :Float64;
  idleMs @3 :Float64;
  extraWhenFull @4 :Float64 = -1;
}
struct RunEnded {
  number @0 :UInt64;
  task @1 :TaskRef;
  run @2 :UInt64;
  outcome @3 :UInt8;
  checkpoint @4 :Data;
}

struct CrashedRun { born @0 :Int64; task @1 :TaskRef; run @2 :UInt64; ageUs @3 :Int64; }

struct AgentReport {
  agent @0 :Text;
  rpcAddress @1 :Text;
  epoch @2 :UInt64;
  session @3 :UInt64;
  lastOrder @4 :UInt64;
  runsKnown @5 :Bool;
  worker @6 :WorkerInfo;
  runs @7 :List(RunStatus);
  ends @8 :List(RunEnded);
  number @9 :UInt64;
  crashed @10 :List(CrashedRun);
  moreEnds @11 :Bool;
}

struct AgentReportReply {
  accepted @0 :Bool;
  epoch @1 :UInt64;
  coordinator @2 :Text;
  session @3 :UInt64;
  grantUs @4 :Int64;
  recordedEnd @5 :UInt64;
  workerBorn @6 :Int64;
  pairs @7 :List(ImagePair);
  recordedCrash @8 :Int64;
}

struct Order {
  number @0 :UInt64;
  kind @1 :UInt8;
  task @2 :TaskRef;
  run @3 :UInt64;
  payload @4 :Data;
  checkpoint @5 :Data;
  ticket @6 :Text;
  latencyTargetUs @7 :Int64;
  fills @8 :Bool;
  image @9 :Text;
  cpuMillis @10 :Int64;
}

struct AgentOrders {
  epoch @0 :UInt64;
  coordinator @1 :Text;
  session @2 :UInt64;
  orders @3 :List(Order);
}

struct AgentOrdersReply { accepted @0 :Bool; epoch @1 :UInt64; lastOrder @2 :UInt64; }

struct JobCall { kind @0 :UInt8; job @1 :JobSpec; waitUs @2 :Int64; }

struct JobCallReply {
  status @0 :UInt8;
  phase @1 :UInt8;
  pending @2 :UInt64;
  retryAfterUs @3 :Int64;
  epoch @4 :UInt64;
  coordinator @5 :Text;
  reason @6 :Text;
  basis @7 :UInt8;
}

struct StepDown { epoch @0 :UInt64; coordinator @1 :Text; }
struct StepDownReply { steppedDown @0 :Bool; epoch @1 :UInt64; earlierGrantsLeftUs @2 :Int64; }

struct TaskProgress {
  occurrence @0 :UInt32;
  step @1 :UInt32;
  index @2 :UInt32;
  done @3 :Bool;
  failures @4 :UInt32;
  checkpoint @5 :Data;
  run @6 :UInt64;
  crashes @7 :List(UInt64);
}

struct JobProgress {
  job @0 :Text;
  cancelled @1 :Bool;
  closed @2 :Bool;
  phase @3 :UInt8;
  closedAt @4 :Int64;
  tasks @5 :List(TaskProgress);
  begun @6 :Bool;
  closedOccurrences @7 :List(UInt32);
  part @8 :UInt32;
}

struct MemberRecord { agent @0 :Text; rpcAddress @1 :Text; worker @2 :Text; }

struct SettledRecord { epoch @0 :UInt64; }

struct ImagePairsRecord { pairs @0 :List(ImagePair); }

struct CoordinatorRecord {
  epoch @0 :UInt64;
  entry @1 :Text;
  rpcAddress @2 :Text;
  incarnation @3 :UInt64;
}
