#include <LibLease/LeaseCandidate.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace jaybridge {

namespace {

std::string groupKey(std::size_t Group) {
  return "lease-group-" + std::to_string(Group);
}

} // namespace

Result<LeaseCandidate> LeaseCandidate::create(LeaseCandidateSettings Settings) {
  if (Settings.Self_.isEmpty())
    return Error{ErrorCode::Invalid, "member id must not be empty",
                 "member-id"};
  return LeaseCandidate(std::move(Settings));
}

LeaseCandidate::LeaseCandidate(LeaseCandidateSettings Settings)
    : Self_(std::move(Settings.Self_)), Random_(Settings.Seed_) {
  Ranking_.add(Self_);
  // Rounds start at a random number, so that answers to an earlier run of this
  // daemon are not counted.
  LastRound_ = LeaseRound(Random_.next() / 2);
}

void LeaseCandidate::handle(const Event &Received, TimePoint Now,
                            Effects &Out) {
  advance(Now, Out);
  std::visit(
      Overloaded{[&](const FromMember<LeaseMessage> &Incoming) {
                   const auto *Answer =
                       std::get_if<LeaseAnswer>(&Incoming.Message_);
                   if (Answer && Voters_.contains(Incoming.From_))
                     handleAnswer(Incoming.From_, *Answer, Now, Out);
                 },
                 [&](const MemberChanged &Changed) {
                   if (Changed.Record_.Id_ == Self_)
                     return;
                   if (isLive(Changed.Record_.State_))
                     Ranking_.add(Changed.Record_.Id_);
                   else
                     Ranking_.remove(Changed.Record_.Id_);
                   AreRanksOutdated_ = true;
                 },
                 [&](const ServicesChanged &Changed) {
                   std::map<ServiceName, TimePoint> Listed;
                   for (const ServiceName &Service : Changed.Services_) {
                     if (Listed.size() >= MaxServices)
                       break;
                     auto Known = NextClaimAt_.find(Service);
                     Listed[Service] =
                         Known == NextClaimAt_.end() ? Now : Known->second;
                   }
                   NextClaimAt_ = std::move(Listed);
                   std::erase_if(MaxUsedFences_, [&](const auto &Known) {
                     return !NextClaimAt_.contains(Known.first) &&
                            !HeldLeases_.contains(Known.first);
                   });
                   AreRanksOutdated_ = true;
                 },
                 [&](const VotersChanged &Changed) {
                   Voters_ = {Changed.Voters_.begin(), Changed.Voters_.end()};
                   // All votes of a round must come from the same set of
                   // voters.
                   PendingRounds_.clear();
                 }},
      Received);
}

void LeaseCandidate::advance(TimePoint Now, Effects &Out) {
  if (!HasStarted_) {
    HasStarted_ = true;
    NextRoundAt_ = Now + Duration(Random_.below(RenewalInterval.count()));
  }
  dropExpiredLeases(Now, Out);
  if (Now < NextRoundAt_)
    return;
  NextRoundAt_ = Now + RenewalInterval;
  updateRanks(Now);
  releaseOutrankedLeases(Now, Out);
  startRound(Now, Out);
}

std::optional<TimePoint> LeaseCandidate::nextDeadline() const {
  if (!HasStarted_)
    return TimePoint{};
  TimePoint Next = NextRoundAt_;
  for (const auto &[Service, HeldLease] : HeldLeases_)
    Next = std::min(Next, HeldLease.Until_);
  return Next;
}

bool LeaseCandidate::isHolding(const ServiceName &Service,
                               TimePoint Now) const {
  auto Found = HeldLeases_.find(Service);
  return Found != HeldLeases_.end() && Found->second.Until_ > Now;
}

