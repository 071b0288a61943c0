#include <LibHTTP/UpstreamTransfer.h>

#include <LibHTTP/HeaderRules.h>

#include <algorithm>
#include <cstdio>

namespace jaybridge {

namespace {

constexpr std::size_t HeaderLimit = 64UL * 1024;
constexpr long StatusUnavailable = 503;
constexpr long StatusMisdirected = 421;
constexpr long FirstFinalStatus = 200;
constexpr long FirstRedirection = 300;
constexpr long FirstFailure = 400;

template <typename Value>
void setOption(CURL *Handle, CURLoption Option, Value Given) {
  // Fails for options that the library lacks; none of those is used here.
  JAYBRIDGE_VERIFY(curl_easy_setopt(Handle, Option, Given) == CURLE_OK);
}

long millisecondsOf(Duration Time) {
  using Milliseconds = std::chrono::milliseconds;
  // libcurl takes 0 for "no limit".
  return std::max<long>(1, std::chrono::ceil<Milliseconds>(Time).count());
}

void append(HeaderList &List, const std::string &Line) {
  curl_slist *Longer = curl_slist_append(List.get(), Line.c_str());
  JAYBRIDGE_VERIFY(Longer != nullptr);
  // The head is the same unless the list was empty.
  if (!List)
    List.reset(Longer);
}

std::string headerLine(const Header &Given) {
  // libcurl takes "Name:" as the wish to leave a header out.
  return Given.Value_.empty() ? Given.Name_ + ";"
                              : Given.Name_ + ": " + Given.Value_;
}

} // namespace

UpstreamTransfer::UpstreamTransfer(SendAttempt Attempt, EasyHandle Handle,
                                   const UpstreamClientOptions &Options,
                                   TimePoint Now)
    : Attempt_(std::move(Attempt)), Handle_(std::move(Handle)), StartedAt_(Now),
      AnswerLimit_(Options.AnswerLimit_), Dialect_(Options.Dialect_) {
  const Duration Left = Attempt_.Deadline_ - Now;
  setRequest();
  setHeaders(Left);
  setConnection(Options);
  CURL *Easy = Handle_.get();
  setOption(Easy, CURLOPT_TIMEOUT_MS, millisecondsOf(Left));
  setOption(Easy, CURLOPT_CONNECTTIMEOUT_MS,
            millisecondsOf(std::min(Left, Options.ConnectTimeout_)));
  setOption(Easy, CURLOPT_NOSIGNAL, 1L);
  // The environment of the process must not redirect requests.
  setOption(Easy, CURLOPT_PROXY, "");
  setOption(Easy, CURLOPT_HTTP_VERSION,
            static_cast<long>(CURL_HTTP_VERSION_1_1));
  setOption(Easy, CURLOPT_HEADERFUNCTION, &UpstreamTransfer::onHeader);
  setOption(Easy, CURLOPT_HEADERDATA, this);
  setOption(Easy, CURLOPT_WRITEFUNCTION, &UpstreamTransfer::onBody);
  setOption(Easy, CURLOPT_WRITEDATA, this);
  setOption(Easy, CURLOPT_PREREQFUNCTION, &UpstreamTransfer::onConnected);
  setOption(Easy, CURLOPT_PREREQDATA, this);
  setOption(Easy, CURLOPT_PRIVATE, this);
}

void UpstreamTransfer::setConnection(const UpstreamClientOptions &Options) {
  CURL *Easy = Handle_.get();
  setOption(Easy, CURLOPT_MAXAGE_CONN,
            static_cast<long>(
                std::chrono::ceil<std::chrono::seconds>(Options.IdleTimeout_)
                    .count()));
  setOption(Easy, CURLOPT_TCP_NODELAY, 1L);
  setOption(Easy, CURLOPT_FRESH_CONNECT, Options.ReusesConnections_ ? 0L : 1L);
  setOption(Easy, CURLOPT_FORBID_REUSE, Options.ReusesConnections_ ? 0L : 1L);
}

void UpstreamTransfer::setRequest() {
  CURL *Easy = Handle_.get();
  const Request &Sent = *Attempt_.Request_;
  const std::string Address = "http://" + Attempt_.Address_.text() + "/";
  setOption(Easy, CURLOPT_URL, Address.c_str());
  // Passes the target on byte for byte.
  setOption(Easy, CURLOPT_REQUEST_TARGET, Sent.Target_.c_str());
  const bool HasBody = Sent.Body_ && !Sent.Body_->empty();
  if (Sent.Method_ == "HEAD") {
    setOption(Easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (HasBody || Sent.Method_ == "POST" || Sent.Method_ == "PUT") {
    // Not copied: the attempt holds the request until it ends.
    setOption(Easy, CURLOPT_POSTFIELDS, HasBody ? Sent.Body_->data() : "");
    setOption(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
              static_cast<curl_off_t>(HasBody ? Sent.Body_->size() : 0));
  }
  setOption(Easy, CURLOPT_CUSTOMREQUEST, Sent.Method_.c_str());
}

void UpstreamTransfer::setHeaders(Duration Left) {
  const std::vector<Header> &Given = Attempt_.Request_->Headers_;
  for (const Header &Each : Given)
    append(Headers_, headerLine(Each));
  // libcurl adds these unless they are given or left out.
  for (const char *Name : {"Accept", "Content-Type", "Expect"})
    if (!findHeader(Given, Name))
      append(Headers_, std::string(Name) + ":");
  const Request &Sent = *Attempt_.Request_;
  if (!Dialect_.CallerRequestId_.empty() && Sent.CallerId_)
    append(Headers_, Dialect_.CallerRequestId_ + ": " + Sent.CallerId_->text());
  else
    append(Headers_, std::string(RequestIdHeader) + ": " + Sent.Id_.text());
  if (!Dialect_.ExpectedInstance_.empty() && !Attempt_.Instance_.isEmpty())
    append(Headers_,
           Dialect_.ExpectedInstance_ + ": " + Attempt_.Instance_.text());
  append(Headers_,
         Dialect_.Deadline_ + ": " +
             std::to_string(
                 std::chrono::floor<std::chrono::milliseconds>(Left).count()));
  setOption(Handle_.get(), CURLOPT_HTTPHEADER, Headers_.get());
}

// libcurl sends a request again on a fresh connection when a reused one ends
// before the first byte of an answer (Curl_retry_request), whatever the
// method. It calls this function before each send, so the second call shows
// such a repetition; the upstream may have run the request already.
int UpstreamTransfer::onConnected(void *Self, char *, char *, int, int) {
  auto &Transfer = *static_cast<UpstreamTransfer *>(Self);
  if (Transfer.MayBeSent_) {
    Transfer.ResendPrevented_ = true;
    return CURL_PREREQFUNC_ABORT;
  }
  Transfer.MayBeSent_ = true;
  return CURL_PREREQFUNC_OK;
}

std::size_t UpstreamTransfer::onHeader(char *Data, std::size_t Size,
                                       std::size_t Count, void *Self) {
  const std::size_t Length = Size * Count;
  auto &Transfer = *static_cast<UpstreamTransfer *>(Self);
  return Transfer.addHeaderLine({Data, Length}) ? Length : 0;
}

std::size_t UpstreamTransfer::onBody(char *Data, std::size_t Size,
                                     std::size_t Count, void *Self) {
  const std::size_t Length = Size * Count;
  auto &Transfer = *static_cast<UpstreamTransfer *>(Self);
  return Transfer.addBody({Data, Length}) ? Length : 0;
}

bool UpstreamTransfer::addHeaderLine(std::string_view Line) {
  AnswerBegan_ = true;
  HeaderBytes_ += Line.size();
  if (HeaderBytes_ > HeaderLimit) {
    TooLarge_ = true;
    return false;
  }
  while (!Line.empty() && (Line.back() == '\r' || Line.back() == '\n'))
    Line.remove_suffix(1);
  // Lines after the end of the headers are trailers, which are not passed on,
  // or the final answer after an interim one.
  if (Line.starts_with("HTTP/")) {
    AnswerHeaders_.clear();
    HeadersComplete_ = false;
    return true;
  }
  if (HeadersComplete_)
    return true;
  if (Line.empty()) {
    HeadersComplete_ = true;
    return true;
  }
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return true;
  std::string_view Value = Line.substr(Colon + 1);
  const std::size_t First = Value.find_first_not_of(" \t");
  Value.remove_prefix(First == std::string_view::npos ? Value.size() : First);
  Value = Value.substr(0, Value.find_last_not_of(" \t") + 1);
  AnswerHeaders_.push_back(
      Header{std::string(Line.substr(0, Colon)), std::string(Value)});
  return true;
}

bool UpstreamTransfer::addBody(std::string_view Bytes) {
  if (AnswerBody_.size() + Bytes.size() > AnswerLimit_.value()) {
    TooLarge_ = true;
    return false;
  }
  AnswerBody_.append(Bytes);
  return true;
}

long UpstreamTransfer::statusCode() const {
  long Received = 0;
  curl_easy_getinfo(Handle_.get(), CURLINFO_RESPONSE_CODE, &Received);
  return Received;
}

AttemptResult UpstreamTransfer::resultOf(CURLcode Code) const {
  if (!MayBeSent_)
    return AttemptResult::ConnectFailed;
  if (TooLarge_)
    return AttemptResult::TooLarge;
  if (Code == CURLE_OPERATION_TIMEDOUT)
    return AttemptResult::TimedOut;
  // A connection that ends inside the status line counts as lost: libcurl
  // passes on whole lines only.
  if (!AnswerBegan_)
    return AttemptResult::ConnectionLost;
  const long Received = statusCode();
  // libcurl reports success when a connection ends inside the headers.
  if (Code != CURLE_OK || !HeadersComplete_ || Received < FirstFinalStatus)
    return AttemptResult::CutShort;
  if (statesNotRun(Received))
    return AttemptResult::RefusedNotRun;
  return isOwnAnswer(Received) ? AttemptResult::Answered
                               : AttemptResult::CutShort;
}

bool UpstreamTransfer::statesNotRun(long Received) const {
  // With ExpectedInstance_, another instance at the address refuses so.
  if (Received == StatusMisdirected && !Dialect_.ExpectedInstance_.empty())
    return true;
  const Header *Stated = findHeader(AnswerHeaders_, Dialect_.NotRun_);
  if (!Stated || Received < FirstFailure)
    return false;
  return Dialect_.NotRunValue_.empty() ||
         (Received == StatusUnavailable &&
          Stated->Value_ == Dialect_.NotRunValue_);
}

bool UpstreamTransfer::isOwnAnswer(long Received) const {
  const bool IsSuccess =
      Received >= FirstFinalStatus && Received < FirstRedirection;
  if (const Header *Named =
          Dialect_.CallerRequestId_.empty()
              ? nullptr
              : findHeader(AnswerHeaders_, Dialect_.CallerRequestId_))
    return Attempt_.Request_->CallerId_ &&
           Named->Value_ == Attempt_.Request_->CallerId_->text() &&
           (!IsSuccess || Dialect_.Signature_.empty() ||
            findHeader(AnswerHeaders_, Dialect_.Signature_));
  return Dialect_.CallerRequestId_.empty() || !IsSuccess;
}

std::optional<SlotCount> UpstreamTransfer::reportedLoad() const {
  if (Dialect_.Load_.empty())
    return std::nullopt;
  const Header *Given = findHeader(AnswerHeaders_, Dialect_.Load_);
  if (!Given)
    return std::nullopt;
  unsigned Running = 0;
  unsigned Waiting = 0;
  if (std::sscanf(Given->Value_.c_str(), "%u,%u", &Running, &Waiting) != 2)
    return std::nullopt;
  return SlotCount(Running + Waiting);
}

AttemptOutcome UpstreamTransfer::finish(CURLcode Code, TimePoint Now) {
  AttemptOutcome Ended;
  Ended.Result_ = resultOf(Code);
  Ended.Elapsed_ = Now - StartedAt_;
  Ended.Busy_ = reportedLoad();
  if (Ended.Result_ != AttemptResult::Answered &&
      Ended.Result_ != AttemptResult::RefusedNotRun)
    return Ended;
  removeHopByHopHeaders(AnswerHeaders_);
  Ended.Response_ =
      Response{StatusCode(static_cast<std::uint16_t>(statusCode())),
               std::move(AnswerHeaders_),
               std::make_shared<const std::string>(std::move(AnswerBody_))};
  return Ended;
}

AttemptOutcome UpstreamTransfer::cancel(TimePoint Now) const {
  AttemptOutcome Ended;
  Ended.Result_ = AttemptResult::Cancelled;
  Ended.Elapsed_ = Now - StartedAt_;
  return Ended;
}

} // namespace jaybridge
