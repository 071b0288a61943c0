#include <LibProfile/OperatorText.h>

#include <algorithm>
#include <optional>

namespace jaybridge {

namespace {

/// First byte of a sequence: how many bytes follow, the bits that it carries
/// and the least code point that needs this length.
struct SequenceStart {
  std::size_t Following_;
  char32_t Bits_;
  char32_t Least_;
};

std::optional<SequenceStart> sequenceStart(unsigned char Byte) {
  if (Byte < 0x80)
    return SequenceStart{0, Byte, 0};
  if ((Byte & 0xe0) == 0xc0)
    return SequenceStart{1, Byte & 0x1fU, 0x80};
  if ((Byte & 0xf0) == 0xe0)
    return SequenceStart{2, Byte & 0x0fU, 0x800};
  if ((Byte & 0xf8) == 0xf0)
    return SequenceStart{3, Byte & 0x07U, 0x10000};
  return std::nullopt;
}

bool isCodePoint(char32_t Value) {
  return Value <= 0x10ffff && (Value < 0xd800 || Value > 0xdfff);
}

bool isAsciiControl(char Character) {
  auto Byte = static_cast<unsigned char>(Character);
  return Byte < 0x20 || Byte == 0x7f;
}

} // namespace

bool isWellFormedUtf8(std::string_view Text) {
  while (!Text.empty()) {
    auto Start = sequenceStart(static_cast<unsigned char>(Text.front()));
    if (!Start || Text.size() <= Start->Following_)
      return false;
    char32_t Value = Start->Bits_;
    for (char Character : Text.substr(1, Start->Following_)) {
      auto Byte = static_cast<unsigned char>(Character);
      if ((Byte & 0xc0) != 0x80)
        return false;
      Value = (Value << 6) | (Byte & 0x3fU);
    }
    if (Value < Start->Least_ || !isCodePoint(Value))
      return false;
    Text.remove_prefix(Start->Following_ + 1);
  }
  return true;
}

Status checkOperatorText(std::string_view Text, ByteCount Greatest,
                         const char *Field) {
  if (!Text.empty() && Text.size() <= Greatest.value() &&
      std::none_of(Text.begin(), Text.end(), isAsciiControl) &&
      isWellFormedUtf8(Text))
    return success();
  return Error{ErrorCode::Invalid,
               std::string(Field) + " must be 1 to " +
                   std::to_string(Greatest.value()) +
                   " bytes of UTF-8 without control characters",
               Field};
}

} // namespace jaybridge