void LeaseCandidate::handleAnswer(const MemberId &From,
                                  const LeaseAnswer &Answer, TimePoint Now,
                                  Effects &Out) {
  HighestFence_ = std::max(HighestFence_, Answer.HighestFence_);
  auto Found = std::find_if(PendingRounds_.begin(), PendingRounds_.end(),
                            [&](const Round &Candidate) {
                              return Candidate.Number_ == Answer.Round_;
                            });
  if (Found == PendingRounds_.end())
    return;
  Round &PendingRound = *Found;
  if (Answer.IsRenewed_)
    for (const LeaseClaim &Claim : PendingRound.Held_)
      countVote(PendingRound, From, Claim, Now, Out);
  std::set<ServiceName> Granted(Answer.Granted_.begin(), Answer.Granted_.end());
  std::size_t RenewedCount = 0;
  for (const auto *Claims : {&PendingRound.Held_, &PendingRound.Claims_})
    for (const LeaseClaim &Claim : *Claims) {
      if (!Granted.contains(Claim.Service_))
        continue;
      RenewedCount += Claims == &PendingRound.Held_ ? 1 : 0;
      countVote(PendingRound, From, Claim, Now, Out);
    }
  // A voter answers the request and the renewal of a round separately.
  bool IsAnswerToRequest = !Answer.Granted_.empty();
  if (Answer.IsRenewed_ ||
      (IsAnswerToRequest && RenewedCount == PendingRound.Held_.size() &&
       RenewedCount > 0))
    OutOfSyncVoters_.erase(From);
  else if (!PendingRound.Held_.empty() && !IsAnswerToRequest)
    OutOfSyncVoters_.insert(From);
}

void LeaseCandidate::countVote(Round &PendingRound, const MemberId &Voter,
                               const LeaseClaim &Claim, TimePoint Now,
                               Effects &Out) {
  std::set<MemberId> &Votes = PendingRound.Votes_[Claim.Service_];
  Votes.insert(Voter);
  TimePoint Until = PendingRound.SentAt_ + LeaseDuration;
  if (2 * Votes.size() <= Voters_.size() || Until <= Now)
    return;
  // The answer to a renewal may arrive after a lease with a greater fence was
  // acquired and lost.
  FenceNumber &MaxUsedFence = MaxUsedFences_[Claim.Service_];
  if (Claim.Fence_ < MaxUsedFence)
    return;
  MaxUsedFence = Claim.Fence_;
  Lease &HeldLease = HeldLeases_[Claim.Service_];
  if (HeldLease.Fence_ == Claim.Fence_ && HeldLease.Until_ >= Until)
    return;
  if (HeldLease.Fence_ != Claim.Fence_)
    OutOfSyncVoters_ = Voters_;
  HeldLease.Fence_ = Claim.Fence_;
  HeldLease.Until_ = Until;
  Out.emplace_back(LeaseHeld{Claim.Service_, Claim.Fence_, Until});
}

void LeaseCandidate::dropExpiredLeases(TimePoint Now, Effects &Out) {
  std::erase_if(HeldLeases_, [&](const auto &Entry) {
    if (Entry.second.Until_ > Now)
      return false;
    Out.emplace_back(LeaseLost{Entry.first, Entry.second.Fence_});
    return true;
  });
}

void LeaseCandidate::startRound(TimePoint Now, Effects &Out) {
  LastRound_ = LastRound_.next();
  Round NewRound{LastRound_, Now, {}, {}, {}};
  std::uint64_t Digest = 0;
  for (const auto &[Service, HeldLease] : HeldLeases_) {
    NewRound.Held_.push_back({Service, HeldLease.Fence_});
    Digest ^= digestOf(NewRound.Held_.back()).value();
  }
  for (auto &[Service, NextClaimAt] : NextClaimAt_) {
    if (NewRound.Claims_.size() >= MaxClaimsPerRequest)
      break;
    auto OwnRank = Ranks_.find(groupOf(Service));
    if (OwnRank == Ranks_.end() || HeldLeases_.contains(Service) ||
        NextClaimAt > Now)
      continue;
    auto ClaimDelay =
        2 * ClaimInterval + Duration(Random_.below(ClaimInterval.count()));
    NextClaimAt = Now + OwnRank->second.value() * ClaimDelay;
    // Makes later rounds claim greater fences even if no answer arrives in
    // between.
    HighestFence_ = HighestFence_.next();
    NewRound.Claims_.push_back({Service, HighestFence_});
  }
  if (NewRound.Held_.empty() && NewRound.Claims_.empty())
    return;
  for (const MemberId &Voter : Voters_) {
    bool IsFullListNeeded = OutOfSyncVoters_.contains(Voter);
    if (!NewRound.Held_.empty() && !IsFullListNeeded)
      send(Voter, LeaseRenewal{NewRound.Number_, HeldDigest(Digest)}, Out);
    if (!NewRound.Claims_.empty() ||
        (IsFullListNeeded && !NewRound.Held_.empty()))
      send(Voter,
           LeaseRequest{NewRound.Number_,
                        IsFullListNeeded ? NewRound.Held_
                                         : std::vector<LeaseClaim>{},
                        NewRound.Claims_},
           Out);
  }
  PendingRounds_.push_back(std::move(NewRound));
  if (PendingRounds_.size() > MaxPendingRounds)
    PendingRounds_.pop_front();
}

