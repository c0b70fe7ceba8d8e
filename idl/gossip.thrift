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
}
