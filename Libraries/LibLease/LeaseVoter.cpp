#include <LibLease/LeaseVoter.h>

#include <algorithm>

namespace jaybridge {

void LeaseVoter::handle(const Event &Received, TimePoint Now,
                        std::vector<Effect> &Out) {
  advance(Now, Out);
  const auto &[From, Message] = std::get<FromMember<LeaseMessage>>(Received);
  LeaseAnswer Answer;
  bool IsAbstaining = Now < *AbstainUntil_;
  if (const auto *Renewal = std::get_if<LeaseRenewal>(&Message)) {
    Answer.Round_ = Renewal->Round_;
    if (!IsAbstaining)
      answer(From, *Renewal, Now, Answer);
  } else if (const auto *Request = std::get_if<LeaseRequest>(&Message)) {
    Answer.Round_ = Request->Round_;
    for (const LeaseClaim &Held : Request->Held_)
      HighestFence_ = std::max(HighestFence_, Held.Fence_);
    // Fence numbers received while abstaining may belong to votes given before
    // the restart.
    if (IsAbstaining)
      FenceFloor_ = HighestFence_;
    else
      answer(From, *Request, Now, Answer);
  } else {
    if (const auto *Release = std::get_if<LeaseRelease>(&Message))
      release(From, *Release);
    return;
  }
  Answer.HighestFence_ = HighestFence_;
  Out.emplace_back(SendToMember<LeaseMessage>{From, std::move(Answer)});
}

void LeaseVoter::advance(TimePoint Now, std::vector<Effect> &) {
  if (!AbstainUntil_)
    AbstainUntil_ = Now + VoteDuration;
}

std::optional<TimePoint> LeaseVoter::nextDeadline() const {
  if (!AbstainUntil_)
    return TimePoint{};
  return std::nullopt;
}

void LeaseVoter::answer(const MemberId &From, const LeaseRenewal &Renewal,
                        TimePoint Now, LeaseAnswer &Answer) {
  auto Found = ServicesByHolder_.find(From);
  if (Found == ServicesByHolder_.end())
    return;
  std::uint64_t Digest = 0;
  for (const ServiceName &Service : Found->second)
    Digest ^= digestOf({Service, Votes_.at(Service).Fence_}).value();
  if (HeldDigest(Digest) != Renewal.Held_)
    return;
  for (const ServiceName &Service : Found->second)
    Votes_.at(Service).Until_ = Now + VoteDuration;
  Answer.IsRenewed_ = true;
}

void LeaseVoter::answer(const MemberId &From, const LeaseRequest &Request,
                        TimePoint Now, LeaseAnswer &Answer) {
  for (const LeaseClaim &Claim : Request.Held_)
    if (renew(From, Claim, Now))
      Answer.Granted_.push_back(Claim.Service_);
  for (const LeaseClaim &Claim : Request.Claims_)
    if (grant(From, Claim, Now))
      Answer.Granted_.push_back(Claim.Service_);
}

// A voter that lost its vote in a restart may still renew it: it has abstained
// until any lease of another member that relied on its old vote has expired.
bool LeaseVoter::renew(const MemberId &From, const LeaseClaim &Held,
                       TimePoint Now) {
  auto Found = Votes_.find(Held.Service_);
  if (Found != Votes_.end()) {
    const Vote &StoredVote = Found->second;
    bool IsTaken = StoredVote.Holder_ != From && StoredVote.Until_ > Now;
    if (IsTaken || StoredVote.Fence_ > Held.Fence_)
      return false;
  }
  return store(Held.Service_, {From, Held.Fence_, Now + VoteDuration});
}

bool LeaseVoter::grant(const MemberId &From, const LeaseClaim &Claim,
                       TimePoint Now) {
  auto Found = Votes_.find(Claim.Service_);
  bool IsTaken = Found != Votes_.end() && Found->second.Holder_ != From &&
                 Found->second.Until_ > Now;
  FenceNumber LastFence =
      Found == Votes_.end() ? FenceFloor_ : Found->second.Fence_;
  if (IsTaken || Claim.Fence_ <= LastFence)
    return false;
  if (!store(Claim.Service_, {From, Claim.Fence_, Now + VoteDuration}))
    return false;
  HighestFence_ = std::max(HighestFence_, Claim.Fence_);
  return true;
}

void LeaseVoter::release(const MemberId &From, const LeaseRelease &Release) {
  for (const LeaseClaim &Released : Release.Released_) {
    auto Found = Votes_.find(Released.Service_);
    if (Found != Votes_.end() && Found->second.Holder_ == From &&
        Found->second.Fence_ == Released.Fence_)
      Found->second.Until_ = TimePoint{};
  }
}

bool LeaseVoter::store(const ServiceName &Service, Vote NewVote) {
  auto Found = Votes_.find(Service);
  if (Found == Votes_.end()) {
    if (Votes_.size() >= MaxVotes)
      return false;
    Found = Votes_.emplace(Service, Vote{}).first;
  }
  if (Found->second.Holder_ != NewVote.Holder_) {
    if (auto Old = ServicesByHolder_.find(Found->second.Holder_);
        Old != ServicesByHolder_.end()) {
      std::erase(Old->second, Service);
      if (Old->second.empty())
        ServicesByHolder_.erase(Old);
    }
    ServicesByHolder_[NewVote.Holder_].push_back(Service);
  }
  Found->second = std::move(NewVote);
  return true;
}

} // namespace jaybridge
