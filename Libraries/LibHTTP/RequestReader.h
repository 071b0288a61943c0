#pragma once

#include <LibCore/Units.h>
#include <LibHTTP/RequestParser.h>

#include <http_parser.h>

#include <optional>
#include <string>
#include <string_view>

// Internal header of the caller listener.

namespace jaybridge {

/// Reads requests from the bytes of one connection. Stops at the end of each
/// head, so that the body can be refused before it is received, and at the end
/// of each request.
class RequestReader {
public:
  /// Heads of up to 16 KiB are served; the rest is a margin.
  static constexpr std::size_t MaxHeadSize = 32UL * 1024;
  static constexpr std::size_t MaxChunkExtension = 1024;
  static constexpr std::size_t MaxTrailer = 4096;

  enum class Event { NeedsBytes, HeadComplete, RequestComplete, Malformed };
  struct Step {
    Event Event_ = Event::NeedsBytes;
    std::size_t Consumed_ = 0;
  };

  explicit RequestReader(ByteCount BodyLimit);
  RequestReader(const RequestReader &) = delete;
  RequestReader &operator=(const RequestReader &) = delete;

  /// Reads until an event or the end of the bytes.
  Step read(std::string_view Bytes);
  /// Why the request is malformed.
  const std::string &problem() const { return Problem_; }

  bool hasStarted() const { return HasStarted_; }
  bool isInBody() const { return HasHead_; }
  /// Announced length of the body; none if it is chunked.
  std::optional<ByteCount> announcedLength() const { return Announced_; }
  bool isUpgrade() const { return Parser_.upgrade != 0; }
  bool keepsAlive() const { return KeepsAlive_; }
  bool expectsContinue() const { return ExpectsContinue_; }
  /// Whether a chunked body has become longer than the limit.
  bool isBodyTooLong() const { return IsBodyTooLong_; }
  bool isSafeMethod() const {
    return Parser_.method == HTTP_GET || Parser_.method == HTTP_HEAD;
  }
  bool isHeadMethod() const { return Parser_.method == HTTP_HEAD; }
  ByteCount bodySize() const { return ByteCount(Body_.size()); }
  /// Memory of the request read so far. Storage that is reserved for the body
  /// but was never written to takes no memory and is not counted.
  ByteCount heldBytes() const;

  /// Returns the complete request, and prepares for the next one. The target
  /// refers to `Target`.
  RawHTTPRequest take(std::string &Target);
  /// Discards the request read so far. Later bytes must not be read.
  void discard();

private:
  static const http_parser_settings &callbacks();
  static RequestReader &self(http_parser *Parser) {
    return *static_cast<RequestReader *>(Parser->data);
  }
  void addFieldBytes(std::string_view Bytes);
  void addValueBytes(std::string_view Bytes);
  void finishHead();
  bool addBody(std::string_view Bytes);
  void reserveBody(std::size_t Needed);
  void countOverhead(std::size_t Consumed, std::size_t BodyBefore);
  void reset();

  std::size_t BodyLimit_;
  http_parser Parser_{};
  std::string Target_;
  std::vector<Header> Headers_;
  std::string Body_;
  std::string Problem_;
  std::optional<ByteCount> Announced_;
  std::size_t HeadSize_ = 0;
  /// Bytes of the body's framing since the last chunk began.
  std::size_t Overhead_ = 0;
  bool HasStarted_ = false;
  bool HasHead_ = false;
  bool IsComplete_ = false;
  bool IsInValue_ = false;
  bool BeganChunk_ = false;
  bool IsBodyTooLong_ = false;
  bool KeepsAlive_ = false;
  bool ExpectsContinue_ = false;
};

} // namespace jaybridge
