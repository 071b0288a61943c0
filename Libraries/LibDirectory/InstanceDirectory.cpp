#include <LibDirectory/InstanceDirectory.h>

#include <algorithm>

namespace jaybridge {

Result<InstanceDirectory>
InstanceDirectory::create(InstanceDirectorySettings Draft) {
  if (Draft.Self_.isEmpty())
    return Error{ErrorCode::Invalid, "a member needs an id", "member-id"};
  JAYBRIDGE_TRY(auto Homes, ServiceHomes::create(Draft.HomesPerFailureDomain_));
  return InstanceDirectory(std::move(Draft), std::move(Homes));
}

InstanceDirectory::InstanceDirectory(InstanceDirectorySettings Draft,
                                     ServiceHomes Homes)
    : Self_(std::move(Draft.Self_)), Domain_(std::move(Draft.Domain_)),
      Random_(Draft.Seed_), Homes_(std::move(Homes)) {
  Registrars_.add(Self_);
  MemberRecord Own;
  Own.Id_ = Self_;
  Own.Domain_ = Domain_;
  Homes_.apply(Own);
  // Answers to the earlier run of a restarted daemon must not be counted.
  Round_ = DigestRound(Random_.next() / 2);
}

void InstanceDirectory::handle(const Event &Received, TimePoint Now,
                               Effects &Out) {
  advance(Now, Out);
  std::visit(Overloaded{[&](const FromMember<DirectoryMessage> &Got) {
                          auto Receive = [&](const auto &Each) {
                            receive(Got.From_, Each, Now, Out);
                          };
                          std::visit(Receive, Got.Message_);
                        },
                        [&](const InstanceAnnounced &Each) {
                          announce(Each.Record_, Now, Out);
                        },
                        [&](const InstanceLoadReported &Each) {
                          forwardLoadReport(Each.Report_, Out);
                        },
                        [&](const MemberChanged &Each) {
                          updateMember(Each.Record_, Now);
                        }},
             Received);
}

void InstanceDirectory::advance(TimePoint Now, Effects &Out) {
  if (!HasStarted_) {
    HasStarted_ = true;
    NextDigestAt_ = Now + Duration(Random_.below(DigestInterval.count()));
  } else if (*nextDeadline() + FreezeTolerance < Now) {
    // Renewals that arrived while the daemon stood still are not lost yet.
    Leases_.extendAll(Now);
  }
  updateConfirmation(Now, Out);
  if (NextRumorAt_ && Now >= *NextRumorAt_)
    sendRumors(Now, Out);
  if (PageDeadline_ && Now >= *PageDeadline_)
    requestPage(Now, Out);
  if (Now < NextDigestAt_)
    return;
  NextDigestAt_ = Now + DigestInterval;
  updateLeaseOwnership(Now);
  checkLeases(Now, Out);
  sendRenewals(Out);
  Table_.expire(Now);
  sendDigest(Now, Out);
}

std::optional<TimePoint> InstanceDirectory::nextDeadline() const {
  if (!HasStarted_)
    return TimePoint{};
  TimePoint Next = NextDigestAt_;
  if (NextRumorAt_)
    Next = std::min(Next, *NextRumorAt_);
  if (PageDeadline_)
    Next = std::min(Next, *PageDeadline_);
  if (IsConfirmed_)
    Next = std::min(Next, *ConfirmedAt_ + ConfirmationTimeout);
  return Next;
}

bool InstanceDirectory::apply(const InstanceRecord &Record, RecordOrigin From,
                              TimePoint Now, Effects &Out) {
  RecordKey Key = keyOf(Record.Id_);
  bool WasKnown = Table_.find(Key) != nullptr;
  // A tombstone of an instance that was never known here needs no effect.
  bool IsVisible = WasKnown || isPresent(Record.State_);
  if (Record.Id_.isEmpty() || !Table_.apply(Record, Now))
    return false;
  // A lapse that this registrar knows to be wrong is taken back.
  if (Record.State_ == InstanceState::Lapsed && Leases_.isHeld(Key, Now)) {
    InstanceRecord Revived = Record;
    Revived.State_ = InstanceState::Serving;
    Revived.Version_ = Record.Version_.next();
    return apply(Revived, RecordOrigin::Rumor, Now, Out);
  }
  if (!isPresent(Record.State_))
    Leases_.end(Key);
  else if (Registrars_.isRegistrar(Self_, RecordTable::leafOf(Key)))
    Leases_.begin(Key, Now);
  if (IsVisible)
    Out.emplace_back(InstanceUpdated{Record});
  if (From == RecordOrigin::InitialLoad)
    return true;
  RecentChanges_.emplace_back(Now, Key);
  while (RecentChanges_.size() > MaxRecentChanges)
    RecentChanges_.pop_front();
  if (From == RecordOrigin::Rumor && RumorKeys_.size() < MaxQueuedRumors) {
    RumorKeys_.insert(Key);
    NextRumorAt_ = NextRumorAt_.value_or(Now + RumorDelay);
  }
  return true;
}

void InstanceDirectory::announce(const InstanceRecord &Record, TimePoint Now,
                                 Effects &Out) {
  RecordKey Key = keyOf(Record.Id_);
  InstanceRecord New = Record;
  const InstanceRecord *Known = Table_.find(Key);
  // The instance is alive, whatever its registrars concluded.
  if (Known && Known->State_ == InstanceState::Lapsed &&
      Record.State_ == InstanceState::Serving &&
      Record.Version_ <= Known->Version_)
    New.Version_ = Known->Version_.next();
  apply(New, RecordOrigin::Rumor, Now, Out);
  Known = Table_.find(Key);
  if (!Known) {
    Out.emplace_back(
        AnnouncementAnswered{Record.Id_, false, {}, Record.State_});
    return;
  }
  bool IsAccepted = Known->Id_ == Record.Id_ && Known->State_ == Record.State_;
  if (IsAccepted && isPresent(Known->State_))
    renew(Key, Now);
  Out.emplace_back(AnnouncementAnswered{Record.Id_, IsAccepted, Known->Version_,
                                        Known->State_});
}

void InstanceDirectory::renew(RecordKey Key, TimePoint Now) {
  for (MemberId &Each : Registrars_.registrarsOf(RecordTable::leafOf(Key))) {
    if (Each == Self_)
      Leases_.renew(Key, Now);
    else if (RenewalCount_ < MaxQueuedRenewals)
      RenewalCount_ += Renewals_[std::move(Each)].insert(Key).second ? 1 : 0;
  }
}

void InstanceDirectory::markLapsed(RecordKey Key, TimePoint Now, Effects &Out) {
  const InstanceRecord *Known = Table_.find(Key);
  Leases_.end(Key);
  if (!Known || !isPresent(Known->State_))
    return;
  InstanceRecord Record = *Known;
  Record.State_ = InstanceState::Lapsed;
  apply(Record, RecordOrigin::Rumor, Now, Out);
}

// A registrar that no peer confirms may be the one that is cut off, and lapses
// nothing.
void InstanceDirectory::checkLeases(TimePoint Now, Effects &Out) {
  if (HasHadPeers_ && !IsConfirmed_)
    Leases_.extendAll(Now);
  for (const auto &[Key, Step] : Leases_.takeExpired(Now)) {
    std::vector<MemberId> RankedRegistrars =
        Registrars_.registrarsOf(RecordTable::leafOf(Key));
    std::erase(RankedRegistrars, Self_);
    if (Step == ExpiredLeaseAction::Lapse || RankedRegistrars.empty())
      markLapsed(Key, Now, Out);
    else
      send(RankedRegistrars.front(), LeaseStatusRequest{Key}, Out);
  }
}

void InstanceDirectory::updateLeaseOwnership(TimePoint Now) {
  for (LeafIndex Leaf : Registrars_.takeChangedLeaves()) {
    bool IsMine = Registrars_.isRegistrar(Self_, Leaf);
    for (RecordKey Key : Table_.presentKeysOf(Leaf)) {
      if (!IsMine)
        Leases_.end(Key);
      else if (!Leases_.has(Key))
        Leases_.begin(Key, Now);
    }
  }
}

void InstanceDirectory::forwardLoadReport(const LoadReport &Hint, Effects &Out) {
  const InstanceRecord *Known = Table_.find(keyOf(Hint.Instance_));
  std::vector<MemberId> Homes =
      Homes_.homesFor(Hint.Service_, Known ? Known->Domain_ : Domain_);
  for (MemberId &Each : Homes_.homesFor(Hint.Service_))
    if (std::find(Homes.begin(), Homes.end(), Each) == Homes.end())
      Homes.push_back(std::move(Each));
  if (Homes.size() > MaxLoadReportCopies)
    Homes.resize(MaxLoadReportCopies);
  for (const MemberId &Each : Homes) {
    if (Each == Self_)
      Out.emplace_back(LoadReportReceived{Hint});
    else
      send(Each, Hint, Out);
  }
}

void InstanceDirectory::updateMember(const MemberRecord &Record,
                                     TimePoint Now) {
  if (Record.Id_ == Self_)
    return;
  Homes_.apply(Record);
  auto Position = std::lower_bound(Peers_.begin(), Peers_.end(), Record.Id_);
  bool IsKnown = Position != Peers_.end() && *Position == Record.Id_;
  if (isLive(Record.State_) == IsKnown)
    return;
  if (IsKnown) {
    Peers_.erase(Position);
    Registrars_.remove(Record.Id_);
    return;
  }
  Peers_.insert(Position, Record.Id_);
  Registrars_.add(Record.Id_);
  HasHadPeers_ = true;
  if (!IsLoaded_ && !PageDeadline_)
    PageDeadline_ = Now;
}

void InstanceDirectory::sendDigest(TimePoint Now, Effects &Out) {
  while (!RecentChanges_.empty() &&
         RecentChanges_.front().first + RecentChangeDuration <= Now)
    RecentChanges_.pop_front();
  auto Peer = randomPeer();
  if (!Peer)
    return;
  Round_ = Round_.next();
  RoundSentAt_ = Now;
  send(*Peer, DirectoryDigest{Round_, Table_.rootDigest(), recentKeyDigests()}, Out);
}

void InstanceDirectory::sendRumors(TimePoint Now, Effects &Out) {
  NextRumorAt_.reset();
  RecordExchange Exchange;
  Exchange.IsRumor_ = true;
  while (!RumorKeys_.empty() && Exchange.Records_.size() < RecordsPerMessage) {
    if (const InstanceRecord *Known = Table_.find(*RumorKeys_.begin()))
      Exchange.Records_.push_back(*Known);
    RumorKeys_.erase(RumorKeys_.begin());
  }
  std::set<MemberId> Receivers;
  for (std::size_t I = 0; I < RumorFanout; ++I)
    if (auto Peer = randomPeer())
      Receivers.insert(*Peer);
  for (const MemberId &Each : Receivers)
    send(Each, Exchange, Out);
  if (!RumorKeys_.empty())
    NextRumorAt_ = Now + RumorDelay;
}

void InstanceDirectory::sendRenewals(Effects &Out) {
  for (auto &[To, Keys] : Renewals_)
    send(To, LeaseRenewals{{Keys.begin(), Keys.end()}}, Out);
  Renewals_.clear();
  RenewalCount_ = 0;
}

void InstanceDirectory::requestPage(TimePoint Now, Effects &Out) {
  PageDeadline_.reset();
  auto Peer = randomPeer();
  if (IsLoaded_ || !Peer)
    return;
  PageDeadline_ = Now + PageTimeout;
  send(*Peer, RecordsRequest{LastLoadedKey_}, Out);
}

void InstanceDirectory::updateConfirmation(TimePoint Now, Effects &Out) {
  bool IsConfirmed =
      IsLoaded_ && ConfirmedAt_ && *ConfirmedAt_ + ConfirmationTimeout > Now;
  if (IsConfirmed != IsConfirmed_)
    Out.emplace_back(ConfirmationChanged{IsConfirmed});
  IsConfirmed_ = IsConfirmed;
}

std::vector<KeyDigest> InstanceDirectory::recentKeyDigests() const {
  std::set<RecordKey> Keys;
  for (const auto &[At, Key] : RecentChanges_)
    Keys.insert(Key);
  std::vector<KeyDigest> Marks;
  Marks.reserve(Keys.size());
  for (RecordKey Key : Keys)
    Marks.push_back({Key, Table_.digestOf(Key)});
  return Marks;
}

std::optional<MemberId> InstanceDirectory::randomPeer() {
  if (Peers_.empty())
    return std::nullopt;
  return Peers_[Random_.below(Peers_.size())];
}

void InstanceDirectory::send(const MemberId &To, DirectoryMessage Message,
                             Effects &Out) const {
  Out.emplace_back(SendToMember<DirectoryMessage>{To, std::move(Message)});
}

} // namespace jaybridge
