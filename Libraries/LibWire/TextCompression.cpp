#include <LibWire/TextCompression.h>

#include <LibCore/Verify.h>

#include <zlib.h>

#include <array>

namespace jaybridge {

namespace {

/// Owner of a zlib stream that decompresses.
class InflateStream {
public:
  InflateStream() { JAYBRIDGE_VERIFY(inflateInit(&Stream_) == Z_OK); }
  ~InflateStream() { inflateEnd(&Stream_); }
  InflateStream(const InflateStream &) = delete;
  InflateStream &operator=(const InflateStream &) = delete;

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
  std::vector<std::uint8_t> Compressed(Length);
  // Prefers speed to size: daemons have a fraction of a core.
  int Outcome = compress2(Compressed.data(), &Length,
                          reinterpret_cast<const Bytef *>(Text.data()),
                          Text.size(), Z_BEST_SPEED);
  JAYBRIDGE_VERIFY(Outcome == Z_OK);
  Compressed.resize(Length);
  return Compressed;
}

Result<std::string>
decompressText(const std::vector<std::uint8_t> &Compressed) {
  InflateStream Inflate;
  z_stream &Stream = Inflate.stream();
  // zlib does not write to its input, although next_in is not const.
  Stream.next_in = const_cast<Bytef *>(Compressed.data());
  Stream.avail_in = static_cast<uInt>(Compressed.size());
  std::string Text;
  std::array<char, 64UL * 1024> Block{};
  int Outcome = Z_OK;
  while (Outcome == Z_OK) {
    Stream.next_out = reinterpret_cast<Bytef *>(Block.data());
    Stream.avail_out = static_cast<uInt>(Block.size());
    Outcome = inflate(&Stream, Z_NO_FLUSH);
    Text.append(Block.data(), Block.size() - Stream.avail_out);
    if (Text.size() > MaxDecompressedSize.value())
      return damaged("decompressed text exceeds the size limit");
  }
  if (Outcome != Z_STREAM_END)
    return damaged("compressed text is damaged or incomplete");
  return Text;
}

} // namespace jaybridge
