#include <LibMembership/Membership.h>

#include <algorithm>

namespace jaybridge {

Result<Membership> Membership::create(MembershipDraft Draft) {
  if (Draft.Self_.Id_.isEmpty())
    return Error{ErrorCode::Invalid, "a member needs an id", "member-id"};
  if (Draft.Self_.Domain_.isEmpty())
    return Error{ErrorCode::Invalid, "a member needs a failure domain",
                 "failure-domain"};
  if (Draft.Self_.State_ != MemberState::Alive)
    return Error{ErrorCode::Invalid, "a member starts alive", "state"};
  if (Draft.Seeds_.size() > GreatestSeeds)
    return Error{ErrorCode::Invalid, "at most 32 seeds are permitted", "seeds"};
  return Membership(std::move(Draft));
}

Membership::Membership(MembershipDraft Draft)
    : Self_(std::move(Draft.Self_)), Seeds_(std::move(Draft.Seeds_)),
      Numbers_(Draft.Seed_) {
  std::erase(Seeds_, Self_.Address_);
  enqueue(Self_);
  // Answers to the earlier run of a restarted daemon must not be counted.
  LastProbe_ = ProbeNumber(Numbers_.next() / 2);
}

void Membership::handle(const Event &Happened, TimePoint Now, Effects &Out) {
  advance(Now, Out);
  if (std::holds_alternative<LeaveRequested>(Happened)) {
    leave(Now, Out);
    return;
  }
  const auto &Got = std::get<FromMember<MembershipMessage>>(Happened);
  if (HasLeft_ || Got.From_ == Self_.Id_)
    return;
  std::visit([&](const auto &Each) { receive(Got.From_, Each, Now, Out); },
             Got.Message_);
}

void Membership::advance(TimePoint Now, Effects &Out) {
  if (HasLeft_)
    return;
  if (!HasStarted_) {
    HasStarted_ = true;
    NextProbeAt_ = Now + Duration(Numbers_.below(ProbePeriod.count()));
    NextContactAt_ = Now;
  }
  noticeFreeze(Now);
  if (LeaveUntil_) {
    if (Now >= *LeaveUntil_) {
      HasLeft_ = true;
      Out.push_back(LeaveFinished{});
    }
    return;
  }
  std::erase_if(Relays_, [&](const Relay &Each) {
    if (Each.AnswerBy_ > Now)
      return false;
    Out.push_back(SendToMember<MembershipMessage>{
        Each.Asker_,
        IndirectPingResult{Each.AskerNumber_, false, updatesFor(Each.Asker_)}});
    return true;
  });
  if (Probe_ && !Probe_->IsIndirect_ && Now >= Probe_->AnswerBy_)
    probeIndirectly(Now, Out);
  while (auto Ended = Table_.takeEndedSuspicion(Now)) {
    MemberRecord Record = *Table_.find(*Ended);
    if (++Checks_[*Ended] <= SuspicionChecks) {
      checkSuspicion(Record, Now, Out);
      continue;
    }
    Record.State_ = MemberState::Dead;
    apply(Record, Now, Out);
  }
  if (Now >= NextProbeAt_) {
    if (Probe_)
      concludeProbe(Now, Out);
    beginProbe(Now, Out);
    NextProbeAt_ = Now + stretched(ProbePeriod);
  }
  if (Now >= NextContactAt_)
    contactSeeds(Now, Out);
}

std::optional<TimePoint> Membership::nextDeadline() const {
  if (HasLeft_)
    return std::nullopt;
  if (!HasStarted_)
    return TimePoint{};
  if (LeaveUntil_)
    return LeaveUntil_;
  TimePoint Next = std::min(NextProbeAt_, NextContactAt_);
  if (Probe_ && !Probe_->IsIndirect_)
    Next = std::min(Next, Probe_->AnswerBy_);
  for (const Relay &Each : Relays_)
    Next = std::min(Next, Each.AnswerBy_);
  if (auto Suspicion = Table_.nextSuspicionEnd())
    Next = std::min(Next, *Suspicion);
  return Next;
}

// What was not heard while the daemon stood still is no evidence against
// others, so every clock that runs against a member starts again.
void Membership::noticeFreeze(TimePoint Now) {
  if (*nextDeadline() + FreezeTolerance >= Now || LeaveUntil_)
    return;
  Probe_.reset();
  Relays_.clear();
  Table_.postponeSuspicions(Now + suspicionTerm());
  penalize();
}

void Membership::beginProbe(TimePoint Now, Effects &Out) {
  auto Target = nextTarget();
  if (!Target)
    return;
  LastProbe_ = LastProbe_.next();
  Probe_ = Probe{*Target, LastProbe_, Now + stretched(AnswerTimeout)};
  MemberBucket Bucket = Table_.randomBucket(Numbers_);
  Out.push_back(SendToMember<MembershipMessage>{
      *Target, Ping{LastProbe_, Bucket, Table_.hashOf(Bucket, Self_),
                    updatesFor(*Target)}});
}

void Membership::probeIndirectly(TimePoint Now, Effects &Out) {
  Probe_->IsIndirect_ = true;
  Probe_->AnswerBy_ = Now;
  for (const MemberId &Each : randomLive(IndirectProbes, Probe_->Target_)) {
    ++Probe_->Asked_;
    Out.push_back(SendToMember<MembershipMessage>{
        Each,
        IndirectPing{Probe_->Number_, Probe_->Target_, updatesFor(Each)}});
  }
}

// When none of the asked members answered at all, the fault is nearer to this
// daemon than to the target.
void Membership::concludeProbe(TimePoint Now, Effects &Out) {
  Probe Ended = *Probe_;
  Probe_.reset();
  penalize();
  const MemberRecord *Known = Table_.find(Ended.Target_);
  bool IsSelfInDoubt = Ended.Asked_ > 0 && Ended.Answered_ == 0;
  if (IsSelfInDoubt && Penalty_ < GreatestHealthPenalty) {
    penalize();
    return;
  }
  if (!Known || Known->State_ != MemberState::Alive)
    return;
  MemberRecord Record = *Known;
  Record.State_ = MemberState::Suspect;
  apply(Record, Now, Out);
}

// The fleet together asks the suspected member about `DirectChecks` times;
// everyone else asks a random member, which corrects an outdated suspicion.
void Membership::checkSuspicion(const MemberRecord &Suspected, TimePoint Now,
                                Effects &Out) {
  Table_.suspectUntil(Suspected.Id_,
                      Now + suspicionTerm() / (SuspicionChecks + 1));
  MemberId To = Suspected.Id_;
  if (Numbers_.below(Table_.liveCount()) >= DirectChecks)
    To = randomLive(1, Suspected.Id_).front();
  MemberUpdates Updates = updatesFor(To);
  if (To != Suspected.Id_)
    Updates.insert(Updates.begin(), Suspected);
  Out.push_back(SendToMember<MembershipMessage>{
      To, Ping{ProbeNumber(), MemberBucket{}, BucketHash(), Updates}});
}

void Membership::contactSeeds(TimePoint Now, Effects &Out) {
  bool IsAlone = Table_.liveCount() == 0;
  NextContactAt_ = Now + (IsAlone ? JoinPeriod : ReunionPeriod);
  Table_.forgetDead(Now);
  std::vector<Endpoint> Absent;
  for (const Endpoint &Each : Seeds_)
    if (!Table_.hasLiveAt(Each))
      Absent.push_back(Each);
  if (!Absent.empty()) {
    const Endpoint &Seed = Absent[Numbers_.below(Absent.size())];
    Out.push_back(SendToEndpoint{Seed, MembersRequest{Self_, MemberId()}});
  }
  if (auto Dead = Table_.randomDead(Numbers_))
    Out.push_back(SendToMember<MembershipMessage>{
        *Dead,
        Ping{ProbeNumber(), MemberBucket{}, BucketHash(), updatesFor(*Dead)}});
}

void Membership::leave(TimePoint Now, Effects &Out) {
  if (HasLeft_ || LeaveUntil_)
    return;
  Self_.State_ = MemberState::Left;
  Self_.Version_ = Self_.Version_.next();
  Queue_.clear();
  Probe_.reset();
  LeaveUntil_ = Now + LeavePeriod;
  for (const MemberId &Each : randomLive(LeaveFanOut, Self_.Id_))
    Out.push_back(SendToMember<MembershipMessage>{
        Each, PingAck{ProbeNumber(), MemberUpdates{Self_}}});
}

void Membership::apply(const MemberRecord &Record, TimePoint Now,
                       Effects &Out) {
  if (Record.Id_ == Self_.Id_) {
    refute(Record);
    return;
  }
  if (Record.Id_.isEmpty())
    return;
  const MemberRecord *Earlier = Table_.find(Record.Id_);
  bool IsVisible = !Earlier || Earlier->Version_ != Record.Version_ ||
                   isLive(Earlier->State_) != isLive(Record.State_);
  if (!Table_.apply(Record, Now))
    return;
  if (Record.State_ == MemberState::Suspect)
    Table_.suspectUntil(Record.Id_,
                        Now + suspicionTerm() / (SuspicionChecks + 1));
  Checks_.erase(Record.Id_);
  enqueue(Record);
  if (IsVisible)
    Out.push_back(MemberChanged{Record});
}

void Membership::apply(const MemberUpdates &Records, TimePoint Now,
                       Effects &Out) {
  for (const MemberRecord &Each : Records)
    apply(Each, Now, Out);
}

void Membership::refute(const MemberRecord &Claim) {
  if (LeaveUntil_)
    return;
  if (!isNewer(Claim, Self_)) {
    // Someone missed the refutation.
    if (Claim.State_ != MemberState::Alive)
      enqueue(Self_);
    return;
  }
  Self_.Version_ = Claim.Version_.next();
  penalize();
  enqueue(Self_);
}

void Membership::receive(const MemberId &From, const Ping &Got, TimePoint Now,
                         Effects &Out) {
  apply(Got.Updates_, Now, Out);
  MemberUpdates Updates = updatesFor(From);
  correct(Got.Updates_, Updates);
  Out.push_back(SendToMember<MembershipMessage>{
      From, PingAck{Got.Probe_, std::move(Updates)}});
  bool IsComparable = Got.Probe_ != ProbeNumber() && Now >= NextRepairAt_;
  if (!IsComparable || Table_.hashOf(Got.Bucket_, Self_) == Got.Hash_)
    return;
  NextRepairAt_ = Now + RepairPeriod;
  Out.push_back(SendToMember<MembershipMessage>{
      From,
      BucketRecords{Got.Bucket_, false, Table_.recordsOf(Got.Bucket_, Self_)}});
}

void Membership::receive(const MemberId &From, const PingAck &Got,
                         TimePoint Now, Effects &Out) {
  apply(Got.Updates_, Now, Out);
  if (Probe_ && Probe_->Number_ == Got.Probe_ && Probe_->Target_ == From) {
    Probe_.reset();
    Penalty_ -= Penalty_ > 0 ? 1 : 0;
  }
  std::erase_if(Relays_, [&](const Relay &Each) {
    if (Each.Number_ != Got.Probe_)
      return false;
    Out.push_back(SendToMember<MembershipMessage>{
        Each.Asker_,
        IndirectPingResult{Each.AskerNumber_, true, updatesFor(Each.Asker_)}});
    return true;
  });
}

void Membership::receive(const MemberId &From, const IndirectPing &Got,
                         TimePoint Now, Effects &Out) {
  apply(Got.Updates_, Now, Out);
  if (Relays_.size() >= GreatestRelays || Got.Target_ == Self_.Id_)
    return;
  LastProbe_ = LastProbe_.next();
  Relays_.push_back({From, Got.Probe_, LastProbe_, Now + AnswerTimeout});
  MemberBucket Bucket = Table_.randomBucket(Numbers_);
  Out.push_back(SendToMember<MembershipMessage>{
      Got.Target_, Ping{LastProbe_, Bucket, Table_.hashOf(Bucket, Self_),
                        updatesFor(Got.Target_)}});
}

void Membership::receive(const MemberId &, const IndirectPingResult &Got,
                         TimePoint Now, Effects &Out) {
  apply(Got.Updates_, Now, Out);
  if (!Probe_ || Probe_->Number_ != Got.Probe_)
    return;
  if (Got.IsReached_)
    Probe_.reset();
  else
    ++Probe_->Answered_;
}

void Membership::receive(const MemberId &From, const MembersRequest &Got,
                         TimePoint Now, Effects &Out) {
  if (Got.Self_.Id_ != From)
    return;
  apply(Got.Self_, Now, Out);
  MembersPage Page;
  Page.Records_ = Table_.recordsAfter(Got.After_, PageSize, Page.IsLast_);
  if (Got.After_.isEmpty())
    Page.Records_.push_back(Self_);
  Out.push_back(SendToMember<MembershipMessage>{From, std::move(Page)});
}

void Membership::receive(const MemberId &From, const MembersPage &Got,
                         TimePoint Now, Effects &Out) {
  apply(Got.Records_, Now, Out);
  if (Got.IsLast_ || Got.Records_.empty())
    return;
  // The sender's own record ends the first page and is out of order.
  std::size_t Last = Got.Records_.size() - 1;
  if (Got.Records_[Last].Id_ == From && Last > 0)
    --Last;
  Out.push_back(SendToMember<MembershipMessage>{
      From, MembersRequest{Self_, Got.Records_[Last].Id_}});
}

void Membership::receive(const MemberId &From, const BucketRecords &Got,
                         TimePoint Now, Effects &Out) {
  MemberUpdates Better;
  if (!Got.IsAnswer_)
    for (MemberRecord &Mine : Table_.recordsOf(Got.Bucket_, Self_)) {
      auto IsSame = [&](const MemberRecord &R) { return R.Id_ == Mine.Id_; };
      auto Theirs =
          std::find_if(Got.Records_.begin(), Got.Records_.end(), IsSame);
      if (Theirs == Got.Records_.end() || isNewer(Mine, *Theirs))
        Better.push_back(std::move(Mine));
    }
  apply(Got.Records_, Now, Out);
  if (!Better.empty())
    Out.push_back(SendToMember<MembershipMessage>{
        From, BucketRecords{Got.Bucket_, true, std::move(Better)}});
}

void Membership::enqueue(const MemberRecord &Record) {
  std::erase_if(Queue_, [&](const Queued &Each) {
    return Each.Record_.Id_ == Record.Id_;
  });
  if (Queue_.size() >= GreatestQueue)
    Queue_.pop_back();
  Queue_.insert(Queue_.begin(), Queued{Record});
}

MemberUpdates Membership::updatesFor(const MemberId &To) {
  MemberUpdates Updates;
  const MemberRecord *Known = Table_.find(To);
  if (Known && Known->State_ != MemberState::Alive)
    Updates.push_back(*Known);
  std::size_t Limit = TransmissionFactor * fleetFactor();
  std::size_t Taken = std::min(Queue_.size(), GreatestPiggyback);
  for (std::size_t I = 0; I < Taken; ++I) {
    ++Queue_[I].Sent_;
    Updates.push_back(Queue_[I].Record_);
  }
  std::erase_if(Queue_, [&](const Queued &E) { return E.Sent_ >= Limit; });
  std::stable_sort(
      Queue_.begin(), Queue_.end(),
      [](const Queued &A, const Queued &B) { return A.Sent_ < B.Sent_; });
  return Updates;
}

// A refutation that a member missed reaches it from any member that it tells
// of the suspicion.
void Membership::correct(const MemberUpdates &Claims,
                         MemberUpdates &Answer) const {
  std::size_t Limit = Answer.size() + GreatestPiggyback;
  for (const MemberRecord &Claim : Claims) {
    bool IsOwn = Claim.Id_ == Self_.Id_;
    const MemberRecord *Known = IsOwn ? &Self_ : Table_.find(Claim.Id_);
    if (Known && isNewer(*Known, Claim) && Answer.size() < Limit)
      Answer.push_back(*Known);
  }
}

std::vector<MemberId> Membership::randomLive(std::size_t Count,
                                             const MemberId &Except) {
  std::vector<MemberId> Chosen;
  std::vector<MemberId> Order = Table_.shuffledLive(Numbers_);
  for (MemberId &Each : Order)
    if (Chosen.size() < Count && Each != Except)
      Chosen.push_back(std::move(Each));
  return Chosen;
}

std::optional<MemberId> Membership::nextTarget() {
  for (int Round = 0; Round < 2; ++Round) {
    while (!ProbeOrder_.empty()) {
      MemberId Id = std::move(ProbeOrder_.back());
      ProbeOrder_.pop_back();
      const MemberRecord *Known = Table_.find(Id);
      if (Known && isLive(Known->State_))
        return Id;
    }
    ProbeOrder_ = Table_.shuffledLive(Numbers_);
  }
  return std::nullopt;
}

std::size_t Membership::fleetFactor() const {
  std::size_t Factor = 2;
  for (std::size_t Size = Table_.liveCount() + 1; Size >= 100; Size /= 10)
    ++Factor;
  return Factor;
}

Duration Membership::suspicionTerm() const {
  return ProbePeriod * (SuspicionFactor * fleetFactor());
}

Duration Membership::stretched(Duration Base) const {
  return Base * (1 + Penalty_);
}

void Membership::penalize() {
  Penalty_ = std::min(Penalty_ + 1, GreatestHealthPenalty);
}

} // namespace jaybridge
