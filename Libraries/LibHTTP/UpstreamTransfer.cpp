#include <LibHTTP/UpstreamTransfer.h>

#include <LibHTTP/HeaderRules.h>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace jaybridge {

namespace {

constexpr std::size_t MaxHeaderBytes = 64UL * 1024;
constexpr long StatusUnavailable = 503;
constexpr long StatusMisdirected = 421;
constexpr long MinFinalStatus = 200;
constexpr long MinRedirectionStatus = 300;
constexpr long MinErrorStatus = 400;

template <typename Value>
void setOption(CURL *Handle, CURLoption Option, Value Setting) {
  // Fails only for options that this build of libcurl does not support.
  JAYBRIDGE_VERIFY(curl_easy_setopt(Handle, Option, Setting) == CURLE_OK);
}

long millisecondsOf(Duration Time) {
  using Milliseconds = std::chrono::milliseconds;
  // libcurl treats a timeout of 0 as no timeout.
  return std::max<long>(1, std::chrono::ceil<Milliseconds>(Time).count());
}

void appendHeader(HeaderList &List, const std::string &Line) {
  curl_slist *NewHead = curl_slist_append(List.get(), Line.c_str());
  JAYBRIDGE_VERIFY(NewHead != nullptr);
  // curl_slist_append() returns a new head only for an empty list.
  if (!List)
    List.reset(NewHead);
}

std::string headerLine(const Header &Field) {
  // libcurl sends "Name;" as an empty header, but omits the header for "Name:".
  return Field.Value_.empty() ? Field.Name_ + ";"
                              : Field.Name_ + ": " + Field.Value_;
}

} // namespace

UpstreamTransfer::UpstreamTransfer(SendAttempt Attempt, EasyHandle Handle,
                                   const UpstreamClientOptions &Options,
                                   ResponseBuffers &Buffers, TimePoint Now)
    : Attempt_(std::move(Attempt)), Handle_(std::move(Handle)), StartedAt_(Now),
      AnswerLimit_(Options.AnswerLimit_), Buffers_(Buffers),
      Dialect_(Options.Dialect_), Body_(Buffers) {
  const Duration RemainingTime = Attempt_.Deadline_ - Now;
  setRequest();
  setHeaders(RemainingTime);
  setConnection(Options);
  CURL *Easy = Handle_.get();
  setOption(Easy, CURLOPT_TIMEOUT_MS, millisecondsOf(RemainingTime));
  setOption(Easy, CURLOPT_CONNECTTIMEOUT_MS,
            millisecondsOf(std::min(RemainingTime, Options.ConnectTimeout_)));
  setOption(Easy, CURLOPT_NOSIGNAL, 1L);
  // Ignores the proxy variables of the environment.
  setOption(Easy, CURLOPT_PROXY, "");
  setOption(Easy, CURLOPT_HTTP_VERSION,
            static_cast<long>(CURL_HTTP_VERSION_1_1));
  setOption(Easy, CURLOPT_HEADERFUNCTION, &UpstreamTransfer::onHeader);
  setOption(Easy, CURLOPT_HEADERDATA, this);
  setOption(Easy, CURLOPT_WRITEFUNCTION, &UpstreamTransfer::onBody);
  setOption(Easy, CURLOPT_WRITEDATA, this);
  setOption(Easy, CURLOPT_PREREQFUNCTION, &UpstreamTransfer::onBeforeSend);
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
  const std::string URL = "http://" + Attempt_.Address_.text() + "/";
  setOption(Easy, CURLOPT_URL, URL.c_str());
  // Sends the target unchanged; libcurl would normalize the path of a URL.
  setOption(Easy, CURLOPT_REQUEST_TARGET, Sent.Target_.c_str());
  const bool HasBody = Sent.Body_ && !Sent.Body_->empty();
  if (Sent.Method_ == "HEAD") {
    setOption(Easy, CURLOPT_NOBODY, 1L);
    return;
  }
  // Ends the transfer at once when the stated length is above the limit.
  setOption(Easy, CURLOPT_MAXFILESIZE_LARGE,
            static_cast<curl_off_t>(AnswerLimit_.value()));
  if (HasBody || Sent.Method_ == "POST" || Sent.Method_ == "PUT") {
    // libcurl does not copy the body; Attempt_ keeps it alive.
    setOption(Easy, CURLOPT_POSTFIELDS, HasBody ? Sent.Body_->data() : "");
    setOption(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
              static_cast<curl_off_t>(HasBody ? Sent.Body_->size() : 0));
  }
  setOption(Easy, CURLOPT_CUSTOMREQUEST, Sent.Method_.c_str());
}

