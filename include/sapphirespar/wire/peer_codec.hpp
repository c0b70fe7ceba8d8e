// Peer messages as bytes: Thrift's compact protocol over the structs of
// idl/peer.thrift.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/peer_message.hpp"

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>

namespace sapphirespar::wire {

enum class codec_error
{
  // Not the compact form of an envelope, or cut short.
  Malformed,
  // A message kind that this version does not know.
  UnknownKind,
  // A number is outside its enumeration.
  BadValue,
};

// Returns the error as it stands in logs, such as "malformed".
std::string_view ToText(codec_error aError);

template<class T>
using codec_result = boost::outcome_v2::
  basic_result<T, codec_error, boost::outcome_v2::policy::all_narrow>;

std::string EncodePeerMessage(const peer_message& aMessage);
codec_result<peer_message> DecodePeerMessage(std::string_view aBytes);

// The first frame of a connection, which says whose it is.
std::string EncodeHello(const process_id& aSender);
codec_result<process_id> DecodeHello(std::string_view aBytes);

} // namespace sapphirespar::wire
