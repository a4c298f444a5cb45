@0xd1c5a7f04b9e2c31;
# Messages between the processes of bilberryhaven. They carry durations, never
# points in time; fields whose names end in Ms are in milliseconds.

struct Pair {
  key @0 :Text;
  value @1 :Text;
}

struct Capacity {
  slots @0 :UInt32;
  connections @1 :UInt32;
  cpu @2 :Float64;
  memoryMb @3 :UInt64;
  accelerators @4 :UInt32;
}

# Load of an agent at the time of its answer. incarnation changes with each
# start of the agent; an AdmitRequest carries the latest one known to the
# entry, 0 if none, and is refused by any other.
struct Load {
  slots @0 :UInt32;
  slotsUsed @1 :UInt32;
  batchSlots @2 :UInt32;
  connections @3 :UInt32;
  connectionsUsed @4 :UInt32;
  queued @5 :UInt32;
  serviceMs @6 :Float64;
  failureShare @7 :Float64;
  draining @8 :Bool;
  incarnation @9 :UInt64;
}

struct AdmitRequest {
  requestId @0 :Text;
  workload @1 :Text;
  body @2 :Data;
  deadlineMs @3 :UInt32;
  urgent @4 :Bool;
  idempotent @5 :Bool;
  entry @6 :Text;
  attempt @7 :UInt16;
  revision @8 :UInt64;
  incarnation @9 :UInt64;
}

# code is empty for an answer; length and digest cover body.
struct AdmitReply {
  requestId @0 :Text;
  code @1 :Text;
  message @2 :Text;
  step @3 :Text;
  outcome @4 :Text;
  body @5 :Data;
  length @6 :UInt64;
  digest @7 :Text;
  load @8 :Load;
  retryAfterMs @9 :UInt32;
}

struct RevokeRequest {
  requestIds @0 :List(Text);
  entry @1 :Text;
}

# One state per request id, in order: not_run, started or finished.
struct RevokeReply {
  states @0 :List(Text);
  load @1 :Load;
}

struct Announcement {
  name @0 :Text;
  zone @1 :Text;
  rack @2 :Text;
  address @3 :Text;
  labels @4 :List(Pair);
  capacity @5 :Capacity;
  opening @6 :Text;
}

struct JobEvent {
  jobId @0 :Text;
  epoch @1 :UInt64;
  kind @2 :Text;
  body @3 :Data;
  reason @4 :Text;
}

# Usage of one task or service, ageMs before the report was sent.
struct Usage {
  workload @0 :Text;
  jobId @1 :Text;
  ageMs @2 :UInt32;
  cpu @3 :Float64;
  memoryMb @4 :Float64;
  latencyMs @5 :Float64;
  load @6 :Float64;
  progress @7 :Float64;
}

# A heartbeat with epoch 0 requests a new session and carries the
# announcement. events are sent again until ackedEvents covers them.
struct Heartbeat {
  instance @0 :Text;
  epoch @1 :UInt64;
  revision @2 :UInt64;
  announcement @3 :Announcement;
  load @4 :Load;
  firstEvent @5 :UInt64;
  events @6 :List(JobEvent);
  usage @7 :List(Usage);
  running @8 :List(RunningJob);
  leaving @9 :Bool;
}

struct RunningJob {
  jobId @0 :Text;
  epoch @1 :UInt64;
}

struct StartOrder {
  jobId @0 :Text;
  epoch @1 :UInt64;
  workload @2 :Text;
  payload @3 :Data;
  checkpoint @4 :Data;
  slots @5 :UInt32;
}

struct StopOrder {
  jobId @0 :Text;
  epoch @1 :UInt64;
  reason @2 :Text;
}

struct ThrottleOrder {
  jobId @0 :Text;
  epoch @1 :UInt64;
  share @2 :Float64;
}

# leaseMs counts from the time at which the heartbeat was sent.
struct HeartbeatReply {
  instance @0 :Text;
  epoch @1 :UInt64;
  leaseMs @2 :UInt32;
  revision @3 :UInt64;
  ackedEvents @4 :UInt64;
  starts @5 :List(StartOrder);
  stops @6 :List(StopOrder);
  throttles @7 :List(ThrottleOrder);
  code @8 :Text;
  message @9 :Text;
}

