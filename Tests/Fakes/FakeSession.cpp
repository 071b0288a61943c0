#include <Fakes/FakeSession.h>

namespace jaybridge {

namespace {

FakeSession &sessionOf(http_parser *Parser) {
  return *static_cast<FakeSession *>(Parser->data);
}

std::string responseHead(StatusCode Status, const std::vector<Header> &Headers,
                         std::size_t Length) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status.value()) + " Fake\r\n";
  for (const Header &Field : Headers)
    Text += Field.Name_ + ": " + Field.Value_ + "\r\n";
  return Text + "Content-Length: " + std::to_string(Length) + "\r\n\r\n";
}

} // namespace

FakeSession::FakeSession(asio::ip::tcp::socket Socket, Handlers Callbacks)
    : Socket_(std::move(Socket)), Handlers_(std::move(Callbacks)) {
  asio::error_code Ignored;
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  http_parser_init(&Parser_, HTTP_REQUEST);
  Parser_.data = this;
}

int FakeSession::onTarget(http_parser *Parser, const char *Data,
                          std::size_t Size) {
  sessionOf(Parser).Request_.Target_.append(Data, Size);
  return 0;
}

int FakeSession::onHeaderName(http_parser *Parser, const char *Data,
                              std::size_t Size) {
  FakeSession &Self = sessionOf(Parser);
  if (!Self.IsInHeaderName_)
    Self.Request_.Headers_.emplace_back();
  Self.IsInHeaderName_ = true;
  Self.Request_.Headers_.back().Name_.append(Data, Size);
  return 0;
}

int FakeSession::onHeaderValue(http_parser *Parser, const char *Data,
                               std::size_t Size) {
  FakeSession &Self = sessionOf(Parser);
  Self.IsInHeaderName_ = false;
  Self.Request_.Headers_.back().Value_.append(Data, Size);
  return 0;
}

int FakeSession::onBody(http_parser *Parser, const char *Data,
                        std::size_t Size) {
  sessionOf(Parser).Request_.Body_.append(Data, Size);
  return 0;
}

int FakeSession::onComplete(http_parser *Parser) {
  FakeSession &Self = sessionOf(Parser);
  Self.Request_.Method_ =
      http_method_str(static_cast<http_method>(Parser->method));
  Self.IsRequestComplete_ = true;
  http_parser_pause(Parser, 1);
  return 0;
}

const http_parser_settings &FakeSession::parserSettings() {
  static const http_parser_settings Settings = [] {
    http_parser_settings Created;
    http_parser_settings_init(&Created);
    Created.on_url = &FakeSession::onTarget;
    Created.on_header_field = &FakeSession::onHeaderName;
    Created.on_header_value = &FakeSession::onHeaderValue;
    Created.on_body = &FakeSession::onBody;
    Created.on_message_complete = &FakeSession::onComplete;
    return Created;
  }();
  return Settings;
}

// Keeps reading while a request awaits its response, in order to detect that
// the peer closes the connection.
void FakeSession::read() {
  Socket_.async_read_some(asio::buffer(Input_),
                          [this, Self = shared_from_this()](
                              asio::error_code Failure, std::size_t Length) {
                            if (Failure) {
                              close();
                              return;
                            }
                            Unparsed_.append(Input_.data(), Length);
                            parse();
                            read();
                          });
}

void FakeSession::parse() {
  if (IsAwaitingResponse_ || Unparsed_.empty())
    return;
  const std::size_t Parsed = http_parser_execute(
      &Parser_, &parserSettings(), Unparsed_.data(), Unparsed_.size());
  if (IsRequestComplete_) {
    Unparsed_.erase(0, Parsed);
    http_parser_init(&Parser_, HTTP_REQUEST);
    IsRequestComplete_ = false;
    IsInHeaderName_ = false;
    IsAwaitingResponse_ = true;
    Handlers_.OnRequest_(shared_from_this(), std::exchange(Request_, {}));
    return;
  }
  if (HTTP_PARSER_ERRNO(&Parser_) != HPE_OK) {
    close();
    return;
  }
  Unparsed_.clear();
}

void FakeSession::respond(StatusCode Status, std::vector<Header> Headers,
                          const std::string &Body) {
  write(responseHead(Status, Headers, Body.size()) + Body);
}

void FakeSession::respondTruncated(const std::string &Body) {
  IsClosingAfterResponse_ = true;
  write(responseHead(StatusCode(200), {}, Body.size() + 1) + Body);
}

void FakeSession::write(std::string Bytes) {
  auto Buffer = std::make_shared<const std::string>(std::move(Bytes));
  asio::async_write(Socket_, asio::buffer(*Buffer),
                    [this, Buffer, Self = shared_from_this()](
                        asio::error_code Failure, std::size_t) {
                      IsAwaitingResponse_ = false;
                      if (Failure || IsClosingAfterResponse_)
                        close();
                      else
                        parse();
                    });
}

void FakeSession::close() {
  if (!Socket_.is_open())
    return;
  asio::error_code Ignored;
  Socket_.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  Socket_.close(Ignored);
  Handlers_.OnClosed_(*this);
}

} // namespace jaybridge