void UpstreamTransfer::setHeaders(Duration RemainingTime) {
  const std::vector<Header> &Fields = Attempt_.Request_->Headers_;
  for (const Header &Field : Fields)
    appendHeader(RequestHeaders_, headerLine(Field));
  // libcurl adds these headers by default; "Name:" suppresses them.
  for (const char *Name : {"Accept", "Content-Type", "Expect"})
    if (!findHeader(Fields, Name))
      appendHeader(RequestHeaders_, std::string(Name) + ":");
  const Request &Sent = *Attempt_.Request_;
  if (!Dialect_.CallerRequestId_.empty() && Sent.CallerId_)
    appendHeader(RequestHeaders_,
                 Dialect_.CallerRequestId_ + ": " + Sent.CallerId_->text());
  else
    appendHeader(RequestHeaders_,
                 std::string(RequestIdHeader) + ": " + Sent.Id_.text());
  if (!Dialect_.ExpectedInstance_.empty() && !Attempt_.Instance_.isEmpty())
    appendHeader(RequestHeaders_,
                 Dialect_.ExpectedInstance_ + ": " + Attempt_.Instance_.text());
  if (!Dialect_.Team_.empty() && Sent.Team_)
    appendHeader(RequestHeaders_, Dialect_.Team_ + ": " + Sent.Team_->text());
  appendHeader(RequestHeaders_,
               Dialect_.Deadline_ + ": " +
                   std::to_string(std::chrono::floor<std::chrono::milliseconds>(
                                      RemainingTime)
                                      .count()));
  setOption(Handle_.get(), CURLOPT_HTTPHEADER, RequestHeaders_.get());
}

// libcurl resends a request on a new connection when a reused connection ends
// before the first byte of the response (Curl_retry_request), regardless of the
// method. It calls this function before each send, so a second call means a
// resend. Resends are aborted, since the upstream may have run the request.
int UpstreamTransfer::onBeforeSend(void *UserData, char *, char *, int, int) {
  auto &Transfer = *static_cast<UpstreamTransfer *>(UserData);
  if (Transfer.IsSendStarted_) {
    Transfer.WasResendPrevented_ = true;
    return CURL_PREREQFUNC_ABORT;
  }
  Transfer.IsSendStarted_ = true;
  return CURL_PREREQFUNC_OK;
}

std::size_t UpstreamTransfer::onHeader(char *Data, std::size_t Size,
                                       std::size_t Count, void *UserData) {
  const std::size_t Length = Size * Count;
  auto &Transfer = *static_cast<UpstreamTransfer *>(UserData);
  return Transfer.addHeaderLine({Data, Length}) ? Length : 0;
}

std::size_t UpstreamTransfer::onBody(char *Data, std::size_t Size,
                                     std::size_t Count, void *UserData) {
  const std::size_t Length = Size * Count;
  auto &Transfer = *static_cast<UpstreamTransfer *>(UserData);
  return Transfer.addBody({Data, Length});
}

bool UpstreamTransfer::addHeaderLine(std::string_view Line) {
  IsResponseStarted_ = true;
  HeaderBytes_ += Line.size();
  if (HeaderBytes_ > MaxHeaderBytes) {
    IsResponseTooLarge_ = true;
    return false;
  }
  while (!Line.empty() && (Line.back() == '\r' || Line.back() == '\n'))
    Line.remove_suffix(1);
  // Lines after the end of the headers belong to the final response that
  // follows an interim response, or are trailers, which are not forwarded.
  if (Line.starts_with("HTTP/")) {
    ResponseHeaders_.clear();
    AreHeadersComplete_ = false;
    return true;
  }
  if (AreHeadersComplete_)
    return true;
  if (Line.empty()) {
    AreHeadersComplete_ = true;
    return true;
  }
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return true;
  std::string_view Value = Line.substr(Colon + 1);
  const std::size_t ValueStart = Value.find_first_not_of(" \t");
  Value.remove_prefix(ValueStart == std::string_view::npos ? Value.size()
                                                           : ValueStart);
  Value = Value.substr(0, Value.find_last_not_of(" \t") + 1);
  ResponseHeaders_.push_back(
      Header{std::string(Line.substr(0, Colon)), std::string(Value)});
  return true;
}

