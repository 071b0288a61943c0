#include <LibTrace/RequestHistory.h>

namespace jaybridge {

void RequestHistory::record(const RecordStep &Step, TimePoint Now) {
  auto [Entry, IsNew] = Steps_.try_emplace(Step.Id_);
  if (IsNew) {
    Ages_.push_back(Step.Id_);
    if (Ages_.size() > MaxRequestCount) {
      Steps_.erase(Ages_.front());
      Ages_.pop_front();
      Forgotten_ += EventCount(1);
    }
  }
  // The last slot is kept for the outcome, which matters most.
  std::vector<TimedStep> &Kept = Entry->second;
  bool IsFinal =
      Step.Kind_ == StepKind::Answered || Step.Kind_ == StepKind::Refused;
  if (Kept.size() + 1 < MaxStepsPerRequest || IsFinal)
    Kept.push_back(TimedStep{Now, Step});
}

Result<std::vector<TimedStep>>
RequestHistory::findSteps(const RequestId &Id) const {
  if (auto Found = Steps_.find(Id); Found != Steps_.end())
    return Found->second;
  std::string Reason = "no history of request " + Id.text();
  if (Forgotten_ > EventCount(0))
    Reason += "; " + std::to_string(Forgotten_.value()) +
              " older requests have aged out";
  return Error{ErrorCode::NotFound, std::move(Reason), {}};
}

} // namespace jaybridge
