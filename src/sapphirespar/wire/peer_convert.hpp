// Converts between peer messages and the generated Thrift structs. Used only by
// peer_codec.cpp.
#pragma once

#include "gen/peer_types.h"

#include "sapphirespar/model/peer_message.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <vector>

namespace sapphirespar::wire {

// Returns the elements of aFrom, each converted by aConvert.
template<class To, class From, class Convert>
std::vector<To>
ConvertAll(const std::vector<From>& aFrom, Convert aConvert)
{
  std::vector<To> to;
  to.reserve(aFrom.size());
  std::ranges::transform(aFrom, std::back_inserter(to), aConvert);
  return to;
}

// Thrown by FromWire for a number outside its enumeration and caught by
// DecodePeerMessage. An exception, because Thrift reports its own errors that
// way too.
struct bad_enum_value
{};

// Returns the enumerator aNumber. Throws bad_enum_value unless it is between
// zero and aLast.
template<class Enumeration>
Enumeration
ToEnum(std::int32_t aNumber, Enumeration aLast)
{
  if (aNumber < 0 || aNumber > static_cast<std::int32_t>(aLast)) {
    throw bad_enum_value{};
  }
  return static_cast<Enumeration>(aNumber);
}

gen::process ToWire(const process_id& aProcess);
process_id FromWire(const gen::process& aWire);

// Sets the field of aEnvelope that corresponds to the kind of the message.
void SetMessage(gen::envelope& aEnvelope, const heartbeat& aMessage);
void SetMessage(gen::envelope& aEnvelope, const bundle_request& aMessage);
void SetMessage(gen::envelope& aEnvelope, const bundle_push& aMessage);
void SetMessage(gen::envelope& aEnvelope, const slot_request& aMessage);
void SetMessage(gen::envelope& aEnvelope, const slot_grant& aMessage);
void SetMessage(gen::envelope& aEnvelope, const slot_waiting& aMessage);
void SetMessage(gen::envelope& aEnvelope, const slot_refusal& aMessage);
void SetMessage(gen::envelope& aEnvelope, const slot_release& aMessage);
void SetMessage(gen::envelope& aEnvelope, const slot_holding& aMessage);
void SetMessage(gen::envelope& aEnvelope, const slot_pause& aMessage);
void SetMessage(gen::envelope& aEnvelope, const claim_request& aMessage);
void SetMessage(gen::envelope& aEnvelope, const claim_answer& aMessage);
void SetMessage(gen::envelope& aEnvelope, const claim_finished& aMessage);
void SetMessage(gen::envelope& aEnvelope, const outcome_query& aMessage);
void SetMessage(gen::envelope& aEnvelope, const outcome_answer& aMessage);

// Return the message, or throw bad_enum_value.
heartbeat FromWire(const gen::heartbeat& aWire);
bundle_request FromWire(const gen::bundle_request& aWire);
bundle_push FromWire(const gen::bundle_push& aWire);
slot_request FromWire(const gen::slot_request& aWire);
slot_grant FromWire(const gen::slot_grant& aWire);
slot_waiting FromWire(const gen::slot_waiting& aWire);
slot_refusal FromWire(const gen::slot_refusal& aWire);
slot_release FromWire(const gen::slot_release& aWire);
slot_holding FromWire(const gen::slot_holding& aWire);
slot_pause FromWire(const gen::slot_pause& aWire);
claim_request FromWire(const gen::claim_request& aWire);
claim_answer FromWire(const gen::claim_answer& aWire);
claim_finished FromWire(const gen::claim_finished& aWire);
outcome_query FromWire(const gen::fate_request& aWire);
outcome_answer FromWire(const gen::fate_answer& aWire);

} // namespace sapphirespar::wire
