#pragma once

#include <LibCore/Result.h>
#include <LibRouting/GatewayMessages.h>

#include <chrono>
#include <future>
#include <map>
#include <mutex>

namespace jaybridge {

/// Explanations that threads wait for. Thread-safe.
class PendingExplanations {
public:
  using Explanation = std::shared_ptr<const RoutingExplanation>;

  struct Ticket {
    ExplanationId Id_;
    std::future<Explanation> Result_;
  };

  Ticket open() {
    std::lock_guard Lock(Mutex_);
    LastId_ = LastId_.next();
    return {LastId_, Waiting_[LastId_].get_future()};
  }
  /// Does nothing when the request was given up.
  void complete(const ExplanationResponse &Response) {
    std::lock_guard Lock(Mutex_);
    if (auto Found = Waiting_.find(Response.Id_); Found != Waiting_.end()) {
      Found->second.set_value(Response.Explanation_);
      Waiting_.erase(Found);
    }
  }
  /// Waits for the explanation, and gives it up after the limit.
  Result<Explanation> wait(Ticket Opened, std::chrono::milliseconds Limit) {
    if (Opened.Result_.wait_for(Limit) == std::future_status::ready)
      return Opened.Result_.get();
    cancel(Opened.Id_);
    return Error{ErrorCode::Unavailable, "the gateway's thread is busy", {}};
  }
  void cancel(ExplanationId Id) {
    std::lock_guard Lock(Mutex_);
    Waiting_.erase(Id);
  }

private:
  std::mutex Mutex_;
  ExplanationId LastId_;
  std::map<ExplanationId, std::promise<Explanation>> Waiting_;
};

} // namespace jaybridge
