// Encodes and decodes peer messages.
#include "sapphirespar/wire/peer_codec.hpp"

#include "peer_convert.hpp"

#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <optional>

namespace sapphirespar::wire {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

template<class Struct>
std::string
Serialize(const Struct& aStruct)
{
  const auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  aStruct.write(&protocol);
  return buffer->getBufferAsString();
}

// Parses one struct, which must use all of aBytes. Throws TException if aBytes
// are malformed.
template<class Struct>
Struct
Parse(std::string_view aBytes)
{
  // The buffer only reads, although its interface takes a mutable pointer.
  auto* bytes =
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data()));
  const auto buffer = std::make_shared<TMemoryBuffer>(
    bytes, static_cast<std::uint32_t>(aBytes.size()));
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  Struct value;
  if (value.read(&protocol) != aBytes.size()) {
    throw apache::thrift::TException("trailing bytes");
  }
  return value;
}

// Returns the message in aEnvelope, or nothing if no known field is set.
std::optional<peer_message>
Unwrap(const gen::envelope& aEnvelope)
{
  const auto& set = aEnvelope.__isset;
  if (set.heartbeat_value) {
    return FromWire(aEnvelope.heartbeat_value);
  }
  if (set.bundle_request_value) {
    return FromWire(aEnvelope.bundle_request_value);
  }
  if (set.bundle_push_value) {
    return FromWire(aEnvelope.bundle_push_value);
  }
  if (set.slot_request_value) {
    return FromWire(aEnvelope.slot_request_value);
  }
  if (set.slot_grant_value) {
    return FromWire(aEnvelope.slot_grant_value);
  }
  if (set.slot_waiting_value) {
    return FromWire(aEnvelope.slot_waiting_value);
  }
  if (set.slot_refusal_value) {
    return FromWire(aEnvelope.slot_refusal_value);
  }
  if (set.slot_release_value) {
    return FromWire(aEnvelope.slot_release_value);
  }
  if (set.slot_holding_value) {
    return FromWire(aEnvelope.slot_holding_value);
  }
  if (set.slot_pause_value) {
    return FromWire(aEnvelope.slot_pause_value);
  }
  if (set.claim_request_value) {
    return FromWire(aEnvelope.claim_request_value);
  }
  if (set.claim_answer_value) {
    return FromWire(aEnvelope.claim_answer_value);
  }
  if (set.claim_finished_value) {
    return FromWire(aEnvelope.claim_finished_value);
  }
  if (set.fate_request_value) {
    return FromWire(aEnvelope.fate_request_value);
  }
  if (set.fate_answer_value) {
    return FromWire(aEnvelope.fate_answer_value);
  }
  return std::nullopt;
}

} // namespace

std::string_view
ToText(codec_error aError)
{
  switch (aError) {
    case codec_error::Malformed:
      return "malformed";
    case codec_error::UnknownKind:
      return "unknown_kind";
    case codec_error::BadValue:
      return "bad_value";
  }
  return "malformed";
}

std::string
EncodePeerMessage(const peer_message& aMessage)
{
  gen::envelope envelope;
  std::visit([&](const auto& aKind) { SetMessage(envelope, aKind); }, aMessage);
  return Serialize(envelope);
}

codec_result<peer_message>
DecodePeerMessage(std::string_view aBytes)
{
  try {
    auto message = Unwrap(Parse<gen::envelope>(aBytes));
    if (!message) {
      return codec_error::UnknownKind;
    }
    return *std::move(message);
  } catch (const bad_enum_value&) {
    return codec_error::BadValue;
  } catch (const apache::thrift::TException&) {
    return codec_error::Malformed;
  }
}

std::string
EncodeHello(const process_id& aSender)
{
  gen::hello hello;
  hello.__set_sender(ToWire(aSender));
  return Serialize(hello);
}

codec_result<process_id>
DecodeHello(std::string_view aBytes)
{
  try {
    const auto hello = Parse<gen::hello>(aBytes);
    if (hello.sender.vm.empty()) {
      return codec_error::BadValue;
    }
    return FromWire(hello.sender);
  } catch (const apache::thrift::TException&) {
    return codec_error::Malformed;
  }
}

} // namespace sapphirespar::wire