std::size_t UpstreamTransfer::addBody(std::string_view Bytes) {
  if (Body_.size() + Bytes.size() > AnswerLimit_.value()) {
    cutOff();
    return CURL_WRITEFUNC_ERROR;
  }
  if (Buffers_.isOverLimit()) {
    IsPaused_ = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  Body_.append(Bytes);
  return Bytes.size();
}

void UpstreamTransfer::cutOff() {
  IsResponseTooLarge_ = true;
  Body_.discard();
}

void UpstreamTransfer::resume() {
  if (std::exchange(IsPaused_, false))
    curl_easy_pause(Handle_.get(), CURLPAUSE_CONT);
}

long UpstreamTransfer::statusCode() const {
  long Status = 0;
  curl_easy_getinfo(Handle_.get(), CURLINFO_RESPONSE_CODE, &Status);
  return Status;
}

AttemptResult UpstreamTransfer::resultOf(CURLcode Code) const {
  if (!IsSendStarted_)
    return AttemptResult::ConnectFailed;
  if (IsResponseTooLarge_ || Code == CURLE_FILESIZE_EXCEEDED)
    return AttemptResult::ResponseTooLarge;
  if (Code == CURLE_OPERATION_TIMEDOUT)
    return AttemptResult::TimedOut;
  // A connection that ends within the status line counts as lost, since libcurl
  // reports complete lines only.
  if (!IsResponseStarted_)
    return AttemptResult::ConnectionLost;
  const long Status = statusCode();
  // libcurl reports success when the connection ends within the headers.
  if (Code != CURLE_OK || !AreHeadersComplete_ || Status < MinFinalStatus)
    return AttemptResult::ResponseTruncated;
  if (isNotRunResponse(Status))
    return isRefusalOfAttempt() ? AttemptResult::RefusedNotRun
                                : AttemptResult::ResponseTruncated;
  return isResponseToAttempt(Status) ? AttemptResult::Answered
                                     : AttemptResult::ResponseTruncated;
}

bool UpstreamTransfer::isNotRunResponse(long Status) const {
  // Another instance at this address refuses a request that carries the
  // ExpectedInstance_ header with 421.
  if (Status == StatusMisdirected && !Dialect_.ExpectedInstance_.empty())
    return true;
  const Header *NotRunField = findHeader(ResponseHeaders_, Dialect_.NotRun_);
  if (!NotRunField || Status < MinErrorStatus)
    return false;
  return Dialect_.NotRunValue_.empty() ||
         (Status == StatusUnavailable &&
          NotRunField->Value_ == Dialect_.NotRunValue_);
}

std::string_view UpstreamTransfer::requestIdHeader() const {
  return Dialect_.CallerRequestId_.empty()
             ? std::string_view(RequestIdHeader)
             : std::string_view(Dialect_.CallerRequestId_);
}

bool UpstreamTransfer::isRefusalOfAttempt() const {
  if (namesOtherRequest())
    return false;
  long NewConnections = 0;
  curl_easy_getinfo(Handle_.get(), CURLINFO_NUM_CONNECTS, &NewConnections);
  return NewConnections > 0 || findHeader(ResponseHeaders_, requestIdHeader());
}

bool UpstreamTransfer::namesOtherRequest() const {
  const Request &Sent = *Attempt_.Request_;
  const std::optional<RequestId> OwnId =
      Dialect_.CallerRequestId_.empty() ? Sent.Id_ : Sent.CallerId_;
  const std::string_view Name = requestIdHeader();
  return std::any_of(ResponseHeaders_.begin(), ResponseHeaders_.end(),
                     [&](const Header &Field) {
                       return isSameHeaderName(Field.Name_, Name) &&
                              (!OwnId || Field.Value_ != OwnId->text());
                     });
}

bool UpstreamTransfer::isResponseToAttempt(long Status) const {
  const bool IsSuccess =
      Status >= MinFinalStatus && Status < MinRedirectionStatus;
  if (Dialect_.CallerRequestId_.empty())
    return true;
  if (namesOtherRequest())
    return false;
  if (!IsSuccess)
    return true;
  return findHeader(ResponseHeaders_, Dialect_.CallerRequestId_) &&
         (Dialect_.Signature_.empty() ||
          findHeader(ResponseHeaders_, Dialect_.Signature_));
}

std::optional<SlotCount> UpstreamTransfer::reportedLoad() const {
  if (Dialect_.Load_.empty())
    return std::nullopt;
  const Header *LoadField = findHeader(ResponseHeaders_, Dialect_.Load_);
  if (!LoadField)
    return std::nullopt;
  unsigned Running = 0;
  unsigned Waiting = 0;
  if (std::sscanf(LoadField->Value_.c_str(), "%u,%u", &Running, &Waiting) != 2)
    return std::nullopt;
  return SlotCount(Running + Waiting);
}

AttemptOutcome UpstreamTransfer::finish(CURLcode Code, TimePoint Now) {
  AttemptOutcome Ended;
  Ended.Result_ = resultOf(Code);
  Ended.Elapsed_ = Now - StartedAt_;
  Ended.ReportedLoad_ = reportedLoad();
  if (Ended.Result_ != AttemptResult::Answered &&
      Ended.Result_ != AttemptResult::RefusedNotRun)
    return Ended;
  removeHopByHopHeaders(ResponseHeaders_);
  Ended.Response_ =
      Response{StatusCode(static_cast<std::uint16_t>(statusCode())),
               std::move(ResponseHeaders_),
               std::make_shared<const std::string>(Body_.take())};
  return Ended;
}

AttemptOutcome UpstreamTransfer::cancel(TimePoint Now) const {
  AttemptOutcome Ended;
  Ended.Result_ = AttemptResult::Cancelled;
  Ended.Elapsed_ = Now - StartedAt_;
  return Ended;
}

} // namespace jaybridge
