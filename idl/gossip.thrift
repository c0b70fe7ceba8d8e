// What gateways tell each other in datagrams. The values that the rest of the
// system sees are in include/sapphirespar/model/gossip.hpp; field numbers here
// are never reused, so that versions can meet during a roll-out. Regenerate
// with scripts/generate-thrift after a change.
namespace cpp sapphirespar.wire.gen

struct gossip_load {
  // Names the upstream: a hash of its identifier and birth.
  1: i64 upstream;
  2: i32 urgent_tokens;
  3: i32 other_tokens;
  4: i32 memory_tokens;
  5: i32 running;
  6: i32 interactive;
}

// The sum of all work from one data centre.
struct gossip_zone {
  1: string data_centre;
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
  // Asks for the receiver's state in return.
  12: bool asks;
  // The sequence number with which the receiver asked; zero if it did not.
  13: i64 answers;
  // Ages in milliseconds, counted up; negative if nothing has been read.
  14: i32 routing_age_ms;
  15: i64 routing_revision;
  16: i32 upstreams_age_ms;
  17: i64 upstreams_digest;
  // Thousandths of an engine that the sender's prompts keep reading.
  18: i32 interactive_reading;
  19: i32 bulk_reading;
  // Thousandths of a core that the sender may use.
  20: i32 processor;
  // Only from relays: their own data centre to relays of others, the others to
  // gateways of their own.
  21: list<gossip_zone> zones;
}
