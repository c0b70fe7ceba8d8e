// Encodes peer messages with Thrift's compact protocol and the structs of
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
  // The bytes are not a compact encoding of the message, or are truncated.
  Malformed,
  // This version does not support the kind of the message.
  UnknownKind,
  // A number is outside its enumeration, or a hello names no VM.
  BadValue,
};

// Returns the name of the error for logs, such as "malformed".
std::string_view ToText(codec_error aError);

template<class T>
using codec_result = boost::outcome_v2::
  basic_result<T, codec_error, boost::outcome_v2::policy::all_narrow>;

std::string EncodePeerMessage(const peer_message& aMessage);
codec_result<peer_message> DecodePeerMessage(std::string_view aBytes);

// A hello is the first frame in each direction of a connection. It identifies
// the process that sends it.
std::string EncodeHello(const process_id& aSender);
codec_result<process_id> DecodeHello(std::string_view aBytes);

} // namespace sapphirespar::wire
