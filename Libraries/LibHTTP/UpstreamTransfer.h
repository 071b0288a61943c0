#pragma once

#include <LibHTTP/ResponseBuffers.h>
#include <LibHTTP/ResponseHead.h>
#include <LibHTTP/UpstreamClient.h>

#include <curl/curl.h>

#include <memory>
#include <string>
#include <vector>

// Internal header of the upstream client.

namespace jaybridge {

struct EasyDeleter {
  void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
};
struct MultiDeleter {
  void operator()(CURLM *Handle) const { curl_multi_cleanup(Handle); }
};
struct HeaderListDeleter {
  void operator()(curl_slist *List) const { curl_slist_free_all(List); }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;
using MultiHandle = std::unique_ptr<CURLM, MultiDeleter>;
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

/// An attempt in progress: sets up the libcurl transfer and collects the
/// response.
class UpstreamTransfer {
public:
  UpstreamTransfer(SendAttempt Attempt, EasyHandle Handle,
                   const UpstreamClientOptions &Options,
                   ResponseBuffers &Buffers, TimePoint Now);
  UpstreamTransfer(const UpstreamTransfer &) = delete;
  UpstreamTransfer &operator=(const UpstreamTransfer &) = delete;

  CURL *handle() const { return Handle_.get(); }
  AttemptId attempt() const { return Attempt_.Attempt_; }
  bool wasResendPrevented() const { return WasResendPrevented_; }
  /// Whether a finished transfer received something that is no response of
  /// HTTP/1.0 or 1.1.
  bool isMalformed() const { return IsMalformed_; }
  /// Whether the response names another request than that of this attempt.
  bool namesOtherRequest() const;
  std::size_t heldBytes() const { return Body_.heldBytes(); }
  /// Discards the body as too large; the transfer then has to be finished.
  void cutOff();
  /// Goes on receiving when the client's buffers were over their limit.
  void resume();
  /// Releases the handle of a finished transfer for reuse.
  EasyHandle takeHandle() { return std::move(Handle_); }

  AttemptOutcome finish(CURLcode Code, TimePoint Now);
  AttemptOutcome cancel(TimePoint Now) const;

private:
  static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *UserData);
  static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                            void *UserData);
  static int onBeforeSend(void *UserData, char *, char *, int, int);

  /// Returns false when the transfer has to end.
  bool addHeaderLine(std::string_view Line);
  /// Returns the number of bytes taken, or CURL_WRITEFUNC_PAUSE.
  std::size_t addBody(std::string_view Bytes);
  void setRequest();
  void setHeaders(Duration RemainingTime);
  void setConnection(const UpstreamClientOptions &Options);
  /// Name of the header in which the upstream echoes the request id.
  std::string_view requestIdHeader() const;
  bool isNotRunResponse() const;
  /// Whether a refusal belongs to this attempt: it must not name another
  /// request. On a reused connection it must echo the request id, because the
  /// upstream may have written a refusal of an earlier request again.
  bool isRefusalOfAttempt() const;
  /// Whether a response other than a refusal belongs to this attempt: it must
  /// not name another request, and a 2xx response must echo the request id and
  /// carry the signature. Only headers that the dialect names are checked.
  bool isResponseToAttempt() const;
  std::optional<SlotCount> reportedLoad() const;
  AttemptResult resultOf(CURLcode Code) const;

  SendAttempt Attempt_;
  EasyHandle Handle_;
  HeaderList RequestHeaders_;
  TimePoint StartedAt_;
  ByteCount AnswerLimit_;
  ResponseBuffers &Buffers_;
  HeaderDialect Dialect_;

  /// Whether libcurl has a connection and may have written the request to it.
  bool IsSendStarted_ = false;
  bool WasResendPrevented_ = false;
  bool IsResponseTooLarge_ = false;
  bool IsPaused_ = false;
  bool IsResponseStarted_ = false;
  bool IsMalformed_ = false;
  std::size_t HeaderBytes_ = 0;
  ResponseHead Head_;
  BufferedBody Body_;
};

} // namespace jaybridge