// Releases the leases of services that are no longer listed or for which
// another member has been ranked first for `HandoverDelay`.
void LeaseCandidate::releaseOutrankedLeases(TimePoint Now, Effects &Out) {
  LeaseRelease Release;
  for (auto Entry = HeldLeases_.begin(); Entry != HeldLeases_.end();) {
    auto &[Service, HeldLease] = *Entry;
    bool IsListed = NextClaimAt_.contains(Service);
    if (isRankedFirst(groupOf(Service)))
      HeldLease.OutrankedSince_.reset();
    else if (!HeldLease.OutrankedSince_)
      HeldLease.OutrankedSince_ = Now;
    bool IsOutranked = HeldLease.OutrankedSince_ &&
                       *HeldLease.OutrankedSince_ + HandoverDelay <= Now;
    if (IsListed && !IsOutranked) {
      ++Entry;
      continue;
    }
    Out.emplace_back(LeaseLost{Service, HeldLease.Fence_});
    Release.Released_.push_back({Service, HeldLease.Fence_});
    if (IsListed)
      NextClaimAt_[Service] = Now + 4 * ClaimInterval;
    Entry = HeldLeases_.erase(Entry);
  }
  if (Release.Released_.empty())
    return;
  // Late answers must not reacquire the released leases.
  PendingRounds_.clear();
  for (const MemberId &Voter : Voters_)
    send(Voter, Release, Out);
  OutOfSyncVoters_ = Voters_;
}

void LeaseCandidate::updateRanks(TimePoint Now) {
  if (!std::exchange(AreRanksOutdated_, false))
    return;
  auto OldRanks = std::exchange(Ranks_, {});
  for (std::size_t Group = 0; Group < GroupCount; ++Group)
    if (auto OwnRank = Ranking_.rankOf(Self_, CandidateCount, groupKey(Group)))
      Ranks_[Group] = *OwnRank;
  for (auto &[Service, NextClaimAt] : NextClaimAt_) {
    auto OwnRank = Ranks_.find(groupOf(Service));
    auto OldRank = OldRanks.find(groupOf(Service));
    bool HasImproved =
        OwnRank != Ranks_.end() &&
        (OldRank == OldRanks.end() || OwnRank->second < OldRank->second);
    if (HasImproved)
      NextClaimAt = Now + 2 * ClaimInterval * OwnRank->second.value();
  }
}

std::size_t LeaseCandidate::groupOf(const ServiceName &Service) const {
  return stableHash(Service.text()) % GroupCount;
}

std::vector<MemberId>
LeaseCandidate::candidatesFor(const ServiceName &Service) const {
  return Ranking_.first(CandidateCount, groupKey(groupOf(Service)));
}

bool LeaseCandidate::isRankedFirst(std::size_t Group) const {
  auto Found = Ranks_.find(Group);
  return Found != Ranks_.end() && Found->second == Rank(0);
}

void LeaseCandidate::send(const MemberId &To, LeaseMessage Message,
                          Effects &Out) const {
  Out.emplace_back(SendToMember<LeaseMessage>{To, std::move(Message)});
}

} // namespace jaybridge
