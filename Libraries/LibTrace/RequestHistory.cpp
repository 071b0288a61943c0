#include <LibTrace/RequestHistory.h>

namespace jaybridge {

void RequestHistory::record(const RecordStep &Step, TimePoint Now) {
  auto [Entry, IsNew] = Steps_.try_emplace(Step.Id_);
  if (IsNew) {
    InsertionOrder_.push_back(Step.Id_);
    if (InsertionOrder_.size() > MaxRequestCount) {
      Steps_.erase(InsertionOrder_.front());
      InsertionOrder_.pop_front();
      EvictedRequests_ += EventCount(1);
    }
  }
  // The last slot is reserved for the final step, which holds the outcome.
  std::vector<TimedStep> &RequestSteps = Entry->second;
  bool IsFinal =
      Step.Kind_ == StepKind::Answered || Step.Kind_ == StepKind::Refused;
  if (RequestSteps.size() + 1 < MaxStepsPerRequest || IsFinal)
    RequestSteps.push_back(TimedStep{Now, Step});
}

Result<std::vector<TimedStep>>
RequestHistory::findSteps(const RequestId &Id) const {
  if (auto Found = Steps_.find(Id); Found != Steps_.end())
    return Found->second;
  std::string Reason = "no history of request " + Id.text();
  if (EvictedRequests_ > EventCount(0))
    Reason += "; " + std::to_string(EvictedRequests_.value()) +
              " older requests have aged out";
  return Error{ErrorCode::NotFound, std::move(Reason), {}};
}

} // namespace jaybridge
