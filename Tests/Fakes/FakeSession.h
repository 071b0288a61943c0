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

struct FakeMessage {
  std::string Method_;
  std::string Target_;
  std::vector<Header> Headers_;
  std::string Body_;
};

/// One connection of a fake upstream. Requests are delivered one after the
/// other; the next one is read after the answer to the previous one.
class FakeSession : public std::enable_shared_from_this<FakeSession> {
public:
  struct Sinks {
    std::function<void(std::shared_ptr<FakeSession>, FakeMessage)> Received_;
    /// The peer closed the connection; an open request has no caller any more.
    std::function<void(FakeSession &)> Closed_;
  };

  FakeSession(asio::ip::tcp::socket Socket, Sinks Deliver);
  FakeSession(const FakeSession &) = delete;
  FakeSession &operator=(const FakeSession &) = delete;

  void start() { read(); }
  /// Writes an answer whose headers are complete but for `Content-Length`.
  void answer(StatusCode Status, std::vector<Header> Headers,
              const std::string &Text);
  /// Writes a part of an answer and closes the connection.
  void answerCutShort(const std::string &Text);
  void closeAfterAnswer() { CloseAfterAnswer_ = true; }
  void close();

private:
  static int onTarget(http_parser *Parser, const char *Data, std::size_t Size);
  static int onName(http_parser *Parser, const char *Data, std::size_t Size);
  static int onValue(http_parser *Parser, const char *Data, std::size_t Size);
  static int onBody(http_parser *Parser, const char *Data, std::size_t Size);
  static int onComplete(http_parser *Parser);
  static const http_parser_settings &callbacks();

  void read();
  void parse();
  void write(std::string Bytes);

  asio::ip::tcp::socket Socket_;
  Sinks Deliver_;
  http_parser Parser_{};
  FakeMessage Message_;
  bool IsNameOpen_ = false;
  bool IsComplete_ = false;
  /// A request was delivered and has no answer yet.
  bool IsBusy_ = false;
  bool CloseAfterAnswer_ = false;
  std::array<char, 16384> Input_{};
  std::string Unparsed_;
};

} // namespace jaybridge
