#include <LibStorage/RecordFormat.h>

#include <algorithm>
#include <cstdint>

#include <xxhash.h>

namespace jaybridge {

namespace {

constexpr std::size_t LengthSize = 4;
constexpr std::size_t LengthCheckSize = 4;
constexpr std::size_t PayloadCheckSize = 8;
constexpr std::size_t HeaderSize =
    LengthSize + LengthCheckSize + PayloadCheckSize;
/// Not 0: a crash can leave zeros where the end of a record was to be written.
constexpr char EndMark = '\x5a';

void putNumber(std::string &Out, std::uint64_t Value, std::size_t Bytes) {
  for (std::size_t I = 0; I < Bytes; ++I)
    Out.push_back(static_cast<char>((Value >> (8 * I)) & 0xff));
}

std::uint64_t getNumber(std::string_view Data, std::size_t Bytes) {
  std::uint64_t Value = 0;
  for (std::size_t I = 0; I < Bytes; ++I)
    Value |= std::uint64_t(static_cast<unsigned char>(Data[I])) << (8 * I);
  return Value;
}

std::uint64_t checksum(std::string_view Data, ByteCount Offset) {
  return XXH3_64bits_withSeed(Data.data(), Data.size(), Offset.value());
}

std::uint64_t lengthChecksum(std::string_view Length, ByteCount Offset) {
  return checksum(Length, Offset) & 0xffffffff;
}

bool isAllZero(std::string_view Data) {
  return Data.find_first_not_of('\0') == std::string_view::npos;
}

Error damage(const std::string &Path, std::size_t Offset,
             const std::string &Reason) {
  return Error{ErrorCode::Damaged,
               Path + " is damaged at offset " + std::to_string(Offset) + ": " +
                   Reason,
               {}};
}

} // namespace

std::string encodeRecord(std::string_view Payload, ByteCount Offset) {
  JAYBRIDGE_VERIFY(Payload.size() <= MaxRecordSize.value());
  std::string Record;
  Record.reserve(HeaderSize + Payload.size() + 1);
  putNumber(Record, Payload.size(), LengthSize);
  putNumber(Record, lengthChecksum(Record, Offset), LengthCheckSize);
  putNumber(Record, checksum(Payload, Offset), PayloadCheckSize);
  Record += Payload;
  Record.push_back(EndMark);
  return Record;
}

Result<ScannedRecords> scanRecords(std::string_view Content,
                                   const std::string &Path) {
  ScannedRecords Scanned;
  std::size_t Offset = 0;
  while (Offset < Content.size()) {
    std::string_view Rest = Content.substr(Offset);
    ByteCount Position(Offset);
    if (Rest.size() < HeaderSize || isAllZero(Rest))
      break;
    std::string_view Length = Rest.substr(0, LengthSize);
    std::size_t Size = getNumber(Length, LengthSize);
    if (getNumber(Rest.substr(LengthSize), LengthCheckSize) !=
            lengthChecksum(Length, Position) ||
        Size > MaxRecordSize.value())
      return damage(Path, Offset, "length of a record");
    std::size_t Total = HeaderSize + Size + 1;
    if (Rest.size() < Total)
      break;
    std::string_view Payload = Rest.substr(HeaderSize, Size);
    bool IsLast = Rest.size() == Total;
    char Mark = Rest[Total - 1];
    if (IsLast && Mark == '\0')
      break;
    std::uint64_t Check =
        getNumber(Rest.substr(LengthSize + LengthCheckSize), PayloadCheckSize);
    if (Mark != EndMark || Check != checksum(Payload, Position))
      return damage(Path, Offset, "checksum of a record");
    Scanned.Payloads_.emplace_back(Payload);
    Offset += Total;
  }
  Scanned.CompleteSize_ = ByteCount(Offset);
  return Scanned;
}

} // namespace jaybridge
