#include <LibMembership/Membership.h>

#include <algorithm>

namespace jaybridge {

Result<Membership> Membership::create(MembershipSettings Settings) {
  if (Settings.Self_.Id_.isEmpty())
    return Error{ErrorCode::Invalid, "a member needs an id", "member-id"};
  if (Settings.Self_.Domain_.isEmpty())
    return Error{ErrorCode::Invalid, "a member needs a failure domain",
                 "failure-domain"};
  if (Settings.Self_.State_ != MemberState::Alive)
    return Error{ErrorCode::Invalid,
                 "the initial state of a member must be alive", "state"};
  if (Settings.Seeds_.size() > MaxSeeds)
    return Error{ErrorCode::Invalid, "at most 32 seeds are permitted", "seeds"};
  return Membership(std::move(Settings));
}

Membership::Membership(MembershipSettings Settings)
    : Self_(std::move(Settings.Self_)), Seeds_(std::move(Settings.Seeds_)),
      Random_(Settings.Seed_) {
  std::erase(Seeds_, Self_.Address_);
  enqueue(Self_);
  // A random first number, so that acknowledgments of probes from before a
  // restart are not counted.
  LastProbeNumber_ = ProbeNumber(Random_.next() / 2);
}

void Membership::handle(const Event &Incoming, TimePoint Now, Effects &Out) {
  advance(Now, Out);
  if (std::holds_alternative<LeaveRequested>(Incoming)) {
    leave(Now, Out);
    return;
  }
  const auto &Received = std::get<FromMember<MembershipMessage>>(Incoming);
  if (HasLeft_ || Received.From_ == Self_.Id_)
    return;
  std::visit(
      [&](const auto &Message) { receive(Received.From_, Message, Now, Out); },
      Received.Message_);
}

void Membership::advance(TimePoint Now, Effects &Out) {
  if (HasLeft_)
    return;
  if (!HasStarted_) {
    HasStarted_ = true;
    NextProbeAt_ = Now + Duration(Random_.below(ProbeInterval.count()));
    NextContactAt_ = Now;
  }
  handleProcessPause(Now);
  if (LeaveDeadline_) {
    if (Now >= *LeaveDeadline_) {
      HasLeft_ = true;
      Out.push_back(LeaveFinished{});
    }
    return;
  }
  std::erase_if(Relays_, [&](const Relay &Pending) {
    if (Pending.AckDeadline_ > Now)
      return false;
    Out.push_back(SendToMember<MembershipMessage>{
        Pending.Requester_,
        IndirectPingResult{Pending.RequesterProbe_, false,
                           updatesFor(Pending.Requester_)}});
    return true;
  });
  if (Probe_ && !Probe_->IsIndirect_ && Now >= Probe_->AckDeadline_)
    probeIndirectly(Now, Out);
  while (auto Suspected = Table_.takeExpiredSuspicion(Now)) {
    MemberRecord Record = *Table_.find(*Suspected);
    if (++CheckCounts_[*Suspected] <= SuspicionCheckCount) {
      checkSuspicion(Record, Now, Out);
      continue;
    }
    Record.State_ = MemberState::Dead;
    apply(Record, Now, Out);
  }
  if (Now >= NextProbeAt_) {
    if (Probe_)
      finishProbe(Now, Out);
    startProbe(Now, Out);
    NextProbeAt_ = Now + scaledByHealth(ProbeInterval);
  }
  if (Now >= NextContactAt_)
    contactSeeds(Now, Out);
}

std::optional<TimePoint> Membership::nextDeadline() const {
  if (HasLeft_)
    return std::nullopt;
  if (!HasStarted_)
    return TimePoint{};
  if (LeaveDeadline_)
    return LeaveDeadline_;
  TimePoint Next = std::min(NextProbeAt_, NextContactAt_);
  if (Probe_ && !Probe_->IsIndirect_)
    Next = std::min(Next, Probe_->AckDeadline_);
  for (const Relay &Pending : Relays_)
    Next = std::min(Next, Pending.AckDeadline_);
  if (auto Suspicion = Table_.nextSuspicionDeadline())
    Next = std::min(Next, *Suspicion);
  return Next;
}

// Messages that did not arrive while the daemon was paused are no evidence
// against other members, so all their timeouts start again.
void Membership::handleProcessPause(TimePoint Now) {
  if (*nextDeadline() + PauseTolerance >= Now || LeaveDeadline_)
    return;
  Probe_.reset();
  Relays_.clear();
  Table_.postponeSuspicions(Now + suspicionTimeout());
  increaseHealthPenalty();
}

void Membership::startProbe(TimePoint Now, Effects &Out) {
  auto Target = nextProbeTarget();
  if (!Target)
    return;
  LastProbeNumber_ = LastProbeNumber_.next();
  Probe_ = Probe{*Target, LastProbeNumber_, Now + scaledByHealth(AckTimeout)};
  MemberBucket Bucket = Table_.randomBucket(Random_);
  Out.push_back(SendToMember<MembershipMessage>{
      *Target, Ping{LastProbeNumber_, Bucket, Table_.bucketHash(Bucket, Self_),
                    updatesFor(*Target)}});
}

void Membership::probeIndirectly(TimePoint Now, Effects &Out) {
  Probe_->IsIndirect_ = true;
  Probe_->AckDeadline_ = Now;
  for (const MemberId &Helper :
       randomLiveMembers(IndirectProbeCount, Probe_->Target_)) {
    ++Probe_->RequestCount_;
    Out.push_back(SendToMember<MembershipMessage>{
        Helper,
        IndirectPing{Probe_->Number_, Probe_->Target_, updatesFor(Helper)}});
  }
}

// When none of the members asked for an indirect probe replied, the fault is
// more likely at this daemon than at the target.
void Membership::finishProbe(TimePoint Now, Effects &Out) {
  Probe Failed = *Probe_;
  Probe_.reset();
  increaseHealthPenalty();
  const MemberRecord *Known = Table_.find(Failed.Target_);
  bool IsFaultLikelyLocal =
      Failed.RequestCount_ > 0 && Failed.FailureCount_ == 0;
  if (IsFaultLikelyLocal && HealthPenalty_ < MaxHealthPenalty) {
    increaseHealthPenalty();
    return;
  }
  if (!Known || Known->State_ != MemberState::Alive)
    return;
  MemberRecord Record = *Known;
  Record.State_ = MemberState::Suspect;
  apply(Record, Now, Out);
}

// About `ExpectedDirectCheckCount` members of the fleet ping the suspected
// member itself. The others ping a random member, which corrects an outdated
// suspicion.
void Membership::checkSuspicion(const MemberRecord &Suspected, TimePoint Now,
                                Effects &Out) {
  Table_.setSuspicionDeadline(
      Suspected.Id_, Now + suspicionTimeout() / (SuspicionCheckCount + 1));
  MemberId To = Suspected.Id_;
  if (Random_.below(Table_.liveCount()) >= ExpectedDirectCheckCount)
    To = randomLiveMembers(1, Suspected.Id_).front();
  MemberUpdates Updates = updatesFor(To);
  if (To != Suspected.Id_)
    Updates.insert(Updates.begin(), Suspected);
  Out.push_back(SendToMember<MembershipMessage>{
      To, Ping{ProbeNumber(), MemberBucket{}, BucketHash(), Updates}});
}

void Membership::contactSeeds(TimePoint Now, Effects &Out) {
  bool HasNoLiveMember = Table_.liveCount() == 0;
  NextContactAt_ = Now + (HasNoLiveMember ? JoinInterval : ReconnectInterval);
  Table_.removeExpiredRecords(Now);
  std::vector<Endpoint> AbsentSeeds;
  for (const Endpoint &Seed : Seeds_)
    if (!Table_.hasLiveMemberAt(Seed))
      AbsentSeeds.push_back(Seed);
  if (!AbsentSeeds.empty()) {
    const Endpoint &Seed = AbsentSeeds[Random_.below(AbsentSeeds.size())];
    Out.push_back(SendToEndpoint{Seed, MembersRequest{Self_, MemberId()}});
  }
  if (auto Dead = Table_.randomDeadMember(Random_))
    Out.push_back(SendToMember<MembershipMessage>{
        *Dead,
        Ping{ProbeNumber(), MemberBucket{}, BucketHash(), updatesFor(*Dead)}});
}

void Membership::leave(TimePoint Now, Effects &Out) {
  if (HasLeft_ || LeaveDeadline_)
    return;
  Self_.State_ = MemberState::Left;
  Self_.Incarnation_ = Self_.Incarnation_.next();
  UpdateQueue_.clear();
  Probe_.reset();
  LeaveDeadline_ = Now + LeaveDuration;
  for (const MemberId &Peer : randomLiveMembers(LeaveFanout, Self_.Id_))
    Out.push_back(SendToMember<MembershipMessage>{
        Peer, PingAck{ProbeNumber(), MemberUpdates{Self_}}});
}

void Membership::apply(const MemberRecord &Record, TimePoint Now,
                       Effects &Out) {
  if (Record.Id_ == Self_.Id_) {
    refute(Record);
    return;
  }
  if (Record.Id_.isEmpty())
    return;
  const MemberRecord *Known = Table_.find(Record.Id_);
  bool IsReported = !Known || Known->Incarnation_ != Record.Incarnation_ ||
                    isLive(Known->State_) != isLive(Record.State_);
  if (!Table_.apply(Record, Now))
    return;
  if (Record.State_ == MemberState::Suspect)
    Table_.setSuspicionDeadline(
        Record.Id_, Now + suspicionTimeout() / (SuspicionCheckCount + 1));
  CheckCounts_.erase(Record.Id_);
  enqueue(Record);
  if (IsReported)
    Out.push_back(MemberChanged{Record});
}

void Membership::apply(const MemberUpdates &Records, TimePoint Now,
                       Effects &Out) {
  for (const MemberRecord &Record : Records)
    apply(Record, Now, Out);
}

void Membership::refute(const MemberRecord &Received) {
  if (LeaveDeadline_)
    return;
  if (!isNewer(Received, Self_)) {
    // The sender missed the earlier refutation.
    if (Received.State_ != MemberState::Alive)
      enqueue(Self_);
    return;
  }
  Self_.Incarnation_ = Received.Incarnation_.next();
  increaseHealthPenalty();
  enqueue(Self_);
}

void Membership::receive(const MemberId &From, const Ping &Message,
                         TimePoint Now, Effects &Out) {
  apply(Message.Updates_, Now, Out);
  MemberUpdates Updates = updatesFor(From);
  appendCorrections(Message.Updates_, Updates);
  Out.push_back(SendToMember<MembershipMessage>{
      From, PingAck{Message.Probe_, std::move(Updates)}});
  bool IsRepairDue = Message.Probe_ != ProbeNumber() && Now >= NextRepairAt_;
  if (!IsRepairDue ||
      Table_.bucketHash(Message.Bucket_, Self_) == Message.Hash_)
    return;
  NextRepairAt_ = Now + MinRepairInterval;
  Out.push_back(SendToMember<MembershipMessage>{
      From, BucketRecords{Message.Bucket_, false,
                          Table_.bucketRecords(Message.Bucket_, Self_)}});
}

void Membership::receive(const MemberId &From, const PingAck &Message,
                         TimePoint Now, Effects &Out) {
  apply(Message.Updates_, Now, Out);
  if (Probe_ && Probe_->Number_ == Message.Probe_ && Probe_->Target_ == From) {
    Probe_.reset();
    HealthPenalty_ -= HealthPenalty_ > 0 ? 1 : 0;
  }
  std::erase_if(Relays_, [&](const Relay &Pending) {
    if (Pending.Number_ != Message.Probe_)
      return false;
    Out.push_back(SendToMember<MembershipMessage>{
        Pending.Requester_,
        IndirectPingResult{Pending.RequesterProbe_, true,
                           updatesFor(Pending.Requester_)}});
    return true;
  });
}

void Membership::receive(const MemberId &From, const IndirectPing &Message,
                         TimePoint Now, Effects &Out) {
  apply(Message.Updates_, Now, Out);
  if (Relays_.size() >= MaxRelays || Message.Target_ == Self_.Id_)
    return;
  LastProbeNumber_ = LastProbeNumber_.next();
  Relays_.push_back({From, Message.Probe_, LastProbeNumber_, Now + AckTimeout});
  MemberBucket Bucket = Table_.randomBucket(Random_);
  Out.push_back(SendToMember<MembershipMessage>{
      Message.Target_,
      Ping{LastProbeNumber_, Bucket, Table_.bucketHash(Bucket, Self_),
           updatesFor(Message.Target_)}});
}

void Membership::receive(const MemberId &, const IndirectPingResult &Message,
                         TimePoint Now, Effects &Out) {
  apply(Message.Updates_, Now, Out);
  if (!Probe_ || Probe_->Number_ != Message.Probe_)
    return;
  if (Message.IsReached_)
    Probe_.reset();
  else
    ++Probe_->FailureCount_;
}

void Membership::receive(const MemberId &From, const MembersRequest &Message,
                         TimePoint Now, Effects &Out) {
  if (Message.Self_.Id_ != From)
    return;
  apply(Message.Self_, Now, Out);
  MembersPage Page;
  Page.Records_ =
      Table_.recordsAfter(Message.After_, MembersPerPage, Page.IsLast_);
  if (Message.After_.isEmpty())
    Page.Records_.push_back(Self_);
  Out.push_back(SendToMember<MembershipMessage>{From, std::move(Page)});
}

void Membership::receive(const MemberId &From, const MembersPage &Message,
                         TimePoint Now, Effects &Out) {
  apply(Message.Records_, Now, Out);
  if (Message.IsLast_ || Message.Records_.empty())
    return;
  // The first page ends with the record of its sender, which is not in order.
  std::size_t Last = Message.Records_.size() - 1;
  if (Message.Records_[Last].Id_ == From && Last > 0)
    --Last;
  Out.push_back(SendToMember<MembershipMessage>{
      From, MembersRequest{Self_, Message.Records_[Last].Id_}});
}

void Membership::receive(const MemberId &From, const BucketRecords &Message,
                         TimePoint Now, Effects &Out) {
  MemberUpdates NewerRecords;
  if (!Message.IsAnswer_)
    for (MemberRecord &Own : Table_.bucketRecords(Message.Bucket_, Self_)) {
      auto IsSameMember = [&](const MemberRecord &R) {
        return R.Id_ == Own.Id_;
      };
      auto Received = std::find_if(Message.Records_.begin(),
                                   Message.Records_.end(), IsSameMember);
      if (Received == Message.Records_.end() || isNewer(Own, *Received))
        NewerRecords.push_back(std::move(Own));
    }
  apply(Message.Records_, Now, Out);
  if (!NewerRecords.empty())
    Out.push_back(SendToMember<MembershipMessage>{
        From, BucketRecords{Message.Bucket_, true, std::move(NewerRecords)}});
}

void Membership::enqueue(const MemberRecord &Record) {
  std::erase_if(UpdateQueue_, [&](const QueuedUpdate &Update) {
    return Update.Record_.Id_ == Record.Id_;
  });
  if (UpdateQueue_.size() >= MaxQueuedUpdates)
    UpdateQueue_.pop_back();
  UpdateQueue_.insert(UpdateQueue_.begin(), QueuedUpdate{Record});
}

MemberUpdates Membership::updatesFor(const MemberId &To) {
  MemberUpdates Updates;
  const MemberRecord *Known = Table_.find(To);
  if (Known && Known->State_ != MemberState::Alive)
    Updates.push_back(*Known);
  std::size_t Limit = RetransmitMultiplier * fleetSizeDigits();
  std::size_t UpdateCount =
      std::min(UpdateQueue_.size(), MaxPiggybackedUpdates);
  for (std::size_t I = 0; I < UpdateCount; ++I) {
    ++UpdateQueue_[I].SendCount_;
    Updates.push_back(UpdateQueue_[I].Record_);
  }
  std::erase_if(UpdateQueue_, [&](const QueuedUpdate &Update) {
    return Update.SendCount_ >= Limit;
  });
  std::stable_sort(UpdateQueue_.begin(), UpdateQueue_.end(),
                   [](const QueuedUpdate &A, const QueuedUpdate &B) {
                     return A.SendCount_ < B.SendCount_;
                   });
  return Updates;
}

// Replies with newer records to outdated ones. A member that missed a
// refutation thus receives it from any member to which it reports the
// suspicion.
void Membership::appendCorrections(const MemberUpdates &Received,
                                   MemberUpdates &Reply) const {
  std::size_t Limit = Reply.size() + MaxPiggybackedUpdates;
  for (const MemberRecord &Record : Received) {
    bool IsOwn = Record.Id_ == Self_.Id_;
    const MemberRecord *Known = IsOwn ? &Self_ : Table_.find(Record.Id_);
    if (Known && isNewer(*Known, Record) && Reply.size() < Limit)
      Reply.push_back(*Known);
  }
}

std::vector<MemberId> Membership::randomLiveMembers(std::size_t Count,
                                                    const MemberId &Excluded) {
  std::vector<MemberId> Chosen;
  std::vector<MemberId> Shuffled = Table_.shuffledLiveMembers(Random_);
  for (MemberId &Id : Shuffled)
    if (Chosen.size() < Count && Id != Excluded)
      Chosen.push_back(std::move(Id));
  return Chosen;
}

std::optional<MemberId> Membership::nextProbeTarget() {
  for (int Round = 0; Round < 2; ++Round) {
    while (!ProbeOrder_.empty()) {
      MemberId Id = std::move(ProbeOrder_.back());
      ProbeOrder_.pop_back();
      const MemberRecord *Known = Table_.find(Id);
      if (Known && isLive(Known->State_))
        return Id;
    }
    ProbeOrder_ = Table_.shuffledLiveMembers(Random_);
  }
  return std::nullopt;
}

std::size_t Membership::fleetSizeDigits() const {
  std::size_t Digits = 2;
  for (std::size_t Size = Table_.liveCount() + 1; Size >= 100; Size /= 10)
    ++Digits;
  return Digits;
}

Duration Membership::suspicionTimeout() const {
  return ProbeInterval * (SuspicionMultiplier * fleetSizeDigits());
}

Duration Membership::scaledByHealth(Duration Base) const {
  return Base * (1 + HealthPenalty_);
}

void Membership::increaseHealthPenalty() {
  HealthPenalty_ = std::min(HealthPenalty_ + 1, MaxHealthPenalty);
}

} // namespace jaybridge
