#include <LibHTTP/UpstreamClient.h>

#include <LibHTTP/UpstreamTransfer.h>
#include <LibRuntime/BoundedRing.h>
#include <LibRuntime/SystemClock.h>

#include <atomic>
#include <map>
#include <thread>

namespace jaybridge {

namespace {

/// libcurl's own timers shorten a wait; this bounds one without timers.
constexpr int LongestWaitMs = 10'000;
/// Connections that are kept open for reuse.
constexpr long IdleConnections = 1024;
/// Handles that are kept for reuse.
constexpr std::size_t IdleHandles = 256;

Status initializeLibrary() {
  static const CURLcode Code = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (Code != CURLE_OK)
    return Error{ErrorCode::Internal, curl_easy_strerror(Code), {}};
  return success();
}

} // namespace

class UpstreamClient::Driver {
public:
  Driver(UpstreamClientOptions Options, Sink Finished, MultiHandle Multi)
      : Options_(Options), Finished_(std::move(Finished)),
        Commands_(RingCapacity(Options.Commands_.value())),
        Multi_(std::move(Multi)) {
    curl_multi_setopt(Multi_.get(), CURLMOPT_MAXCONNECTS, IdleConnections);
    Thread_ = std::thread([this] { run(); });
  }

  ~Driver() {
    Commands_.close();
    curl_multi_wakeup(Multi_.get());
    Thread_.join();
  }

  bool push(std::variant<SendAttempt, CancelAttempt> Command) {
    if (!Commands_.tryPush(std::move(Command)))
      return false;
    curl_multi_wakeup(Multi_.get());
    return true;
  }

  UpstreamClientCounts counts() const {
    return {EventCount(Started_), EventCount(Connections_),
            EventCount(ResendsPrevented_)};
  }

private:
  void run() {
    // The ring is checked after each wait and before the next: one wait may
    // take up the wakeups of several commands and of the closing.
    for (takeCommands(); !Commands_.isClosedAndEmpty(); takeCommands()) {
      int Running = 0;
      curl_multi_perform(Multi_.get(), &Running);
      reportFinished();
      curl_multi_poll(Multi_.get(), nullptr, 0, LongestWaitMs, nullptr);
    }
    while (!Transfers_.empty())
      cancel(Transfers_.begin()->first);
  }

  void takeCommands() {
    constexpr std::chrono::steady_clock::time_point DoNotWait{};
    while (auto Command = Commands_.pop(DoNotWait)) {
      if (auto *Send = std::get_if<SendAttempt>(&*Command))
        start(std::move(*Send));
      else
        cancel(std::get<CancelAttempt>(*Command).Attempt_);
    }
  }

  void start(SendAttempt Attempt) {
    const TimePoint Now = monotonicNow();
    const AttemptId Id = Attempt.Attempt_;
    if (Attempt.Deadline_ <= Now) {
      Finished_({Id, {AttemptResult::ConnectFailed, {}, {}}});
      return;
    }
    auto Transfer = std::make_unique<UpstreamTransfer>(
        std::move(Attempt), takeIdleHandle(), Options_, Now);
    JAYBRIDGE_VERIFY(curl_multi_add_handle(Multi_.get(), Transfer->handle()) ==
                     CURLM_OK);
    Started_.fetch_add(1, std::memory_order_relaxed);
    const bool IsNew = Transfers_.emplace(Id, std::move(Transfer)).second;
    JAYBRIDGE_VERIFY(IsNew);
  }

  void cancel(AttemptId Id) {
    auto Found = Transfers_.find(Id);
    if (Found == Transfers_.end())
      return;
    AttemptOutcome Ended = Found->second->cancel(monotonicNow());
    // Closes the connection, as the answer was not read to its end.
    release(Found);
    Finished_({Id, std::move(Ended)});
  }

  void reportFinished() {
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi_.get(), &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      // The message is invalid once its handle was removed.
      const CURLcode Code = Message->data.result;
      UpstreamTransfer *Transfer = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Transfer);
      auto Found = Transfers_.find(Transfer->attempt());
      JAYBRIDGE_VERIFY(Found != Transfers_.end());
      countConnections(*Transfer);
      const AttemptId Id = Transfer->attempt();
      AttemptOutcome Ended = Transfer->finish(Code, monotonicNow());
      release(Found);
      Finished_({Id, std::move(Ended)});
    }
  }

  void countConnections(const UpstreamTransfer &Transfer) {
    long Opened = 0;
    curl_easy_getinfo(Transfer.handle(), CURLINFO_NUM_CONNECTS, &Opened);
    Connections_.fetch_add(static_cast<std::uint64_t>(Opened),
                           std::memory_order_relaxed);
    if (Transfer.wasResendPrevented())
      ResendsPrevented_.fetch_add(1, std::memory_order_relaxed);
  }

  using TransferMap = std::map<AttemptId, std::unique_ptr<UpstreamTransfer>>;

  void release(TransferMap::iterator Found) {
    curl_multi_remove_handle(Multi_.get(), Found->second->handle());
    EasyHandle Handle = Found->second->takeHandle();
    if (IdleHandles_.size() < IdleHandles) {
      curl_easy_reset(Handle.get());
      IdleHandles_.push_back(std::move(Handle));
    }
    Transfers_.erase(Found);
  }

  EasyHandle takeIdleHandle() {
    if (IdleHandles_.empty()) {
      EasyHandle Fresh(curl_easy_init());
      JAYBRIDGE_VERIFY(Fresh != nullptr);
      return Fresh;
    }
    EasyHandle Handle = std::move(IdleHandles_.back());
    IdleHandles_.pop_back();
    return Handle;
  }

  UpstreamClientOptions Options_;
  Sink Finished_;
  BoundedRing<std::variant<SendAttempt, CancelAttempt>> Commands_;
  std::atomic<std::uint64_t> Started_ = 0;
  std::atomic<std::uint64_t> Connections_ = 0;
  std::atomic<std::uint64_t> ResendsPrevented_ = 0;

  // Used by the client's thread, but for the wakeup.
  MultiHandle Multi_;
  std::vector<EasyHandle> IdleHandles_;
  TransferMap Transfers_;
  std::thread Thread_;
};

UpstreamClient::UpstreamClient(std::unique_ptr<Driver> Running)
    : Driver_(std::move(Running)) {}
UpstreamClient::~UpstreamClient() = default;
UpstreamClient::UpstreamClient(UpstreamClient &&) noexcept = default;
UpstreamClient &UpstreamClient::operator=(UpstreamClient &&) noexcept = default;

Result<UpstreamClient> UpstreamClient::create(UpstreamClientOptions Options,
                                              Sink Finished) {
  JAYBRIDGE_TRY_STATUS(initializeLibrary());
  MultiHandle Multi(curl_multi_init());
  if (!Multi)
    return Error{ErrorCode::Internal, "libcurl did not start", {}};
  return UpstreamClient(
      std::make_unique<Driver>(Options, std::move(Finished), std::move(Multi)));
}

bool UpstreamClient::start(SendAttempt Attempt) {
  return Driver_->push(std::move(Attempt));
}
bool UpstreamClient::cancel(AttemptId Attempt) {
  return Driver_->push(CancelAttempt{Attempt});
}
UpstreamClientCounts UpstreamClient::counts() const {
  return Driver_->counts();
}

} // namespace jaybridge
