#pragma once

#include <LibHTTP/UpstreamClient.h>

#include <curl/curl.h>

#include <memory>
#include <string>
#include <vector>

// Included by the .cpp files of the upstream client only.

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

/// One attempt while libcurl works on it.
class UpstreamTransfer {
public:
  UpstreamTransfer(SendAttempt Attempt, EasyHandle Handle,
                   const UpstreamClientOptions &Options, TimePoint Now);
  UpstreamTransfer(const UpstreamTransfer &) = delete;
  UpstreamTransfer &operator=(const UpstreamTransfer &) = delete;

  CURL *handle() const { return Handle_.get(); }
  AttemptId attempt() const { return Attempt_.Attempt_; }
  bool wasResendPrevented() const { return ResendPrevented_; }
  /// The handle for a later transfer; this one is finished.
  EasyHandle takeHandle() { return std::move(Handle_); }

  AttemptOutcome finish(CURLcode Code, TimePoint Now);
  AttemptOutcome cancel(TimePoint Now) const;

private:
  static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *Self);
  static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                            void *Self);
  static int onConnected(void *Self, char *, char *, int, int);

  bool addHeaderLine(std::string_view Line);
  bool addBody(std::string_view Bytes);
  void setRequest();
  void setHeaders(Duration Left);
  void setConnection(const UpstreamClientOptions &Options);
  long statusCode() const;
  bool statesNotRun(long Received) const;
  /// The answer belongs to this attempt and is vouched for by the upstream.
  bool isOwnAnswer(long Received) const;
  std::optional<SlotCount> reportedLoad() const;
  AttemptResult resultOf(CURLcode Code) const;

  SendAttempt Attempt_;
  EasyHandle Handle_;
  HeaderList Headers_;
  TimePoint StartedAt_;
  ByteCount AnswerLimit_;
  HeaderDialect Dialect_;

  /// libcurl was about to write the request to a connection.
  bool MayBeSent_ = false;
  bool ResendPrevented_ = false;
  bool TooLarge_ = false;
  bool AnswerBegan_ = false;
  bool HeadersComplete_ = false;
  std::size_t HeaderBytes_ = 0;
  std::vector<Header> AnswerHeaders_;
  std::string AnswerBody_;
};

} // namespace jaybridge
