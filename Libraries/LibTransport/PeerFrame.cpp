#include <LibTransport/PeerFrame.h>

#include <optional>

namespace jaybridge {

namespace {

constexpr std::string_view ProtocolVersion = "jaybridge-peer-1";

/// Each field of a hello is a line, so no field may contain a line break.
std::optional<std::string_view> takeLine(std::string_view &Rest) {
  const std::size_t End = Rest.find('\n');
  if (End == std::string_view::npos)
    return std::nullopt;
  const std::string_view Line = Rest.substr(0, End);
  Rest.remove_prefix(End + 1);
  return Line;
}

} // namespace

std::string encodeFrame(std::uint8_t Kind, std::string_view Payload) {
  const auto Length = static_cast<std::uint32_t>(Payload.size());
  std::string Frame;
  Frame.reserve(FrameHeaderSize + Payload.size());
  for (int Shift : {24, 16, 8, 0})
    Frame += static_cast<char>((Length >> Shift) & 0xff);
  Frame += static_cast<char>(Kind);
  return Frame.append(Payload);
}

FrameHeader decodeFrameHeader(const FrameHeaderBytes &Bytes) {
  FrameHeader Header;
  for (std::size_t I = 0; I + 1 < FrameHeaderSize; ++I)
    Header.Length_ = (Header.Length_ << 8) | Bytes[I];
  Header.Kind_ = Bytes[FrameHeaderSize - 1];
  return Header;
}

std::string encodeHello(const PeerHello &Hello) {
  std::string Payload(ProtocolVersion);
  for (const std::string &Field :
       {Hello.Token_, Hello.Member_.text(), Hello.AdvertisedAddress_.text()})
    Payload += "\n" + Field;
  return encodeFrame(HelloKind, Payload + "\n");
}

Result<PeerHello> decodeHello(std::string_view Payload) {
  const auto Version = takeLine(Payload);
  const auto Token = takeLine(Payload);
  const auto Member = takeLine(Payload);
  const auto Address = takeLine(Payload);
  if (Version != ProtocolVersion || !Address || Member->empty() ||
      !Payload.empty())
    return Error{ErrorCode::Damaged, "malformed peer handshake", {}};
  JAYBRIDGE_TRY(Endpoint Advertised, Endpoint::create(*Address));
  return PeerHello{std::string(*Token), MemberId(std::string(*Member)),
                   std::move(Advertised)};
}

} // namespace jaybridge
