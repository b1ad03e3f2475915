#ifndef DRIVERS_PROTO_CODEC_H_
#define DRIVERS_PROTO_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "core/result.h"
#include "servers/messages.h"

namespace shallot {

/// Largest encoded message. Caller bodies are limited to 4 MB and values of the platform store to
/// 1 MB, so this leaves room for both halves of a configuration.
constexpr size_t kMaxMessageBytes = 8U << 20U;

/// Encodes a message as protobuf. kInvalidArgument when it is larger than kMaxMessageBytes.
Result<std::string> EncodeMessage(const Message& message);

/// Decodes what EncodeMessage made. kInvalidArgument when the bytes are malformed, too many, of no
/// known kind, or hold an enumeration value out of range.
Result<Message> DecodeMessage(std::string_view bytes);

}  // namespace shallot

#endif  // DRIVERS_PROTO_CODEC_H_
