#include <LibProfile/OperatorText.h>

#include <algorithm>
#include <optional>

namespace jaybridge {

namespace {

/// Lead byte of a UTF-8 sequence: the number of continuation bytes, the payload
/// bits and the smallest code point that needs a sequence of this length.
struct Utf8LeadByte {
  std::size_t ContinuationCount_;
  char32_t PayloadBits_;
  char32_t MinCodePoint_;
};

std::optional<Utf8LeadByte> decodeLeadByte(unsigned char Byte) {
  if (Byte < 0x80)
    return Utf8LeadByte{0, Byte, 0};
  if ((Byte & 0xe0) == 0xc0)
    return Utf8LeadByte{1, Byte & 0x1fU, 0x80};
  if ((Byte & 0xf0) == 0xe0)
    return Utf8LeadByte{2, Byte & 0x0fU, 0x800};
  if ((Byte & 0xf8) == 0xf0)
    return Utf8LeadByte{3, Byte & 0x07U, 0x10000};
  return std::nullopt;
}

bool isScalarValue(char32_t Value) {
  return Value <= 0x10ffff && (Value < 0xd800 || Value > 0xdfff);
}

bool isAsciiControl(char Character) {
  auto Byte = static_cast<unsigned char>(Character);
  return Byte < 0x20 || Byte == 0x7f;
}

} // namespace

bool isWellFormedUtf8(std::string_view Text) {
  while (!Text.empty()) {
    auto Lead = decodeLeadByte(static_cast<unsigned char>(Text.front()));
    if (!Lead || Text.size() <= Lead->ContinuationCount_)
      return false;
    char32_t Value = Lead->PayloadBits_;
    for (char Character : Text.substr(1, Lead->ContinuationCount_)) {
      auto Byte = static_cast<unsigned char>(Character);
      if ((Byte & 0xc0) != 0x80)
        return false;
      Value = (Value << 6) | (Byte & 0x3fU);
    }
    if (Value < Lead->MinCodePoint_ || !isScalarValue(Value))
      return false;
    Text.remove_prefix(Lead->ContinuationCount_ + 1);
  }
  return true;
}

Status checkOperatorText(std::string_view Text, ByteCount MaxLength,
                         const char *Field) {
  if (!Text.empty() && Text.size() <= MaxLength.value() &&
      std::none_of(Text.begin(), Text.end(), isAsciiControl) &&
      isWellFormedUtf8(Text))
    return success();
  return Error{ErrorCode::Invalid,
               std::string(Field) + " must be 1 to " +
                   std::to_string(MaxLength.value()) +
                   " bytes of UTF-8 without control characters",
               Field};
}

} // namespace jaybridge
