#include <Support/LoadClient.h>

#include <curl/curl.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace jaybridge {

namespace {

using Clock = std::chrono::steady_clock;

constexpr long RequestTimeoutMilliseconds = 30'000;
constexpr long MaxCachedConnections = 2000;
constexpr int MaxPollMilliseconds = 20;

std::size_t append(char *Data, std::size_t Size, std::size_t Count,
                   void *Target) {
  static_cast<std::string *>(Target)->append(Data, Size * Count);
  return Size * Count;
}

/// A request in flight, with the curl handles that it owns.
class Transfer {
public:
  Transfer(const LoadRequest &Request, LoadResponse &Response,
           Clock::time_point ScheduledAt)
      : Handle_(curl_easy_init()), Response_(Response),
        ScheduledAt_(ScheduledAt) {
    std::string Url = "http://" + Request.Target_.text() + Request.Path_;
    Headers_ = curl_slist_append(Headers_, "Expect:");
    for (const std::string &Line : Request.Headers_)
      Headers_ = curl_slist_append(Headers_, Line.c_str());
    curl_easy_setopt(Handle_, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Handle_, CURLOPT_CUSTOMREQUEST, Request.Method_.c_str());
    curl_easy_setopt(Handle_, CURLOPT_HTTPHEADER, Headers_);
    if (!Request.Body_.empty()) {
      curl_easy_setopt(Handle_, CURLOPT_POSTFIELDSIZE,
                       static_cast<long>(Request.Body_.size()));
      curl_easy_setopt(Handle_, CURLOPT_POSTFIELDS, Request.Body_.c_str());
    }
    curl_easy_setopt(Handle_, CURLOPT_WRITEFUNCTION, &append);
    curl_easy_setopt(Handle_, CURLOPT_WRITEDATA, &Response_.Body_);
    curl_easy_setopt(Handle_, CURLOPT_HEADERFUNCTION, &append);
    curl_easy_setopt(Handle_, CURLOPT_HEADERDATA, &Response_.Headers_);
    curl_easy_setopt(Handle_, CURLOPT_TIMEOUT_MS, RequestTimeoutMilliseconds);
    curl_easy_setopt(Handle_, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(Handle_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Handle_, CURLOPT_PRIVATE, this);
  }
  ~Transfer() {
    curl_easy_cleanup(Handle_);
    curl_slist_free_all(Headers_);
  }
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;

  CURL *handle() const { return Handle_; }
  void finish(CURLcode Code) {
    Response_.Latency_ =
        std::chrono::duration_cast<Duration>(Clock::now() - ScheduledAt_);
    long Status = 0;
    if (Code == CURLE_OK)
      curl_easy_getinfo(Handle_, CURLINFO_RESPONSE_CODE, &Status);
    Response_.Status_ = static_cast<unsigned>(Status);
  }

private:
  CURL *Handle_;
  curl_slist *Headers_ = nullptr;
  LoadResponse &Response_;
  Clock::time_point ScheduledAt_;
};

} // namespace

std::vector<LoadResponse> runLoad(const std::vector<LoadRequest> &Requests,
                                  const std::function<void(Duration)> &OnTick) {
  std::vector<LoadResponse> Responses(Requests.size());
  std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)> Multi(
      curl_multi_init(), &curl_multi_cleanup);
  curl_multi_setopt(Multi.get(), CURLMOPT_MAXCONNECTS, MaxCachedConnections);
  std::vector<std::unique_ptr<Transfer>> Transfers(Requests.size());
  std::size_t Started = 0;
  std::size_t Completed = 0;
  const Clock::time_point Start = Clock::now();
  while (Completed < Requests.size()) {
    auto Elapsed = std::chrono::duration_cast<Duration>(Clock::now() - Start);
    if (OnTick)
      OnTick(Elapsed);
    for (;
         Started < Requests.size() && Requests[Started].SendOffset_ <= Elapsed;
         ++Started) {
      const LoadRequest &Request = Requests[Started];
      Transfers[Started] = std::make_unique<Transfer>(
          Request, Responses[Started], Start + Request.SendOffset_);
      curl_multi_add_handle(Multi.get(), Transfers[Started]->handle());
    }
    int Active = 0;
    curl_multi_perform(Multi.get(), &Active);
    int MessagesLeft = 0;
    while (CURLMsg *Message =
               curl_multi_info_read(Multi.get(), &MessagesLeft)) {
      CURLcode Code = Message->data.result;
      Transfer *Done = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Done);
      curl_multi_remove_handle(Multi.get(), Done->handle());
      Done->finish(Code);
      ++Completed;
    }
    int PollMilliseconds = MaxPollMilliseconds;
    if (Started < Requests.size()) {
      auto Next = Requests[Started].SendOffset_ -
                  std::chrono::duration_cast<Duration>(Clock::now() - Start);
      PollMilliseconds = static_cast<int>(
          std::clamp<Duration::rep>(Next.count() / 1000, 0, PollMilliseconds));
    }
    curl_multi_poll(Multi.get(), nullptr, 0, PollMilliseconds, nullptr);
  }
  return Responses;
}

std::string headerValue(const LoadResponse &Response, const std::string &Name) {
  std::size_t Start = Response.Headers_.find("\r\n" + Name + ": ");
  if (Start == std::string::npos)
    return {};
  Start += Name.size() + 4;
  return Response.Headers_.substr(Start, Response.Headers_.find("\r\n", Start) -
                                             Start);
}

Duration quantile(std::vector<Duration> Latencies, double Fraction) {
  if (Latencies.empty())
    return Duration{};
  std::sort(Latencies.begin(), Latencies.end());
  auto Index = static_cast<std::size_t>(
      Fraction * static_cast<double>(Latencies.size() - 1));
  return Latencies[Index];
}

} // namespace jaybridge
