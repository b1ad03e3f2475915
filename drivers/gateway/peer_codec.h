#ifndef DRIVERS_GATEWAY_PEER_CODEC_H_
#define DRIVERS_GATEWAY_PEER_CODEC_H_

#include <string>

#include "core/result.h"
#include "drivers/gateway/peer_channel.h"

namespace shallot::gateway {

/// Protobuf encoding of the messages between gateways. Decoding returns kInvalidArgument for
/// invalid bytes.
std::string EncodePeerMessage(const PeerMessage& message);
Result<PeerMessage> DecodePeerMessage(const std::string& bytes);
/// The value of a gateway's findings key.
std::string EncodeFindings(const FindingsReport& report);
Result<FindingsReport> DecodeFindings(const std::string& bytes);

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_PEER_CODEC_H_
