#include <Fakes/FakeSession.h>

namespace jaybridge {

namespace {

FakeSession &sessionOf(http_parser *Parser) {
  return *static_cast<FakeSession *>(Parser->data);
}

std::string headOf(StatusCode Status, const std::vector<Header> &Headers,
                   std::size_t Length) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status.value()) + " Fake\r\n";
  for (const Header &Each : Headers)
    Text += Each.Name_ + ": " + Each.Value_ + "\r\n";
  return Text + "Content-Length: " + std::to_string(Length) + "\r\n\r\n";
}

} // namespace

FakeSession::FakeSession(asio::ip::tcp::socket Socket, Sinks Deliver)
    : Socket_(std::move(Socket)), Deliver_(std::move(Deliver)) {
  asio::error_code Ignored;
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  http_parser_init(&Parser_, HTTP_REQUEST);
  Parser_.data = this;
}

int FakeSession::onTarget(http_parser *Parser, const char *Data,
                          std::size_t Size) {
  sessionOf(Parser).Message_.Target_.append(Data, Size);
  return 0;
}

int FakeSession::onName(http_parser *Parser, const char *Data,
                        std::size_t Size) {
  FakeSession &Self = sessionOf(Parser);
  if (!Self.IsNameOpen_)
    Self.Message_.Headers_.emplace_back();
  Self.IsNameOpen_ = true;
  Self.Message_.Headers_.back().Name_.append(Data, Size);
  return 0;
}

int FakeSession::onValue(http_parser *Parser, const char *Data,
                         std::size_t Size) {
  FakeSession &Self = sessionOf(Parser);
  Self.IsNameOpen_ = false;
  Self.Message_.Headers_.back().Value_.append(Data, Size);
  return 0;
}

int FakeSession::onBody(http_parser *Parser, const char *Data,
                        std::size_t Size) {
  sessionOf(Parser).Message_.Body_.append(Data, Size);
  return 0;
}

int FakeSession::onComplete(http_parser *Parser) {
  FakeSession &Self = sessionOf(Parser);
  Self.Message_.Method_ =
      http_method_str(static_cast<http_method>(Parser->method));
  Self.IsComplete_ = true;
  http_parser_pause(Parser, 1);
  return 0;
}

const http_parser_settings &FakeSession::callbacks() {
  static const http_parser_settings Callbacks = [] {
    http_parser_settings Made;
    http_parser_settings_init(&Made);
    Made.on_url = &FakeSession::onTarget;
    Made.on_header_field = &FakeSession::onName;
    Made.on_header_value = &FakeSession::onValue;
    Made.on_body = &FakeSession::onBody;
    Made.on_message_complete = &FakeSession::onComplete;
    return Made;
  }();
  return Callbacks;
}

// Reads while a request is open as well, in order to notice the peer's close.
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
  if (IsBusy_ || Unparsed_.empty())
    return;
  const std::size_t Parsed = http_parser_execute(
      &Parser_, &callbacks(), Unparsed_.data(), Unparsed_.size());
  if (IsComplete_) {
    Unparsed_.erase(0, Parsed);
    http_parser_init(&Parser_, HTTP_REQUEST);
    IsComplete_ = false;
    IsNameOpen_ = false;
    IsBusy_ = true;
    Deliver_.Received_(shared_from_this(), std::exchange(Message_, {}));
    return;
  }
  if (HTTP_PARSER_ERRNO(&Parser_) != HPE_OK) {
    close();
    return;
  }
  Unparsed_.clear();
}

void FakeSession::answer(StatusCode Status, std::vector<Header> Headers,
                         const std::string &Text) {
  write(headOf(Status, Headers, Text.size()) + Text);
}

void FakeSession::answerCutShort(const std::string &Text) {
  CloseAfterAnswer_ = true;
  write(headOf(StatusCode(200), {}, Text.size() + 1) + Text);
}

void FakeSession::write(std::string Bytes) {
  auto Kept = std::make_shared<const std::string>(std::move(Bytes));
  asio::async_write(Socket_, asio::buffer(*Kept),
                    [this, Kept, Self = shared_from_this()](
                        asio::error_code Failure, std::size_t) {
                      IsBusy_ = false;
                      if (Failure || CloseAfterAnswer_)
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
  Deliver_.Closed_(*this);
}

} // namespace jaybridge
