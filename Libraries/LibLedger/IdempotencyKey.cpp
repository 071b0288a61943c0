#include <LibLedger/IdempotencyKey.h>

namespace jaybridge {

namespace {

constexpr std::size_t TextLength = 36;

/// Positions of the dashes in the text form 8-4-4-4-12.
bool isDashPosition(std::size_t Position) {
  return Position == 8 || Position == 13 || Position == 18 || Position == 23;
}

/// Value of a hexadecimal digit; -1 for any other character.
int hexDigitValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  if (Digit >= 'A' && Digit <= 'F')
    return Digit - 'A' + 10;
  return -1;
}

Error invalidKey() {
  return Error{ErrorCode::Invalid,
               "the idempotency key is not a UUID version 7 (RFC 9562)",
               "Idempotency-Key"};
}

} // namespace

Result<IdempotencyKey> IdempotencyKey::create(std::string_view Text) {
  if (Text.size() != TextLength)
    return invalidKey();
  Bytes Octets{};
  std::size_t NibbleIndex = 0;
  for (std::size_t I = 0; I < TextLength; ++I) {
    if (isDashPosition(I)) {
      if (Text[I] != '-')
        return invalidKey();
      continue;
    }
    int Value = hexDigitValue(Text[I]);
    if (Value < 0)
      return invalidKey();
    std::uint8_t &Octet = Octets[NibbleIndex / 2];
    Octet = static_cast<std::uint8_t>((Octet << 4) | Value);
    ++NibbleIndex;
  }
  return create(Octets);
}

Result<IdempotencyKey> IdempotencyKey::create(const Bytes &Octets) {
  constexpr unsigned Version7 = 0x7;
  constexpr unsigned VariantRFC9562 = 0x2;
  if (Octets[6] >> 4 != Version7 || Octets[8] >> 6 != VariantRFC9562)
    return invalidKey();
  return IdempotencyKey(Octets);
}

std::string IdempotencyKey::text() const {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(TextLength);
  for (std::uint8_t Octet : Octets_) {
    if (isDashPosition(Text.size()))
      Text += '-';
    Text += Digits[Octet >> 4];
    Text += Digits[Octet & 0xf];
  }
  return Text;
}

WallTime IdempotencyKey::createdAt() const {
  constexpr std::size_t TimeOctets = 6;
  std::int64_t Milliseconds = 0;
  for (std::size_t I = 0; I < TimeOctets; ++I)
    Milliseconds = Milliseconds * 256 + Octets_[I];
  return WallTime(std::chrono::milliseconds(Milliseconds));
}

} // namespace jaybridge
