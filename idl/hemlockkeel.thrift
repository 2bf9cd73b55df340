// Messages between the processes of hemlockkeel.
// Regenerate with `make idl` after a change.
namespace py hemlockkeel._internal.rpc.gen.hk

enum Verdict {
  NOT_RUN = 0,
  MAY_HAVE_RUN = 1,
  RAN = 2,
}

enum FrameKind {
  TOKENS = 0,
  END = 1,
  FAILED = 2,
}

exception RpcFault {
  1: string code,
  2: string message,
  3: Verdict verdict,
  // Address of the control leader, when the callee is not the leader.
  4: optional string leader,
  5: optional i32 retry_after_ms,
}

struct Hello {
  1: i32 protocol_version,
  2: string peer_id,
  3: binary proof,
}

struct WorkOrder {
  1: string request_id,
  2: i32 attempt,
  3: string owner,
  4: i64 owner_incarnation,
  5: string target_id,
  6: i64 target_incarnation,
  7: string adapter,
  8: string adapter_version,
  9: string base_model,
  10: binary body,
  11: string content_digest,
  12: bool idempotent,
  13: i32 priority,
  14: i32 deadline_ms,
  15: bool suspect,
  16: i64 view_version,
  17: string path,
  18: string method,
  19: string session,
  20: i64 session_sequence,
  // Attempt whose run the engine may still hold; -1 starts a new run.
  21: i32 resume_attempt,
  22: string caller,
  23: string deployment,
  // Value of the adapter's slot: requests a second that this entry sees,
  // weighed by priority and shared among the targets that hold it.
  24: double popularity,
  25: i32 hold_ms,
  26: double stall_weight,
  // Stream of the owner that reads the answer.
  27: string reader,
  // Software version that the engine must have, as it began the answer of an
  // earlier attempt; not set for any.
  28: optional string engine_version,
}

struct LoadReport {
  1: i32 running,
  2: i32 queued,
  3: i32 batch_slots,
  4: list<string> adapters,
  5: list<string> loading,
  6: i64 adapters_epoch,
  7: bool accepting,
  8: i32 adapter_slots,
  9: i64 incarnation,
  10: list<string> prefixes,
  // Requests a second of the adapter that would be evicted next.
  11: double eviction_value,
  12: i32 free_slots,
  // Queued requests of each priority rank.
  13: list<i32> queued_by_rank,
  // Software version of the engine; empty if unknown.
  14: string engine_version,
}

struct OrderReceipt {
  1: bool accepted,
  2: string code,
  3: string message,
  4: Verdict verdict,
  5: i32 retry_after_ms,
  6: LoadReport load,
}

struct AnswerFrame {
  1: string request_id,
  2: i32 attempt,
  3: i32 offset,
  4: FrameKind kind,
  5: list<string> tokens,
  6: string digest,
  7: i32 length,
  8: Verdict verdict,
  9: string code,
  10: string message,
  11: i32 status,
  12: string adapter,
  13: string adapter_version,
  14: i32 load_stall_us,
  15: binary payload,
  16: string content_type,
  17: string reader,
}

struct PollRequest {
  1: string owner,
  2: i64 owner_incarnation,
  3: i32 wait_ms,
  // Offsets that each of the owner's streams has read.
  4: map<string, i32> acknowledged,
  5: i64 adapters_epoch,
}

struct PollReply {
  1: list<AnswerFrame> frames,
  2: LoadReport load,
  3: string target_id,
  4: i64 target_incarnation,
}

struct AttachRequest {
  1: string request_id,
  2: i32 offset,
  3: string owner,
  4: i64 owner_incarnation,
  // Refuse the request if it arrives after this call.
  5: bool block_if_unknown,
  6: i32 attempt,
  7: string reader,
}

struct CancelRequest {
  1: string request_id,
  2: i32 attempt,
  // A run that others read too goes on.
  3: string owner,
  4: i64 owner_incarnation,
  5: string reader,
}

struct AttachReply {
  1: bool known,
  2: bool blocked,
  3: i64 target_incarnation,
  4: string content_digest,
}

service Agent {
  binary challenge(),
  void hello(1: Hello hello) throws (1: RpcFault fault),
  OrderReceipt submit(1: WorkOrder order) throws (1: RpcFault fault),
  PollReply poll(1: PollRequest request) throws (1: RpcFault fault),
  AttachReply attach(1: AttachRequest request) throws (1: RpcFault fault),
  bool cancel(1: CancelRequest request) throws (1: RpcFault fault),
}

struct ViewItem {
  1: string key,
  2: optional binary value,
}

struct ViewDelta {
  1: i64 from_version,
  2: i64 to_version,
  3: bool full,
  4: list<ViewItem> items,
}

struct Heartbeat {
  1: string member_id,
  2: i64 incarnation,
  3: binary description,
  4: i64 view_version,
  5: bool leaving,
  6: string cluster_id,
}

struct HeartbeatReply {
  1: i64 term,
  2: i32 lease_ms,
  3: i32 interval_ms,
  4: optional ViewDelta delta,
  5: string cluster_id,
}

struct Proposal {
  1: binary command,
}

struct ProposalReply {
  1: binary outcome,
  2: i64 index,
}

struct LoadWant {
  1: string adapter,
  2: string adapter_version,
  3: double weight,
  4: i32 waiting_ms,
  5: bool preload,
}

struct PermitRequest {
  1: string member_id,
  2: i64 incarnation,
  3: string site,
  4: list<LoadWant> wants,
  5: list<string> in_progress,
  6: list<string> finished,
  7: i32 wait_ms,
  // Finished without using the weight store.
  8: list<string> unused,
}

struct PermitReply {
  1: list<string> granted,
}

struct RaftMessage {
  1: string cluster_id,
  // Where the sender answers.
  2: string sender_address,
  3: string receiver,
  4: binary body,
}

service Control {
  binary challenge(),
  void hello(1: Hello hello) throws (1: RpcFault fault),
  HeartbeatReply heartbeat(1: Heartbeat heartbeat)
    throws (1: RpcFault fault),
  ProposalReply propose(1: Proposal proposal) throws (1: RpcFault fault),
  ProposalReply read(1: Proposal query) throws (1: RpcFault fault),
  PermitReply permits(1: PermitRequest request) throws (1: RpcFault fault),
  void raft(1: list<RaftMessage> messages) throws (1: RpcFault fault),
}
