#include <LibRegistry/FleetEvidence.h>

#include <utility>

namespace jaybridge {

bool FleetEvidence::record(const std::vector<AttemptCounts> &Attempts,
                           const RequestEvidence &Requests,
                           const ServiceRegistry &Registry, TimePoint Now) {
  bool IsUrgent = !Requests.isEmpty();
  for (const AttemptCounts &Counts : Attempts) {
    const InstanceRecord *Record = Registry.find(Counts.Id_);
    if (!Record)
      continue;
    Outliers_.record(Counts, Record->Service_, Now);
    AttemptCounts &Sum = NewAttempts_[Counts.Id_];
    Sum.Id_ = Counts.Id_;
    Sum += Counts;
    IsUrgent = IsUrgent || Counts.isUrgent();
  }
  // A member without a leader keeps no more than the leader would.
  if (NewRequests_.Lost_.size() >= RequestQuarantine::MaxObserved)
    return IsUrgent;
  NewRequests_.Lost_.insert(NewRequests_.Lost_.end(), Requests.Lost_.begin(),
                            Requests.Lost_.end());
  NewRequests_.Answered_.insert(NewRequests_.Answered_.end(),
                                Requests.Answered_.begin(),
                                Requests.Answered_.end());
  return IsUrgent;
}

FollowerReport FleetEvidence::takeReport(const FailureDomain &Domain) {
  FollowerReport Report;
  Report.Domain_ = Domain;
  for (auto &[Id, Counts] : NewAttempts_)
    Report.Instances_.push_back(std::move(Counts));
  NewAttempts_.clear();
  Report.Requests_ = std::exchange(NewRequests_, {});
  return Report;
}

RequestVerdicts FleetEvidence::decideRequests(const ServiceRegistry &Registry,
                                              TimePoint Now) {
  for (const auto &[Id, Counts] : std::exchange(NewAttempts_, {}))
    if (const InstanceRecord *Record = Registry.find(Id))
      Quarantine_.recordAttempts(
          Record->Service_, Counts.Lost_ + Counts.Errors_ + Counts.Successes_,
          Now);
  const RequestEvidence Requests = std::exchange(NewRequests_, {});
  for (const LostRequest &Lost : Requests.Lost_)
    if (const InstanceRecord *Record = Registry.find(Lost.Instance_))
      Quarantine_.recordLoss(Record->Service_,
                             {Lost.Instance_, Record->Version_},
                             Lost.Fingerprint_, Now);
  for (Fingerprint Answered : Requests.Answered_)
    Quarantine_.recordAnswered(Answered);
  return Quarantine_.decide(Now);
}

} // namespace jaybridge
