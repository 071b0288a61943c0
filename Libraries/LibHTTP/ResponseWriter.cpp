#include <LibHTTP/ResponseWriter.h>

#include <LibHTTP/HeaderRules.h>
#include <LibHTTP/ProblemDocument.h>

#include <asio/buffer.hpp>

#include <array>
#include <cstdlib>

namespace jaybridge {

namespace {

bool hasNoBody(StatusCode Status) {
  return Status == StatusCode(204) || Status == StatusCode(304);
}

void appendHeader(std::string &Head, std::string_view Name,
                  std::string_view Value) {
  Head.append(Name).append(": ").append(Value).append("\r\n");
}

std::uint64_t contentLength(const Response &Content, bool IsToHead) {
  const Header *Announced = findHeader(Content.Headers_, "Content-Length");
  if (IsToHead && Announced != nullptr)
    return std::strtoull(Announced->Value_.c_str(), nullptr, 10);
  return Content.Body_ ? Content.Body_->size() : 0;
}

} // namespace

Response problemResponse(const Refusal &Refused,
                         const std::optional<RequestId> &CallerId,
                         const HeaderDialect &Dialect) {
  Response Problem;
  Problem.Status_ = statusOf(Refused);
  Problem.Headers_.push_back({"Content-Type", ProblemContentType});
  // RFC 9110, section 15.5.2.
  if (Refused.Reason_ == RefusalReason::Unauthorized)
    Problem.Headers_.push_back({"WWW-Authenticate", "Bearer"});
  if (Refused.RetryAfter_)
    Problem.Headers_.push_back(
        {"Retry-After", Dialect.HasFractionalRetryAfter_
                            ? fractionalRetryAfterSeconds(*Refused.RetryAfter_)
                            : retryAfterSeconds(*Refused.RetryAfter_)});
  if (CallerId)
    Problem.Headers_.push_back({Dialect.CallerRequestId_, CallerId->text()});
  Problem.Body_ =
      std::make_shared<const std::string>(problemDocumentOf(Refused));
  return Problem;
}

std::string responseHead(const Response &Content,
                         const ResponseContext &Context,
                         const HeaderDialect &Dialect) {
  constexpr std::size_t TypicalSize = 512;
  std::string Head;
  Head.reserve(TypicalSize);
  Head.append("HTTP/1.1 ")
      .append(std::to_string(Content.Status_.value()))
      .append(" ")
      .append(reasonPhrase(Content.Status_))
      .append("\r\n");
  appendHeader(Head, "Connection",
               Context.ClosesConnection_ ? "close" : "keep-alive");
  if (!hasNoBody(Content.Status_))
    appendHeader(Head, "Content-Length",
                 std::to_string(contentLength(Content, Context.IsToHead_)));
  std::vector<Header> Headers = Content.Headers_;
  removeHopByHopHeaders(Headers);
  for (const Header &Field : Headers)
    if (!isSameHeaderName(Field.Name_, "Content-Length"))
      appendHeader(Head, Field.Name_, Field.Value_);
  if (Dialect.Addressing_ != ServiceAddressing::HostAndPath) {
    appendHeader(Head, RequestIdHeader, Context.Id_.text());
    appendHeader(Head, ConfigurationVersionHeader,
                 std::to_string(Context.Version_.value()));
  }
  Head.append("\r\n");
  return Head;
}

void ResponseWriter::add(std::string Head, Body Content, AnswerToken Token) {
  Parts_.push_back({std::move(Head), std::move(Content), std::move(Token)});
  Unwritten_ += Parts_.back().size();
}

ResponseWriter::State ResponseWriter::write(asio::ip::tcp::socket &Socket) {
  while (!Parts_.empty()) {
    constexpr std::size_t MaxBuffers = 16;
    std::array<asio::const_buffer, MaxBuffers> Buffers;
    std::size_t Count = 0;
    std::size_t Skipped = Offset_;
    auto Add = [&](const std::string &Bytes) {
      const std::size_t Start = std::min(Skipped, Bytes.size());
      Skipped -= Start;
      if (Start < Bytes.size())
        Buffers[Count++] =
            asio::const_buffer(Bytes.data() + Start, Bytes.size() - Start);
    };
    for (const Part &Next : Parts_) {
      if (Count + 2 > MaxBuffers)
        break;
      Add(Next.Head_);
      if (Next.Body_)
        Add(*Next.Body_);
    }
    asio::error_code Failure;
    const std::size_t Written = Socket.write_some(Buffers, Failure);
    if (Failure == asio::error::would_block)
      return State::WouldBlock;
    if (Failure)
      return State::Failed;
    removeWritten(Written);
  }
  return State::Written;
}

void ResponseWriter::removeWritten(std::size_t Count) {
  Unwritten_ -= Count;
  Offset_ += Count;
  while (!Parts_.empty() && Offset_ >= Parts_.front().size()) {
    Offset_ -= Parts_.front().size();
    Parts_.pop_front();
  }
}

} // namespace jaybridge
