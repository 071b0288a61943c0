#include <LibLease/LeaseCandidate.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace jaybridge {

namespace {

std::string groupKey(std::size_t Group) {
  return "lease-group-" + std::to_string(Group);
}

} // namespace

Result<LeaseCandidate> LeaseCandidate::create(CandidateDraft Draft) {
  if (Draft.Self_.isEmpty())
    return Error{ErrorCode::Invalid, "a member needs an id", "member-id"};
  return LeaseCandidate(std::move(Draft));
}

LeaseCandidate::LeaseCandidate(CandidateDraft Draft)
    : Self_(std::move(Draft.Self_)), Numbers_(Draft.Seed_) {
  Ranking_.add(Self_);
  // Answers to the earlier run of a restarted daemon must not be counted.
  LastRound_ = LeaseRound(Numbers_.next() / 2);
}

void LeaseCandidate::handle(const Event &Happened, TimePoint Now,
                            Effects &Out) {
  advance(Now, Out);
  std::visit(Overloaded{[&](const FromMember<LeaseMessage> &Got) {
                          const auto *Answer =
                              std::get_if<LeaseAnswer>(&Got.Message_);
                          if (Answer && Voters_.contains(Got.From_))
                            receive(Got.From_, *Answer, Now, Out);
                        },
                        [&](const MemberChanged &Each) {
                          if (Each.Record_.Id_ == Self_)
                            return;
                          if (isLive(Each.Record_.State_))
                            Ranking_.add(Each.Record_.Id_);
                          else
                            Ranking_.remove(Each.Record_.Id_);
                          AreRanksOutdated_ = true;
                        },
                        [&](const ServicesChanged &Each) {
                          std::map<ServiceName, TimePoint> Listed;
                          for (const ServiceName &Service : Each.Services_) {
                            if (Listed.size() >= GreatestServiceCount)
                              break;
                            auto Known = ClaimAt_.find(Service);
                            Listed[Service] =
                                Known == ClaimAt_.end() ? Now : Known->second;
                          }
                          ClaimAt_ = std::move(Listed);
                          std::erase_if(Used_, [&](const auto &Known) {
                            return !ClaimAt_.contains(Known.first) &&
                                   !Held_.contains(Known.first);
                          });
                          AreRanksOutdated_ = true;
                        },
                        [&](const VotersChanged &Each) {
                          Voters_ = {Each.Voters_.begin(), Each.Voters_.end()};
                          // Votes of one round come from one set of voters.
                          Rounds_.clear();
                        }},
             Happened);
}

void LeaseCandidate::advance(TimePoint Now, Effects &Out) {
  if (!HasStarted_) {
    HasStarted_ = true;
    NextRoundAt_ = Now + Duration(Numbers_.below(RenewPeriod.count()));
  }
  dropLost(Now, Out);
  if (Now < NextRoundAt_)
    return;
  NextRoundAt_ = Now + RenewPeriod;
  updateRanks(Now);
  handOver(Now, Out);
  startRound(Now, Out);
}

std::optional<TimePoint> LeaseCandidate::nextDeadline() const {
  if (!HasStarted_)
    return TimePoint{};
  TimePoint Next = NextRoundAt_;
  for (const auto &[Service, Each] : Held_)
    Next = std::min(Next, Each.Until_);
  return Next;
}

bool LeaseCandidate::isHolding(const ServiceName &Service,
                               TimePoint Now) const {
  auto Found = Held_.find(Service);
  return Found != Held_.end() && Found->second.Until_ > Now;
}

void LeaseCandidate::receive(const MemberId &From, const LeaseAnswer &Got,
                             TimePoint Now, Effects &Out) {
  Highest_ = std::max(Highest_, Got.Highest_);
  auto Found =
      std::find_if(Rounds_.begin(), Rounds_.end(), [&](const Round &Each) {
        return Each.Number_ == Got.Round_;
      });
  if (Found == Rounds_.end())
    return;
  Round &Counted = *Found;
  if (Got.IsRenewed_)
    for (const LeaseClaim &Each : Counted.Held_)
      count(Counted, From, Each, Now, Out);
  std::set<ServiceName> Granted(Got.Granted_.begin(), Got.Granted_.end());
  std::size_t Renewed = 0;
  for (const auto *Claims : {&Counted.Held_, &Counted.Claims_})
    for (const LeaseClaim &Each : *Claims) {
      if (!Granted.contains(Each.Service_))
        continue;
      Renewed += Claims == &Counted.Held_ ? 1 : 0;
      count(Counted, From, Each, Now, Out);
    }
  // A claim and a renewal to one voter are answered separately.
  bool IsAnswerToRequest = !Got.Granted_.empty();
  if (Got.IsRenewed_ ||
      (IsAnswerToRequest && Renewed == Counted.Held_.size() && Renewed > 0))
    Differing_.erase(From);
  else if (!Counted.Held_.empty() && !IsAnswerToRequest)
    Differing_.insert(From);
}

