// Gossip datagrams between gateways. The other modules use the values in
// include/sapphirespar/model/gossip.hpp. Field numbers are never reused, so
// that different versions can communicate during a roll-out. Regenerate the C++
// code with scripts/generate-thrift after a change.
namespace cpp sapphirespar.wire.gen

struct gossip_load {
  // Identifies the upstream: a hash of its identifier and start time.
  1: i64 upstream;
  2: i32 urgent_tokens;
  3: i32 other_tokens;
  4: i32 memory_tokens;
  5: i32 running;
  6: i32 interactive;
}

// The summed loads of all gateways of one data centre.
struct gossip_zone {
  1: string data_centre;
  // Time since the loads were summed, in milliseconds, rounded up; at most one
  // day.
  2: i32 age_ms;
  3: list<gossip_load> loads;
}

// What a gateway knows about prompt parts that may crash upstreams; see
// include/sapphirespar/model/crash_report.hpp. Ages are in milliseconds, at
// most one day.
struct gossip_part_crash {
  1: string pool;
  2: i64 part;
  3: i64 upstream;
  4: i32 age_ms;
  5: optional i32 sent_age_ms;
  6: i64 fingerprint;
}

struct gossip_upstream_loss {
  1: string pool;
  2: i64 upstream;
  3: i32 age_ms;
}

struct gossip_part_survival {
  1: string pool;
  2: i64 part;
  3: i32 age_ms;
}

struct gossip_pool_survival {
  1: string pool;
  2: i32 age_ms;
}

struct gossip_upstream_sign {
  1: i64 upstream;
  2: i32 age_ms;
}

struct gossip_quarantine {
  1: string pool;
  2: i64 part;
  3: i32 age_ms;
  4: i32 seen_age_ms;
  5: i32 trials;
  6: i32 trial_age_ms;
}

struct gossip_crash_report {
  1: list<gossip_part_crash> crashes;
  2: list<gossip_upstream_loss> losses;
  3: list<gossip_part_survival> survivals;
  4: list<gossip_pool_survival> pool_survivals;
  5: list<gossip_upstream_sign> signs;
  6: list<gossip_quarantine> quarantines;
}

// include/sapphirespar/model/upstream_rate.hpp. The rate is in requests per
// 1000 seconds, negative without a limit.
struct gossip_upstream_rate {
  1: i64 upstream;
  2: i64 rate;
  3: i32 age_ms;
}

// include/sapphirespar/model/upstream_pause.hpp.
struct gossip_upstream_pause {
  1: i64 upstream;
  2: i32 left_ms;
}

// The same file. The rejections are in thousandths a second.
struct gossip_rationed_pool {
  1: i64 pool;
  2: i64 tolerated;
  3: i32 left_ms;
  4: i32 work_ms;
}

// include/sapphirespar/model/gossip.hpp. The token is zero unless the sender
// holds the duties; the window is zero if it knows of no report.
struct gossip_duties {
  1: i64 wall_ms;
  2: i64 token;
  3: i64 fixed_window;
  // Prefill of the prompts that the sender refused, in thousandths of one
  // engine.
  4: i32 refused_reading;
}

// How long an engine that is slower than its pool takes for a token.
struct gossip_engine_pace {
  1: i64 upstream;
  2: i32 step_us;
}

struct gossip_state {
  1: string vm;
  2: i64 incarnation;
  3: i64 sequence;
  4: string data_centre;
  5: string address;
  6: i32 caller_port;
  7: i32 admin_port;
  8: bool ready;
  9: bool leaving;
  11: list<gossip_load> loads;
  // Whether the sender wants the receiver's state in return.
  12: bool asks;
  // Sequence number of the receiver's message to which this one is the reply;
  // zero if it is no reply.
  13: i64 answers;
  // Ages of what the sender has read from the store, in milliseconds, rounded
  // up, at most one day. routing_age_ms is negative if the sender has read
  // nothing.
  14: i32 routing_age_ms;
  16: i32 upstreams_age_ms;
  17: i64 upstreams_digest;
  // Prefill load of the sender's interactive and bulk prompts, in thousandths
  // of one engine.
  18: i32 interactive_reading;
  19: i32 bulk_reading;
  // CPU quota of the sender, in thousandths of one core.
  20: i32 processor;
  // Sent only by relays: the loads of their own data centre to relays of other
  // data centres, and the loads of other data centres to gateways of their own.
  21: list<gossip_zone> zones;
  // Upstreams, identified as in the loads, that have stated that they are
  // shutting down.
  22: list<i64> leaving_upstreams;
  // How often the store has come back from an older copy; zero if unknown.
  23: i64 store_era;
  // Version of the routing; zero if the sender has read none.
  24: i64 routing_version;
  // Absent while there is nothing to report.
  25: optional gossip_crash_report crash_report;
  26: list<gossip_upstream_rate> upstream_rates;
  // With fingerprints of requests in the place of parts.
  27: optional gossip_crash_report request_crash_report;
  // The sender has no path to any upstream.
  28: bool cut_off;
  29: list<gossip_upstream_pause> upstream_pauses;
  30: list<gossip_rationed_pool> rationed_pools;
  // Absent unless the sender's settings name duties.
  31: optional gossip_duties duties;
  // Sent within the sender's data centre only.
  32: list<gossip_engine_pace> engine_paces;
}

// One stream's part at one pool: which version of the upstreams' software began
// it, and for how long that is remembered. All but the time are hashes.
struct gossip_stream_version {
  1: i64 stream;
  2: i64 pool;
  3: i64 software;
  4: i32 left_ms;
}

struct gossip_pool_software {
  1: i64 pool;
  2: i64 software;
}

// A message of its own, see include/sapphirespar/model/stream_message.hpp.
struct gossip_streams {
  1: list<gossip_stream_version> told;
  2: list<i64> asked;
  3: list<i64> unknown;
  4: list<gossip_pool_software> seen;
  5: bool seen_all;
  6: i32 span_ms;
}

// A message of its own, see include/sapphirespar/model/usage_message.hpp.
struct gossip_usage_count {
  1: string account;
  2: i64 requests;
}

struct gossip_usage {
  1: string vm;
  2: i64 incarnation;
  3: i64 window;
  4: bool complete;
  5: list<gossip_usage_count> counts;
}
