#include <Fakes/FakeAnnouncer.h>

#include <curl/curl.h>
#include <nlohmann/json.hpp>

namespace jaybridge {

namespace {

constexpr long PostTimeoutMilliseconds = 1000;

std::size_t ignoreBody(char *, std::size_t Size, std::size_t Count, void *) {
  return Size * Count;
}

} // namespace

std::string FakeAnnouncement::toJson() const {
  return nlohmann::json({{"instance", Instance_.text()},
                         {"service", Service_.text()},
                         {"address", Address_.text()},
                         {"failure_domain", Domain_.text()},
                         {"slots", Slots_.value()},
                         {"busy", Busy_.value()},
                         {"state", fakeStateName(State_)},
                         {"version", Version_.value()}})
      .dump();
}

FakeAnnouncer::FakeAnnouncer(std::vector<Endpoint> Targets, std::string Token,
                             Duration Interval)
    : Targets_(std::move(Targets)), Token_(std::move(Token)),
      Interval_(Interval), Thread_([this] { run(); }) {}

FakeAnnouncer::~FakeAnnouncer() {
  {
    std::lock_guard Lock(Mutex_);
    IsStopping_ = true;
  }
  Changed_.notify_one();
  Thread_.join();
}

void FakeAnnouncer::update(FakeAnnouncement Latest) {
  {
    std::lock_guard Lock(Mutex_);
    IsDue_ = IsDue_ || !Latest_ || Latest_->State_ != Latest.State_;
    Latest_ = std::move(Latest);
  }
  Changed_.notify_one();
}

void FakeAnnouncer::run() {
  std::unique_lock Lock(Mutex_);
  bool IsLast = false;
  while (!IsLast) {
    Changed_.wait_for(Lock, Interval_,
                      [this] { return IsDue_ || IsStopping_; });
    IsLast = IsStopping_;
    IsDue_ = false;
    if (!Latest_)
      continue;
    const std::string Body = Latest_->toJson();
    Lock.unlock();
    post(Body);
    Lock.lock();
  }
}

// Tries the targets round-robin until one accepts the announcement with a 2xx
// status.
void FakeAnnouncer::post(const std::string &Body) {
  const std::unique_ptr<CURL, void (*)(CURL *)> Handle(curl_easy_init(),
                                                       &curl_easy_cleanup);
  const std::string Authorization = "Authorization: Bearer " + Token_;
  curl_slist *HeaderList = curl_slist_append(nullptr, Authorization.c_str());
  HeaderList = curl_slist_append(HeaderList, "Content-Type: application/json");
  const std::unique_ptr<curl_slist, void (*)(curl_slist *)> Headers(
      HeaderList, &curl_slist_free_all);
  curl_easy_setopt(Handle.get(), CURLOPT_HTTPHEADER, Headers.get());
  curl_easy_setopt(Handle.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(Handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle.get(), CURLOPT_TIMEOUT_MS, PostTimeoutMilliseconds);
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEFUNCTION, &ignoreBody);
  curl_easy_setopt(Handle.get(), CURLOPT_POSTFIELDS, Body.c_str());
  for (std::size_t Attempt = 0; Attempt < Targets_.size(); ++Attempt) {
    const std::string Address =
        "http://" + Targets_[NextTarget_].text() + "/announce";
    NextTarget_ = (NextTarget_ + 1) % Targets_.size();
    curl_easy_setopt(Handle.get(), CURLOPT_URL, Address.c_str());
    long ResponseStatus = 0;
    if (curl_easy_perform(Handle.get()) == CURLE_OK &&
        curl_easy_getinfo(Handle.get(), CURLINFO_RESPONSE_CODE,
                          &ResponseStatus) == CURLE_OK &&
        ResponseStatus >= 200 && ResponseStatus < 300)
      return;
  }
}

} // namespace jaybridge
