#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibWire/Envelope.h>

#include <array>
#include <string>
#include <string_view>

namespace jaybridge {

/// A frame is the payload's length (4 bytes, most significant first), the kind
/// (1 byte) and the payload. The sender is stated once per connection.
inline constexpr std::size_t FrameHeaderSize = 5;
using FrameHeader = std::array<unsigned char, FrameHeaderSize>;

struct FrameStart {
  std::uint32_t Length_ = 0;
  std::uint8_t Kind_ = 0;
};

std::string encodeFrame(std::uint8_t Kind, std::string_view Payload);
FrameStart decodeFrameHeader(const FrameHeader &Bytes);

/// First frame of a connection, with `HelloKind`.
struct PeerHello {
  std::string Token_;
  MemberId Member_;
  Endpoint AdvertisedAddress_;
};

inline constexpr std::uint8_t HelloKind = 0;
/// Longest payload before the token was checked.
inline constexpr std::uint32_t HelloLimit = 4096;
/// Sent by the accepting side when the token is right.
inline constexpr unsigned char HelloAccepted = 1;

std::string encodeHello(const PeerHello &Hello);
Result<PeerHello> decodeHello(std::string_view Payload);

} // namespace jaybridge
