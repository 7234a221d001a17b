// Messages that entry instances exchange. Regenerate after a change with
// thrift --gen cpp:no_skeleton -out gen messages.thrift
namespace cpp heathercross.peer.wire

// An instance that is leaving the fleet, and how long ago that was reported.
struct LeavingInstance {
  1: string instance
  2: i64 age_ms
}

// Another entry and where it can be reached.
struct KnownPeer {
  1: string entry
  2: string zone
  3: string address
}

// Requests that wait for a pool at one entry.
struct PoolQueue {
  1: string pool
  2: i32 queued
}

struct Heartbeat {
  1: string entry
  2: string zone
  3: string address
  4: i64 incarnation
  5: i64 sequence
  6: i64 head
  7: i32 queued
  8: i32 busy_slots
  9: i32 free_slots
  10: bool stopping
  11: list<LeavingInstance> leaving
  12: list<KnownPeer> known
  13: bool platform_away
  14: list<PoolQueue> queues
}

// Requests the rows of the view that tickets above this number wrote.
struct ViewRequest {
  1: i64 since
}

struct ViewRow {
  1: string key
  2: i64 version
  3: string writer
  4: string value
}

struct ViewAnswer {
  1: i64 since
  2: i64 head
  3: list<ViewRow> rows
}

// Exactly one field is set.
struct Message {
  1: optional Heartbeat heartbeat
  2: optional ViewRequest view_request
  3: optional ViewAnswer view_answer
}
