#include <Support/LoadClient.h>

#include <curl/curl.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace jaybridge {

namespace {

using Clock = std::chrono::steady_clock;

constexpr long RequestTimeoutMilliseconds = 30'000;
constexpr long GreatestConnectionCount = 2000;
constexpr int LongestPauseMilliseconds = 20;

std::size_t append(char *Data, std::size_t Size, std::size_t Count,
                   void *Target) {
  static_cast<std::string *>(Target)->append(Data, Size * Count);
  return Size * Count;
}

/// One request under way, with the handles that it owns.
class Transfer {
public:
  Transfer(const LoadRequest &Asked, LoadResponse &Answer,
           Clock::time_point DueAt)
      : Handle_(curl_easy_init()), Answer_(Answer), SendOffset_(DueAt) {
    std::string Url = "http://" + Asked.Target_.text() + Asked.Path_;
    Headers_ = curl_slist_append(Headers_, "Expect:");
    for (const std::string &Line : Asked.Headers_)
      Headers_ = curl_slist_append(Headers_, Line.c_str());
    curl_easy_setopt(Handle_, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Handle_, CURLOPT_CUSTOMREQUEST, Asked.Method_.c_str());
    curl_easy_setopt(Handle_, CURLOPT_HTTPHEADER, Headers_);
    if (!Asked.Body_.empty()) {
      curl_easy_setopt(Handle_, CURLOPT_POSTFIELDSIZE,
                       static_cast<long>(Asked.Body_.size()));
      curl_easy_setopt(Handle_, CURLOPT_POSTFIELDS, Asked.Body_.c_str());
    }
    curl_easy_setopt(Handle_, CURLOPT_WRITEFUNCTION, &append);
    curl_easy_setopt(Handle_, CURLOPT_WRITEDATA, &Answer_.Body_);
    curl_easy_setopt(Handle_, CURLOPT_HEADERFUNCTION, &append);
    curl_easy_setopt(Handle_, CURLOPT_HEADERDATA, &Answer_.Headers_);
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
    Answer_.Latency_ =
        std::chrono::duration_cast<Duration>(Clock::now() - SendOffset_);
    long Status = 0;
    if (Code == CURLE_OK)
      curl_easy_getinfo(Handle_, CURLINFO_RESPONSE_CODE, &Status);
    Answer_.Status_ = static_cast<unsigned>(Status);
  }

private:
  CURL *Handle_;
  curl_slist *Headers_ = nullptr;
  LoadResponse &Answer_;
  Clock::time_point SendOffset_;
};

} // namespace

std::vector<LoadResponse> runLoad(const std::vector<LoadRequest> &Requests,
                                  const std::function<void(Duration)> &OnTick) {
  std::vector<LoadResponse> Answers(Requests.size());
  std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)> Multi(
      curl_multi_init(), &curl_multi_cleanup);
  curl_multi_setopt(Multi.get(), CURLMOPT_MAXCONNECTS, GreatestConnectionCount);
  std::vector<std::unique_ptr<Transfer>> Running(Requests.size());
  std::size_t Started = 0;
  std::size_t Ended = 0;
  const Clock::time_point Start = Clock::now();
  while (Ended < Requests.size()) {
    auto Elapsed = std::chrono::duration_cast<Duration>(Clock::now() - Start);
    if (OnTick)
      OnTick(Elapsed);
    for (;
         Started < Requests.size() && Requests[Started].SendOffset_ <= Elapsed;
         ++Started) {
      const LoadRequest &Asked = Requests[Started];
      Running[Started] = std::make_unique<Transfer>(Asked, Answers[Started],
                                                    Start + Asked.SendOffset_);
      curl_multi_add_handle(Multi.get(), Running[Started]->handle());
    }
    int Active = 0;
    curl_multi_perform(Multi.get(), &Active);
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi.get(), &Left)) {
      CURLcode Code = Message->data.result;
      Transfer *Done = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Done);
      curl_multi_remove_handle(Multi.get(), Done->handle());
      Done->finish(Code);
      ++Ended;
    }
    int Pause = LongestPauseMilliseconds;
    if (Started < Requests.size()) {
      auto Next = Requests[Started].SendOffset_ -
                  std::chrono::duration_cast<Duration>(Clock::now() - Start);
      Pause = static_cast<int>(
          std::clamp<Duration::rep>(Next.count() / 1000, 0, Pause));
    }
    curl_multi_poll(Multi.get(), nullptr, 0, Pause, nullptr);
  }
  return Answers;
}

std::string headerValue(const LoadResponse &Answer, const std::string &Name) {
  std::size_t Start = Answer.Headers_.find("\r\n" + Name + ": ");
  if (Start == std::string::npos)
    return {};
  Start += Name.size() + 4;
  return Answer.Headers_.substr(Start,
                                Answer.Headers_.find("\r\n", Start) - Start);
}

Duration quantile(std::vector<Duration> Latencies, double Share) {
  if (Latencies.empty())
    return Duration{};
  std::sort(Latencies.begin(), Latencies.end());
  auto Index = static_cast<std::size_t>(
      Share * static_cast<double>(Latencies.size() - 1));
  return Latencies[Index];
}

} // namespace jaybridge
