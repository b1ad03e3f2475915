#ifndef DRIVERS_PROTO_CODEC_H_
#define DRIVERS_PROTO_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "core/result.h"
#include "servers/messages.h"

namespace shallot {

/// Largest encoded message. Caller bodies are limited to 4 MB and values of the platform store to
/// 1 MB, so this leaves room for both parts of a configuration (head and snapshot).
constexpr size_t kMaxMessageBytes = 8U << 20U;

/// Encodes a message as protobuf. kInvalidArgument if it is larger than kMaxMessageBytes.
Result<std::string> EncodeMessage(const Message& message);

/// Decodes the result of EncodeMessage(). kInvalidArgument if `bytes` is malformed or longer than
/// kMaxMessageBytes, has no known message type, or holds an enumeration value or a time that is out
/// of range.
Result<Message> DecodeMessage(std::string_view bytes);

}  // namespace shallot

#endif  // DRIVERS_PROTO_CODEC_H_