struct HeartbeatBatch {
  entry @0 :Text;
  heartbeats @1 :List(Heartbeat);
}

struct HeartbeatBatchReply {
  replies @0 :List(HeartbeatReply);
}

struct WorkloadView {
  name @0 :Text;
  kind @1 :Text;
  labels @2 :List(Pair);
  runsOn @3 :Text;
  sharesWith @4 :Text;
  repeatable @5 :Bool;
  held @6 :Text;
}

struct InstanceView {
  name @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  labels @3 :List(Pair);
  capacity @4 :Capacity;
  draining @5 :Bool;
  connected @6 :Bool;
  quarantined @7 :Text;
  load @8 :Load;
  loadAgeMs @9 :UInt32;
  beside @10 :List(Text);
}

# Slowdown of a service that is co-located with a workload, by load band.
struct Slowdown {
  service @0 :Text;
  beside @1 :Text;
  band @2 :UInt16;
  factor @3 :Float64;
}

# State of an entry: feed identifies a leader's change feed, and cursor is the
# position reached in it. With another feed or cursor 0, the reply is complete.
struct SyncRequest {
  entry @0 :Text;
  zone @1 :Text;
  revision @2 :UInt64;
  feed @3 :Text;
  cursor @4 :UInt64;
}

struct SyncReply {
  revision @0 :UInt64;
  leaseMs @1 :UInt32;
  feed @2 :Text;
  cursor @3 :UInt64;
  full @4 :Bool;
  workloads @5 :List(WorkloadView);
  instances @6 :List(InstanceView);
  slowdowns @7 :List(Slowdown);
}

struct ClaimRequest {
  requestId @0 :Text;
  workload @1 :Text;
  entry @2 :Text;
}

struct ClaimReply {
  granted @0 :Bool;
  holder @1 :Text;
}

# An operator's or caller's API request, relayed to the leader.
struct CallRequest {
  method @0 :Text;
  path @1 :Text;
  query @2 :Text;
  body @3 :Data;
  by @4 :Text;
  ageMs @5 :UInt32;
}

struct CallReply {
  status @0 :UInt16;
  body @1 :Data;
}

# body is a message of bilberryhaven.workflow.message.
# ageMs is the longest time between the sending of the request from outside
# and that of this message.
struct WorkRequest {
  body @0 :Data;
  ageMs @1 :UInt32;
}

struct WorkReply {
  body @0 :Data;
}

struct ErrorReply {
  code @0 :Text;
  message @1 :Text;
  step @2 :Text;
  peer @3 :Text;
  outcome @4 :Text;
  requestId @5 :Text;
  retryAfterMs @6 :UInt32;
}

# Messages of the consensus core, each encoded by its own codec.
struct ConsensusBatch {
  sender @0 :Text;
  messages @1 :List(Data);
}

# Asks a process for the members of the quorum and carries those that the sender
# knows, none if it knows none. ageMs is the time since they were confirmed.
struct MembersRequest {
  members @0 :List(Text);
  ageMs @1 :UInt32;
}

# The members that the asked process knows, none if it knows none.
struct MembersReply {
  members @0 :List(Text);
  ageMs @1 :UInt32;
}

struct Envelope {
  union {
    none @0 :Void;
    errorReply @1 :ErrorReply;
    admitRequest @2 :AdmitRequest;
    admitReply @3 :AdmitReply;
    revokeRequest @4 :RevokeRequest;
    revokeReply @5 :RevokeReply;
    heartbeat @6 :Heartbeat;
    heartbeatReply @7 :HeartbeatReply;
    heartbeatBatch @8 :HeartbeatBatch;
    heartbeatBatchReply @9 :HeartbeatBatchReply;
    syncRequest @10 :SyncRequest;
    syncReply @11 :SyncReply;
    claimRequest @12 :ClaimRequest;
    claimReply @13 :ClaimReply;
    callRequest @14 :CallRequest;
    callReply @15 :CallReply;
    consensusBatch @16 :ConsensusBatch;
    workRequest @17 :WorkRequest;
    workReply @18 :WorkReply;
    membersRequest @19 :MembersRequest;
    membersReply @20 :MembersReply;
  }
}
