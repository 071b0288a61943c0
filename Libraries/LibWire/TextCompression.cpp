#include <LibWire/TextCompression.h>

#include <LibCore/Verify.h>

#include <zlib.h>

#include <array>

namespace jaybridge {

namespace {

class Inflater {
public:
  Inflater() { JAYBRIDGE_VERIFY(inflateInit(&Stream_) == Z_OK); }
  ~Inflater() { inflateEnd(&Stream_); }
  Inflater(const Inflater &) = delete;
  Inflater &operator=(const Inflater &) = delete;

  z_stream &stream() { return Stream_; }

private:
  z_stream Stream_{};
};

Error damaged(const char *Reason) {
  return Error{ErrorCode::Damaged, Reason, {}};
}

} // namespace

std::vector<std::uint8_t> compressText(std::string_view Text) {
  uLongf Length = compressBound(Text.size());
  std::vector<std::uint8_t> Packed(Length);
  // Speed counts: daemons have a fraction of a core.
  int Outcome = compress2(Packed.data(), &Length,
                          reinterpret_cast<const Bytef *>(Text.data()),
                          Text.size(), Z_BEST_SPEED);
  JAYBRIDGE_VERIFY(Outcome == Z_OK);
  Packed.resize(Length);
  return Packed;
}

Result<std::string> decompressText(const std::vector<std::uint8_t> &Packed) {
  Inflater Reader;
  z_stream &Stream = Reader.stream();
  // zlib does not write to its input, though the type lacks the const.
  Stream.next_in = const_cast<Bytef *>(Packed.data());
  Stream.avail_in = static_cast<uInt>(Packed.size());
  std::string Text;
  std::array<char, 64UL * 1024> Block{};
  int Outcome = Z_OK;
  while (Outcome == Z_OK) {
    Stream.next_out = reinterpret_cast<Bytef *>(Block.data());
    Stream.avail_out = static_cast<uInt>(Block.size());
    Outcome = inflate(&Stream, Z_NO_FLUSH);
    Text.append(Block.data(), Block.size() - Stream.avail_out);
    if (Text.size() > MaxDecompressedSize.value())
      return damaged("the packed text is too long");
  }
  if (Outcome != Z_STREAM_END)
    return damaged("the packed text is damaged or incomplete");
  return Text;
}

} // namespace jaybridge
