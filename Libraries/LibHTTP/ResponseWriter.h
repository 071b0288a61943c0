#pragma once

#include <LibExchange/Answer.h>
#include <LibHTTP/HeaderDialect.h>
#include <LibHTTP/UnwrittenAnswers.h>

#include <asio/ip/tcp.hpp>

#include <deque>
#include <string>

// Internal header of the caller listener.

namespace jaybridge {

/// What a response depends on besides its content.
struct ResponseContext {
  RequestId Id_;
  std::optional<RequestId> CallerId_;
  ConfigurationVersion Version_;
  bool IsToHead_ = false;
  bool ClosesConnection_ = false;
};

/// Returns the problem document of a refusal as a response.
Response problemResponse(const Refusal &Refused,
                         const std::optional<RequestId> &CallerId,
                         const HeaderDialect &Dialect);

/// Returns the status line and the header fields of a response.
std::string responseHead(const Response &Content,
                         const ResponseContext &Context,
                         const HeaderDialect &Dialect);

/// Bytes that wait to be written to one caller, in order.
class ResponseWriter {
public:
  enum class State { Written, WouldBlock, Failed };

  void add(std::string Head, Body Content, AnswerToken Token);
  /// Writes as much as the socket accepts. The socket must be non-blocking.
  State write(asio::ip::tcp::socket &Socket);
  bool isEmpty() const { return Parts_.empty(); }
  ByteCount unwrittenBytes() const { return ByteCount(Unwritten_); }

private:
  struct Part {
    std::string Head_;
    Body Body_;
    AnswerToken Token_;

    std::size_t size() const {
      return Head_.size() + (Body_ ? Body_->size() : 0);
    }
  };
  void removeWritten(std::size_t Count);

  std::deque<Part> Parts_;
  /// Bytes of the first part that are written.
  std::size_t Offset_ = 0;
  std::size_t Unwritten_ = 0;
};

} // namespace jaybridge