void LeaseCandidate::count(Round &Counted, const MemberId &Voter,
                           const LeaseClaim &Claim, TimePoint Now,
                           Effects &Out) {
  std::set<MemberId> &Votes = Counted.Votes_[Claim.Service_];
  Votes.insert(Voter);
  TimePoint Until = Counted.SentAt_ + LeaseTerm;
  if (2 * Votes.size() <= Voters_.size() || Until <= Now)
    return;
  // A renewal may be answered after a greater fence was used and lost.
  FenceNumber &Used = Used_[Claim.Service_];
  if (Claim.Fence_ < Used)
    return;
  Used = Claim.Fence_;
  Lease &Won = Held_[Claim.Service_];
  if (Won.Fence_ == Claim.Fence_ && Won.Until_ >= Until)
    return;
  if (Won.Fence_ != Claim.Fence_)
    Differing_ = Voters_;
  Won.Fence_ = Claim.Fence_;
  Won.Until_ = Until;
  Out.emplace_back(LeaseHeld{Claim.Service_, Claim.Fence_, Until});
}

void LeaseCandidate::dropLost(TimePoint Now, Effects &Out) {
  std::erase_if(Held_, [&](const auto &Each) {
    if (Each.second.Until_ > Now)
      return false;
    Out.emplace_back(LeaseLost{Each.first, Each.second.Fence_});
    return true;
  });
}

void LeaseCandidate::startRound(TimePoint Now, Effects &Out) {
  LastRound_ = LastRound_.next();
  Round Started{LastRound_, Now, {}, {}, {}};
  std::uint64_t Digest = 0;
  for (const auto &[Service, Each] : Held_) {
    Started.Held_.push_back({Service, Each.Fence_});
    Digest ^= digestOf(Started.Held_.back()).value();
  }
  for (auto &[Service, At] : ClaimAt_) {
    if (Started.Claims_.size() >= ClaimsPerRequest)
      break;
    auto Ranked = Ranks_.find(groupOf(Service));
    if (Ranked == Ranks_.end() || Held_.contains(Service) || At > Now)
      continue;
    auto Wait = 2 * ClaimPeriod + Duration(Numbers_.below(ClaimPeriod.count()));
    At = Now + Ranked->second.value() * Wait;
    // Later rounds claim greater fences, whatever is answered in between.
    Highest_ = Highest_.next();
    Started.Claims_.push_back({Service, Highest_});
  }
  if (Started.Held_.empty() && Started.Claims_.empty())
    return;
  for (const MemberId &Voter : Voters_) {
    bool IsWhole = Differing_.contains(Voter);
    if (!Started.Held_.empty() && !IsWhole)
      send(Voter, LeaseRenewal{Started.Number_, HeldDigest(Digest)}, Out);
    if (!Started.Claims_.empty() || (IsWhole && !Started.Held_.empty()))
      send(Voter,
           LeaseRequest{Started.Number_,
                        IsWhole ? Started.Held_ : std::vector<LeaseClaim>{},
                        Started.Claims_},
           Out);
  }
  Rounds_.push_back(std::move(Started));
  if (Rounds_.size() > GreatestRounds)
    Rounds_.pop_front();
}

// Gives up leases of services that are no longer listed or for which another
// member has been ranked first for long enough.
void LeaseCandidate::handOver(TimePoint Now, Effects &Out) {
  LeaseRelease Release;
  for (auto Each = Held_.begin(); Each != Held_.end();) {
    auto &[Service, Own] = *Each;
    bool IsListed = ClaimAt_.contains(Service);
    if (isFirst(groupOf(Service)))
      Own.OutrankedSince_.reset();
    else if (!Own.OutrankedSince_)
      Own.OutrankedSince_ = Now;
    bool IsOutranked =
        Own.OutrankedSince_ && *Own.OutrankedSince_ + HandOverDelay <= Now;
    if (IsListed && !IsOutranked) {
      ++Each;
      continue;
    }
    Out.emplace_back(LeaseLost{Service, Own.Fence_});
    Release.Released_.push_back({Service, Own.Fence_});
    if (IsListed)
      ClaimAt_[Service] = Now + 4 * ClaimPeriod;
    Each = Held_.erase(Each);
  }
  if (Release.Released_.empty())
    return;
  // Late answers must not bring back what was given up.
  Rounds_.clear();
  for (const MemberId &Voter : Voters_)
    send(Voter, Release, Out);
  Differing_ = Voters_;
}

void LeaseCandidate::updateRanks(TimePoint Now) {
  if (!std::exchange(AreRanksOutdated_, false))
    return;
  auto Earlier = std::exchange(Ranks_, {});
  for (std::size_t Group = 0; Group < GroupCount; ++Group)
    if (auto Own = Ranking_.rankOf(Self_, Candidates, groupKey(Group)))
      Ranks_[Group] = *Own;
  for (auto &[Service, At] : ClaimAt_) {
    auto Own = Ranks_.find(groupOf(Service));
    auto Old = Earlier.find(groupOf(Service));
    bool IsNew = Own != Ranks_.end() &&
                 (Old == Earlier.end() || Own->second < Old->second);
    if (IsNew)
      At = Now + 2 * ClaimPeriod * Own->second.value();
  }
}

std::size_t LeaseCandidate::groupOf(const ServiceName &Service) const {
  return stableHash(Service.text()) % GroupCount;
}

std::vector<MemberId>
LeaseCandidate::candidatesFor(const ServiceName &Service) const {
  return Ranking_.first(Candidates, groupKey(groupOf(Service)));
}

bool LeaseCandidate::isFirst(std::size_t Group) const {
  auto Found = Ranks_.find(Group);
  return Found != Ranks_.end() && Found->second == Rank(0);
}

void LeaseCandidate::send(const MemberId &To, LeaseMessage Message,
                          Effects &Out) const {
  Out.emplace_back(SendToMember<LeaseMessage>{To, std::move(Message)});
}

} // namespace jaybridge
