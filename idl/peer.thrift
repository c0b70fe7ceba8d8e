// Encoded messages between routers. The other modules use the values in
// include/sapphirespar/model/peer_message.hpp. Field numbers are never reused,
// so that different versions can communicate during a roll-out. Regenerate the
// C++ code with scripts/generate-thrift after a change.
namespace cpp sapphirespar.wire.gen

struct process {
  1: string vm;
  2: i64 incarnation;
}

// The first frame in each direction of a connection.
struct hello {
  1: process sender;
}

struct version {
  1: i64 epoch;
  2: i64 number;
}

struct demand {
  1: string account;
  // An integer, because its encoding is shorter than a double for all rates
  // that occur.
  2: i64 requests_per_1000_seconds;
}

struct pool {
  1: string name;
  2: i32 slots;
  3: i32 outstanding;
  4: i32 queued;
}

struct contact {
  1: string data_centre;
  2: string address;
  3: i32 port;
  4: i32 peer_port;
}

struct heartbeat {
  1: process sender;
  2: i64 sequence;
  3: bool leaving;
  4: version bundle;
  5: optional contact reach;
  6: optional list<pool> pools;
  7: optional list<demand> demands;
  8: optional list<process> heard;
  9: optional list<process> lost;
  10: optional bool heard_is_all;
  11: optional i64 store_era;
}

struct bundle_request {
  1: version have;
}

struct bundle_push {
  1: version bundle;
  2: binary signed_bundle;
}

struct slot_request {
  1: string request;
  2: string request_class;
  3: string account;
  4: string pool;
  5: i32 prompt_tokens;
  6: i32 maximum_tokens;
  7: i64 prefix_hash;
  8: i64 first_token_due_ms;
  9: i64 answer_due_ms;
  10: list<string> excluded;
}

struct slot_grant {
  1: string request;
  2: string upstream;
}

struct slot_waiting {
  1: string request;
}

struct slot_refusal {
  1: string request;
  2: i32 reason;
  3: i64 retry_after_ms;
}

struct slot_release {
  1: string request;
  2: string upstream;
  3: bool succeeded;
  4: i32 tokens;
  5: i64 first_token_ms;
  6: i64 total_ms;
}

struct slot_holding {
  1: slot_request request;
  2: string upstream;
}

struct slot_pause {
  1: string request;
  2: bool resume;
}

struct claim_request {
  1: string key;
  2: process claimant;
  3: string request;
  4: optional string released;
  5: optional bool first_attempt;
}

struct claim_answer {
  1: string key;
  2: string request;
  3: i32 verdict;
  4: process holder;
  5: i32 outcome;
  6: string held_request;
}

struct claim_finished {
  1: string key;
  2: string request;
  3: i32 outcome;
}

struct fate_request {
  1: string key;
  2: string request;
}

struct fate_answer {
  1: string key;
  2: string request;
  3: i32 outcome;
}

// Exactly one field is set.
union envelope {
  1: heartbeat heartbeat_value;
  2: bundle_request bundle_request_value;
  3: bundle_push bundle_push_value;
  4: slot_request slot_request_value;
  5: slot_grant slot_grant_value;
  6: slot_refusal slot_refusal_value;
  7: slot_release slot_release_value;
  8: slot_holding slot_holding_value;
  9: slot_pause slot_pause_value;
  10: claim_request claim_request_value;
  11: claim_answer claim_answer_value;
  12: fate_request fate_request_value;
  13: fate_answer fate_answer_value;
  14: claim_finished claim_finished_value;
  15: slot_waiting slot_waiting_value;
}
