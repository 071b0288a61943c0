#pragma once

#include <LibCore/Quantity.h>
#include <LibCore/Units.h>

#include <string>
#include <string_view>

// Internal header of the upstream client.

namespace jaybridge {

/// Memory that the response bodies in progress of a client take together.
class ResponseBuffers {
public:
  explicit ResponseBuffers(ByteCount Limit) : Limit_(Limit.value()) {}
  ResponseBuffers(const ResponseBuffers &) = delete;
  ResponseBuffers &operator=(const ResponseBuffers &) = delete;

  bool isOverLimit() const { return Held_ > Limit_; }

private:
  friend class BufferedBody;
  std::size_t Limit_;
  std::size_t Held_ = 0;
};

/// Response body in progress, counted in the buffers of its client.
class BufferedBody {
public:
  explicit BufferedBody(ResponseBuffers &Buffers) : Buffers_(Buffers) {}
  ~BufferedBody() { discard(); }
  BufferedBody(const BufferedBody &) = delete;
  BufferedBody &operator=(const BufferedBody &) = delete;

  void append(std::string_view Bytes) {
    Bytes_.append(Bytes);
    Buffers_.Held_ += Bytes_.capacity() - Counted_;
    Counted_ = Bytes_.capacity();
  }
  std::size_t size() const { return Bytes_.size(); }
  std::size_t heldBytes() const { return Counted_; }
  /// Returns the body, which is then no longer counted.
  std::string take() {
    std::string Taken = std::move(Bytes_);
    discard();
    return Taken;
  }
  void discard() {
    std::string().swap(Bytes_);
    Buffers_.Held_ -= Counted_;
    Counted_ = 0;
  }

private:
  ResponseBuffers &Buffers_;
  std::string Bytes_;
  std::size_t Counted_ = 0;
};

} // namespace jaybridge
