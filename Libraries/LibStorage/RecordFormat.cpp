#include <LibStorage/RecordFormat.h>

#include <algorithm>
#include <cstdint>

#include <xxhash.h>

namespace jaybridge {

namespace {

constexpr std::size_t LengthSize = 4;
constexpr std::size_t LengthChecksumSize = 4;
constexpr std::size_t PayloadChecksumSize = 8;
constexpr std::size_t HeaderSize =
    LengthSize + LengthChecksumSize + PayloadChecksumSize;
/// Not 0: after a crash a file can end in zeros where a record was to be
/// written.
constexpr char EndMarker = '\x5a';

void appendLittleEndian(std::string &Buffer, std::uint64_t Value,
                        std::size_t Width) {
  for (std::size_t Index = 0; Index < Width; ++Index)
    Buffer.push_back(static_cast<char>((Value >> (8 * Index)) & 0xff));
}

std::uint64_t readLittleEndian(std::string_view Data, std::size_t Width) {
  std::uint64_t Value = 0;
  for (std::size_t Index = 0; Index < Width; ++Index)
    Value |= std::uint64_t(static_cast<unsigned char>(Data[Index]))
             << (8 * Index);
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

Error damagedError(const std::string &Path, std::size_t Offset,
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
  appendLittleEndian(Record, Payload.size(), LengthSize);
  appendLittleEndian(Record, lengthChecksum(Record, Offset),
                     LengthChecksumSize);
  appendLittleEndian(Record, checksum(Payload, Offset), PayloadChecksumSize);
  Record += Payload;
  Record.push_back(EndMarker);
  return Record;
}

Result<ScannedRecords> scanRecords(std::string_view Content,
                                   const std::string &Path) {
  ScannedRecords Scan;
  std::size_t Offset = 0;
  while (Offset < Content.size()) {
    std::string_view Remaining = Content.substr(Offset);
    ByteCount Position(Offset);
    if (Remaining.size() < HeaderSize || isAllZero(Remaining))
      break;
    std::string_view Length = Remaining.substr(0, LengthSize);
    std::size_t Size = readLittleEndian(Length, LengthSize);
    if (readLittleEndian(Remaining.substr(LengthSize), LengthChecksumSize) !=
            lengthChecksum(Length, Position) ||
        Size > MaxRecordSize.value())
      return damagedError(Path, Offset,
                          "invalid record length or length checksum");
    std::size_t RecordSize = HeaderSize + Size + 1;
    if (Remaining.size() < RecordSize)
      break;
    std::string_view Payload = Remaining.substr(HeaderSize, Size);
    bool IsLast = Remaining.size() == RecordSize;
    char Marker = Remaining[RecordSize - 1];
    if (IsLast && Marker == '\0')
      break;
    std::uint64_t PayloadChecksum = readLittleEndian(
        Remaining.substr(LengthSize + LengthChecksumSize), PayloadChecksumSize);
    if (Marker != EndMarker || PayloadChecksum != checksum(Payload, Position))
      return damagedError(Path, Offset,
                          "invalid payload checksum or end marker");
    Scan.Payloads_.emplace_back(Payload);
    Offset += RecordSize;
  }
  Scan.CompleteSize_ = ByteCount(Offset);
  return Scan;
}

} // namespace jaybridge
