#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibWire/Envelope.h>

#include <array>
#include <string>
#include <string_view>

namespace jaybridge {

/// A frame consists of the payload's length (4 bytes, big-endian), the kind
/// (1 byte) and the payload. The sender identifies itself once per connection,
/// in its hello.
inline constexpr std::size_t FrameHeaderSize = 5;
using FrameHeaderBytes = std::array<unsigned char, FrameHeaderSize>;

struct FrameHeader {
  std::uint32_t Length_ = 0;
  std::uint8_t Kind_ = 0;
};

std::string encodeFrame(std::uint8_t Kind, std::string_view Payload);
FrameHeader decodeFrameHeader(const FrameHeaderBytes &Bytes);

/// Payload of the first frame of a connection, whose kind is `HelloKind`.
struct PeerHello {
  std::string Token_;
  MemberId Member_;
  Endpoint AdvertisedAddress_;
};

inline constexpr std::uint8_t HelloKind = 0;
/// Maximum payload in bytes that is accepted before the token is verified.
inline constexpr std::uint32_t MaxHelloSize = 4096;
/// Byte that the accepting side replies when the token is valid.
inline constexpr unsigned char HelloAccepted = 1;

std::string encodeHello(const PeerHello &Hello);
Result<PeerHello> decodeHello(std::string_view Payload);

} // namespace jaybridge
