#pragma once

#include <LibCore/Units.h>
#include <LibExchange/Request.h>

#include <asio.hpp>
#include <http_parser.h>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace jaybridge {

/// An HTTP request that a fake upstream received.
struct FakeRequest {
  std::string Method_;
  std::string Target_;
  std::vector<Header> Headers_;
  std::string Body_;
};

/// One HTTP/1.1 connection of a fake upstream. Requests are delivered one at a
/// time: a pipelined request waits for the response to the previous one.
class FakeSession : public std::enable_shared_from_this<FakeSession> {
public:
  /// Callbacks of the owner.
  struct Handlers {
    std::function<void(std::shared_ptr<FakeSession>, FakeRequest)> OnRequest_;
    /// The connection was closed; nobody awaits the response to an open
    /// request.
    std::function<void(FakeSession &)> OnClosed_;
  };

  FakeSession(asio::ip::tcp::socket Socket, Handlers Callbacks);
  FakeSession(const FakeSession &) = delete;
  FakeSession &operator=(const FakeSession &) = delete;

  void start() { read(); }
  /// Writes a response; `Content-Length` is added to the headers.
  void respond(StatusCode Status, std::vector<Header> Headers,
               const std::string &Body);
  /// Writes a response whose body is shorter than its `Content-Length`, then
  /// closes the connection.
  void respondTruncated(const std::string &Body);
  void closeAfterResponse() { IsClosingAfterResponse_ = true; }
  void close();

private:
  static int onTarget(http_parser *Parser, const char *Data, std::size_t Size);
  static int onHeaderName(http_parser *Parser, const char *Data,
                          std::size_t Size);
  static int onHeaderValue(http_parser *Parser, const char *Data,
                           std::size_t Size);
  static int onBody(http_parser *Parser, const char *Data, std::size_t Size);
  static int onComplete(http_parser *Parser);
  static const http_parser_settings &parserSettings();

  void read();
  void parse();
  void write(std::string Bytes);

  asio::ip::tcp::socket Socket_;
  Handlers Handlers_;
  http_parser Parser_{};
  FakeRequest Request_;
  bool IsInHeaderName_ = false;
  bool IsRequestComplete_ = false;
  /// A request was delivered and its response is not yet written.
  bool IsAwaitingResponse_ = false;
  bool IsClosingAfterResponse_ = false;
  std::array<char, 16384> Input_{};
  std::string Unparsed_;
};

} // namespace jaybridge
