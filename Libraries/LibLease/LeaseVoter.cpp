#include <LibLease/LeaseVoter.h>

#include <algorithm>

namespace jaybridge {

void LeaseVoter::handle(const Event &Happened, TimePoint Now,
                        std::vector<Effect> &Out) {
  advance(Now, Out);
  const auto &[From, Message] = std::get<FromMember<LeaseMessage>>(Happened);
  LeaseAnswer Answer;
  bool IsAbstaining = Now < *AbstainUntil_;
  if (const auto *Renewal = std::get_if<LeaseRenewal>(&Message)) {
    Answer.Round_ = Renewal->Round_;
    if (!IsAbstaining)
      answer(From, *Renewal, Now, Answer);
  } else if (const auto *Request = std::get_if<LeaseRequest>(&Message)) {
    Answer.Round_ = Request->Round_;
    for (const LeaseClaim &Each : Request->Held_)
      Highest_ = std::max(Highest_, Each.Fence_);
    // Numbers seen while abstaining may be those of forgotten votes.
    if (IsAbstaining)
      Floor_ = Highest_;
    else
      answer(From, *Request, Now, Answer);
  } else {
    if (const auto *Release = std::get_if<LeaseRelease>(&Message))
      release(From, *Release);
    return;
  }
  Answer.Highest_ = Highest_;
  Out.emplace_back(SendToMember<LeaseMessage>{From, std::move(Answer)});
}

void LeaseVoter::advance(TimePoint Now, std::vector<Effect> &) {
  if (!AbstainUntil_)
    AbstainUntil_ = Now + VoteTerm;
}

std::optional<TimePoint> LeaseVoter::nextDeadline() const {
  if (!AbstainUntil_)
    return TimePoint{};
  return std::nullopt;
}

void LeaseVoter::answer(const MemberId &From, const LeaseRenewal &Got,
                        TimePoint Now, LeaseAnswer &Answer) {
  auto Found = ByHolder_.find(From);
  if (Found == ByHolder_.end())
    return;
  std::uint64_t Digest = 0;
  for (const ServiceName &Each : Found->second)
    Digest ^= digestOf({Each, Votes_.at(Each).Fence_}).value();
  if (HeldDigest(Digest) != Got.Held_)
    return;
  for (const ServiceName &Each : Found->second)
    Votes_.at(Each).Until_ = Now + VoteTerm;
  Answer.IsRenewed_ = true;
}

void LeaseVoter::answer(const MemberId &From, const LeaseRequest &Got,
                        TimePoint Now, LeaseAnswer &Answer) {
  for (const LeaseClaim &Each : Got.Held_)
    if (renew(From, Each, Now))
      Answer.Granted_.push_back(Each.Service_);
  for (const LeaseClaim &Each : Got.Claims_)
    if (grant(From, Each, Now))
      Answer.Granted_.push_back(Each.Service_);
}

// A voter that forgot its vote may renew it: it has abstained until any lease
// of another member that needed its old vote has run out.
bool LeaseVoter::renew(const MemberId &From, const LeaseClaim &Held,
                       TimePoint Now) {
  auto Found = Votes_.find(Held.Service_);
  if (Found != Votes_.end()) {
    const Vote &Given = Found->second;
    bool IsTaken = Given.Holder_ != From && Given.Until_ > Now;
    if (IsTaken || Given.Fence_ > Held.Fence_)
      return false;
  }
  return store(Held.Service_, {From, Held.Fence_, Now + VoteTerm});
}

bool LeaseVoter::grant(const MemberId &From, const LeaseClaim &Claim,
                       TimePoint Now) {
  auto Found = Votes_.find(Claim.Service_);
  bool IsTaken = Found != Votes_.end() && Found->second.Holder_ != From &&
                 Found->second.Until_ > Now;
  FenceNumber Least = Found == Votes_.end() ? Floor_ : Found->second.Fence_;
  if (IsTaken || Claim.Fence_ <= Least)
    return false;
  if (!store(Claim.Service_, {From, Claim.Fence_, Now + VoteTerm}))
    return false;
  Highest_ = std::max(Highest_, Claim.Fence_);
  return true;
}

void LeaseVoter::release(const MemberId &From, const LeaseRelease &Got) {
  for (const LeaseClaim &Each : Got.Released_) {
    auto Found = Votes_.find(Each.Service_);
    if (Found != Votes_.end() && Found->second.Holder_ == From &&
        Found->second.Fence_ == Each.Fence_)
      Found->second.Until_ = TimePoint{};
  }
}

bool LeaseVoter::store(const ServiceName &Service, Vote Given) {
  auto Found = Votes_.find(Service);
  if (Found == Votes_.end()) {
    if (Votes_.size() >= GreatestVoteCount)
      return false;
    Found = Votes_.emplace(Service, Vote{}).first;
  }
  if (Found->second.Holder_ != Given.Holder_) {
    if (auto Old = ByHolder_.find(Found->second.Holder_);
        Old != ByHolder_.end()) {
      std::erase(Old->second, Service);
      if (Old->second.empty())
        ByHolder_.erase(Old);
    }
    ByHolder_[Given.Holder_].push_back(Service);
  }
  Found->second = std::move(Given);
  return true;
}

} // namespace jaybridge
