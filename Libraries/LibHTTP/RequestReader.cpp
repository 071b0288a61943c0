#include <LibHTTP/RequestReader.h>

#include <LibHTTP/HeaderRules.h>

#include <algorithm>
#include <utility>

namespace jaybridge {

namespace {

/// Storage of chunked bodies is doubled up to this size. A longer body gets
/// storage for the limit at once, so that no large body is copied; the unused
/// part of such an allocation has no pages.
constexpr std::size_t MaxCopiedBody = 1024UL * 1024;
constexpr std::size_t FirstBodyStorage = 4096;

} // namespace

RequestReader::RequestReader(ByteCount BodyLimit)
    : BodyLimit_(BodyLimit.value()) {
  http_parser_init(&Parser_, HTTP_REQUEST);
  Parser_.data = this;
}

const http_parser_settings &RequestReader::callbacks() {
  static const http_parser_settings Callbacks = [] {
    http_parser_settings Created;
    http_parser_settings_init(&Created);
    Created.on_message_begin = [](http_parser *Parser) {
      self(Parser).HasStarted_ = true;
      return 0;
    };
    Created.on_url = [](http_parser *Parser, const char *At, size_t Length) {
      self(Parser).Target_.append(At, Length);
      return 0;
    };
    Created.on_header_field = [](http_parser *Parser, const char *At,
                                 size_t Length) {
      self(Parser).addFieldBytes({At, Length});
      return 0;
    };
    Created.on_header_value = [](http_parser *Parser, const char *At,
                                 size_t Length) {
      self(Parser).addValueBytes({At, Length});
      return 0;
    };
    Created.on_headers_complete = [](http_parser *Parser) {
      self(Parser).finishHead();
      http_parser_pause(Parser, 1);
      return 0;
    };
    Created.on_chunk_header = [](http_parser *Parser) {
      self(Parser).BeganChunk_ = true;
      return 0;
    };
    Created.on_body = [](http_parser *Parser, const char *At, size_t Length) {
      return self(Parser).addBody({At, Length}) ? 0 : 1;
    };
    Created.on_message_complete = [](http_parser *Parser) {
      self(Parser).IsComplete_ = true;
      http_parser_pause(Parser, 1);
      return 0;
    };
    return Created;
  }();
  return Callbacks;
}

RequestReader::Step RequestReader::read(std::string_view Bytes) {
  const bool HadHead = HasHead_;
  const std::size_t BodyBefore = Body_.size();
  const std::size_t Consumed =
      http_parser_execute(&Parser_, &callbacks(), Bytes.data(), Bytes.size());
  const http_errno Failure = HTTP_PARSER_ERRNO(&Parser_);
  if (Failure == HPE_PAUSED)
    http_parser_pause(&Parser_, 0);
  if (!HadHead)
    HeadSize_ += Consumed;
  else
    countOverhead(Consumed, BodyBefore);
  if (IsBodyTooLong_)
    return {Event::Malformed, Bytes.size()};
  if (Failure != HPE_OK && Failure != HPE_PAUSED && Problem_.empty())
    Problem_ =
        std::string("malformed request: ") + http_errno_description(Failure);
  if (!HadHead && HeadSize_ > MaxHeadSize)
    Problem_ =
        "the head is longer than " + std::to_string(MaxHeadSize) + " bytes";
  if (!Problem_.empty())
    return {Event::Malformed, Bytes.size()};
  if (IsComplete_)
    return {Event::RequestComplete, Consumed};
  if (HasHead_ && !HadHead)
    return {Event::HeadComplete, Consumed};
  return {Event::NeedsBytes, Consumed};
}

void RequestReader::addFieldBytes(std::string_view Bytes) {
  // Fields of the trailer are not forwarded.
  if (HasHead_)
    return;
  if (IsInValue_ || Headers_.empty())
    Headers_.emplace_back();
  IsInValue_ = false;
  Headers_.back().Name_.append(Bytes);
}

void RequestReader::addValueBytes(std::string_view Bytes) {
  if (HasHead_)
    return;
  IsInValue_ = true;
  Headers_.back().Value_.append(Bytes);
}

void RequestReader::finishHead() {
  HasHead_ = true;
  KeepsAlive_ = http_should_keep_alive(&Parser_) != 0;
  const bool IsChunked = (Parser_.flags & F_CHUNKED) != 0;
  if (!IsChunked)
    Announced_ = ByteCount(
        (Parser_.flags & F_CONTENTLENGTH) != 0 ? Parser_.content_length : 0);
  const Header *Expect = findHeader(Headers_, "Expect");
  ExpectsContinue_ = Expect != nullptr && Parser_.http_minor > 0 &&
                     isSameHeaderName(Expect->Value_, "100-continue");
}

bool RequestReader::addBody(std::string_view Bytes) {
  if (Body_.size() + Bytes.size() > BodyLimit_) {
    IsBodyTooLong_ = true;
    return false;
  }
  reserveBody(Body_.size() + Bytes.size());
  Body_.append(Bytes);
  return true;
}

void RequestReader::reserveBody(std::size_t Needed) {
  if (Needed <= Body_.capacity())
    return;
  if (Announced_)
    Body_.reserve(Announced_->value());
  else if (Needed > MaxCopiedBody)
    Body_.reserve(BodyLimit_);
  else
    Body_.reserve(std::max({Needed, 2 * Body_.capacity(), FirstBodyStorage}));
}

void RequestReader::countOverhead(std::size_t Consumed,
                                  std::size_t BodyBefore) {
  if (std::exchange(BeganChunk_, false))
    Overhead_ = 0;
  else
    Overhead_ += Consumed - std::min(Consumed, Body_.size() - BodyBefore);
  const bool IsInTrailer = (Parser_.flags & F_TRAILING) != 0;
  if (Overhead_ > (IsInTrailer ? MaxTrailer : MaxChunkExtension))
    Problem_ = IsInTrailer ? "the trailer is too long"
                           : "a chunk extension is too long";
}

ByteCount RequestReader::heldBytes() const {
  return ByteCount(2 * HeadSize_ + Headers_.capacity() * sizeof(Header) +
                   Body_.size());
}

RawHTTPRequest RequestReader::take(std::string &Target) {
  Target = std::move(Target_);
  RawHTTPRequest Taken;
  Taken.Method_ = http_method_str(static_cast<http_method>(Parser_.method));
  Taken.Target_ = Target;
  Taken.Headers_ = std::move(Headers_);
  Taken.Body_ = std::move(Body_);
  reset();
  return Taken;
}

void RequestReader::discard() {
  std::string().swap(Body_);
  std::string().swap(Target_);
  std::vector<Header>().swap(Headers_);
  reset();
}

void RequestReader::reset() {
  Target_.clear();
  Headers_.clear();
  Body_ = std::string();
  Announced_.reset();
  HeadSize_ = 0;
  Overhead_ = 0;
  HasStarted_ = HasHead_ = IsComplete_ = IsInValue_ = BeganChunk_ = false;
  IsBodyTooLong_ = ExpectsContinue_ = false;
}

} // namespace jaybridge
