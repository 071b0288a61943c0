#include <LibHTTP/UpstreamClient.h>

#include <LibHTTP/UpstreamTransfer.h>
#include <LibRuntime/BoundedRing.h>
#include <LibRuntime/SystemClock.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>

namespace jaybridge {

namespace {

/// Timeout of `curl_multi_poll()` when no timer of libcurl expires earlier.
constexpr int MaxPollTimeoutMs = 10'000;
/// Bounds the connections that are kept open for reuse.
constexpr long MaxIdleConnections = 1024;
/// Bounds the easy handles that are kept for reuse.
constexpr std::size_t MaxIdleHandles = 256;

Status initializeLibcurl() {
  static const CURLcode Code = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (Code != CURLE_OK)
    return Error{ErrorCode::Internal, curl_easy_strerror(Code), {}};
  return success();
}

} // namespace

class UpstreamClient::Driver {
public:
  Driver(UpstreamClientOptions Options, Callback OnFinished, MultiHandle Multi)
      : Options_(Options), OnFinished_(std::move(OnFinished)),
        CommandRing_(RingCapacity(Options.CommandQueueCapacity_.value())),
        Multi_(std::move(Multi)), Buffers_(Options.BufferLimit_) {
    curl_multi_setopt(Multi_.get(), CURLMOPT_MAXCONNECTS, MaxIdleConnections);
    Thread_ = std::thread([this] { run(); });
  }

  ~Driver() {
    CommandRing_.close();
    curl_multi_wakeup(Multi_.get());
    Thread_.join();
  }

  bool push(std::variant<SendAttempt, CancelAttempt> Command) {
    if (!CommandRing_.tryPush(std::move(Command)))
      return false;
    curl_multi_wakeup(Multi_.get());
    return true;
  }

  UpstreamClientCounts counts() const {
    return {EventCount(Started_),          EventCount(Connections_),
            EventCount(ResendsPrevented_), EventCount(Misattributed_),
            EventCount(Malformed_),        EventCount(TooLarge_)};
  }

private:
  void run() {
    // The ring is checked between any two polls, since a single poll may
    // consume the wakeups of several commands and that of closing the ring.
    for (processCommands(); !CommandRing_.isClosedAndEmpty();
         processCommands()) {
      int RunningTransfers = 0;
      curl_multi_perform(Multi_.get(), &RunningTransfers);
      reportFinishedTransfers();
      limitBuffers();
      curl_multi_poll(Multi_.get(), nullptr, 0, MaxPollTimeoutMs, nullptr);
    }
    while (!Transfers_.empty())
      cancel(Transfers_.begin()->first);
  }

  void processCommands() {
    constexpr std::chrono::steady_clock::time_point NoWait{};
    while (auto Command = CommandRing_.pop(NoWait)) {
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
      OnFinished_({Id, {AttemptResult::ConnectFailed, {}, {}}});
      return;
    }
    auto Transfer = std::make_unique<UpstreamTransfer>(
        std::move(Attempt), takeIdleHandle(), Options_, Buffers_, Now);
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
    // Closes the connection, since its response was not read completely.
    release(Found);
    OnFinished_({Id, std::move(Ended)});
  }

  void reportFinishedTransfers() {
    int RemainingMessages = 0;
    while (CURLMsg *Message =
               curl_multi_info_read(Multi_.get(), &RemainingMessages)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      // Removing the handle invalidates the message.
      const CURLcode Code = Message->data.result;
      UpstreamTransfer *Transfer = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Transfer);
      auto Found = Transfers_.find(Transfer->attempt());
      JAYBRIDGE_VERIFY(Found != Transfers_.end());
      countConnections(*Transfer);
      const AttemptId Id = Transfer->attempt();
      AttemptOutcome Ended = Transfer->finish(Code, monotonicNow());
      if (Transfer->isMalformed())
        Malformed_.fetch_add(1, std::memory_order_relaxed);
      else if (Ended.Result_ == AttemptResult::ResponseTruncated &&
               Transfer->namesOtherRequest())
        Misattributed_.fetch_add(1, std::memory_order_relaxed);
      if (Ended.Result_ == AttemptResult::ResponseTooLarge)
        TooLarge_.fetch_add(1, std::memory_order_relaxed);
      release(Found);
      OnFinished_({Id, std::move(Ended)});
    }
  }

  // An upstream that sends without end would otherwise take the memory of all
  // other responses.
  void limitBuffers() {
    while (Buffers_.isOverLimit()) {
      auto Largest = std::max_element(Transfers_.begin(), Transfers_.end(),
                                      [](const auto &Left, const auto &Right) {
                                        return Left.second->heldBytes() <
                                               Right.second->heldBytes();
                                      });
      const AttemptId Id = Largest->first;
      Largest->second->cutOff();
      AttemptOutcome Ended =
          Largest->second->finish(CURLE_WRITE_ERROR, monotonicNow());
      TooLarge_.fetch_add(1, std::memory_order_relaxed);
      release(Largest);
      OnFinished_({Id, std::move(Ended)});
      for (auto &[PausedId, Paused] : Transfers_)
        Paused->resume();
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
    if (IdleHandles_.size() < MaxIdleHandles) {
      curl_easy_reset(Handle.get());
      IdleHandles_.push_back(std::move(Handle));
    }
    Transfers_.erase(Found);
  }

  EasyHandle takeIdleHandle() {
    if (IdleHandles_.empty()) {
      EasyHandle NewHandle(curl_easy_init());
      JAYBRIDGE_VERIFY(NewHandle != nullptr);
      return NewHandle;
    }
    EasyHandle Handle = std::move(IdleHandles_.back());
    IdleHandles_.pop_back();
    return Handle;
  }

  UpstreamClientOptions Options_;
  Callback OnFinished_;
  BoundedRing<std::variant<SendAttempt, CancelAttempt>> CommandRing_;
  std::atomic<std::uint64_t> Started_ = 0;
  std::atomic<std::uint64_t> Connections_ = 0;
  std::atomic<std::uint64_t> ResendsPrevented_ = 0;
  std::atomic<std::uint64_t> Misattributed_ = 0;
  std::atomic<std::uint64_t> Malformed_ = 0;
  std::atomic<std::uint64_t> TooLarge_ = 0;

  // Accessed by the client's thread only, except for the wakeup.
  MultiHandle Multi_;
  std::vector<EasyHandle> IdleHandles_;
  ResponseBuffers Buffers_;
  TransferMap Transfers_;
  std::thread Thread_;
};

UpstreamClient::UpstreamClient(std::unique_ptr<Driver> Running)
    : Driver_(std::move(Running)) {}
UpstreamClient::~UpstreamClient() = default;
UpstreamClient::UpstreamClient(UpstreamClient &&) noexcept = default;
UpstreamClient &UpstreamClient::operator=(UpstreamClient &&) noexcept = default;

Result<UpstreamClient> UpstreamClient::create(UpstreamClientOptions Options,
                                              Callback OnFinished) {
  JAYBRIDGE_TRY_STATUS(initializeLibcurl());
  MultiHandle Multi(curl_multi_init());
  if (!Multi)
    return Error{ErrorCode::Internal, "cannot initialize libcurl", {}};
  return UpstreamClient(std::make_unique<Driver>(Options, std::move(OnFinished),
                                                 std::move(Multi)));
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
