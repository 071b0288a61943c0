#include <LibDirectory/InstanceDirectory.h>

#include <algorithm>

namespace jaybridge {

Result<InstanceDirectory>
InstanceDirectory::create(InstanceDirectorySettings Settings) {
  if (Settings.Self_.isEmpty())
    return Error{ErrorCode::Invalid, "a member needs an id", "member-id"};
  JAYBRIDGE_TRY(auto Homes,
                ServiceHomes::create(Settings.HomesPerFailureDomain_));
  return InstanceDirectory(std::move(Settings), std::move(Homes));
}

InstanceDirectory::InstanceDirectory(InstanceDirectorySettings Settings,
                                     ServiceHomes Homes)
    : Self_(std::move(Settings.Self_)), Domain_(std::move(Settings.Domain_)),
      Random_(Settings.Seed_), Homes_(std::move(Homes)) {
  Registrars_.add(Self_);
  MemberRecord SelfRecord;
  SelfRecord.Id_ = Self_;
  SelfRecord.Domain_ = Domain_;
  Homes_.apply(SelfRecord);
  // A random start, so that responses to digests of an earlier run of this
  // daemon do not match a round of this run.
  Round_ = DigestRound(Random_.next() / 2);
}

void InstanceDirectory::handle(const Event &Received, TimePoint Now,
                               Effects &Out) {
  advance(Now, Out);
  std::visit(Overloaded{[&](const FromMember<DirectoryMessage> &Incoming) {
                          auto Receive = [&](const auto &Message) {
                            receive(Incoming.From_, Message, Now, Out);
                          };
                          std::visit(Receive, Incoming.Message_);
                        },
                        [&](const InstanceAnnounced &Announced) {
                          announce(Announced.Record_, Now, Out);
                        },
                        [&](const InstanceLoadReported &Reported) {
                          forwardLoadReport(Reported.Report_, Out);
                        },
                        [&](const MemberChanged &Changed) {
                          updateMember(Changed.Record_, Now);
                        }},
             Received);
}

void InstanceDirectory::advance(TimePoint Now, Effects &Out) {
  if (!HasStarted_) {
    HasStarted_ = true;
    NextDigestAt_ = Now + Duration(Random_.below(DigestInterval.count()));
  } else if (*nextDeadline() + FreezeTolerance < Now) {
    // The daemon was paused: renewals that arrived meanwhile are still queued.
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

bool InstanceDirectory::apply(const InstanceRecord &Record, RecordOrigin Origin,
                              TimePoint Now, Effects &Out) {
  RecordKey Key = keyOf(Record.Id_);
  bool WasKnown = Table_.find(Key) != nullptr;
  // A tombstone of an unknown instance has no effect on this daemon.
  bool IsVisible = WasKnown || isPresent(Record.State_);
  if (Record.Id_.isEmpty() || !Table_.apply(Record, Now))
    return false;
  // This registrar holds the lease, so the instance is alive: override the
  // lapse with a newer incarnation.
  if (Record.State_ == InstanceState::Lapsed && Leases_.isHeld(Key, Now)) {
    InstanceRecord Revived = Record;
    Revived.State_ = InstanceState::Serving;
    Revived.Version_ = Record.Version_.next();
    return apply(Revived, RecordOrigin::Rumor, Now, Out);
  }
  if (!isPresent(Record.State_))
    Leases_.remove(Key);
  else if (Registrars_.isRegistrar(Self_, RecordTable::leafOf(Key)))
    Leases_.grant(Key, Now);
  if (IsVisible)
    Out.emplace_back(InstanceUpdated{Record});
  if (Origin == RecordOrigin::InitialLoad)
    return true;
  RecentChanges_.emplace_back(Now, Key);
  while (RecentChanges_.size() > MaxRecentChanges)
    RecentChanges_.pop_front();
  if (Origin == RecordOrigin::Rumor && RumorKeys_.size() < MaxQueuedRumors) {
    RumorKeys_.insert(Key);
    NextRumorAt_ = NextRumorAt_.value_or(Now + RumorDelay);
  }
  return true;
}

void InstanceDirectory::announce(const InstanceRecord &Record, TimePoint Now,
                                 Effects &Out) {
  RecordKey Key = keyOf(Record.Id_);
  InstanceRecord Announced = Record;
  const InstanceRecord *Known = Table_.find(Key);
  // An announcement proves that the instance is alive: override the lapse.
  if (Known && Known->State_ == InstanceState::Lapsed &&
      Record.State_ == InstanceState::Serving &&
      Record.Version_ <= Known->Version_)
    Announced.Version_ = Known->Version_.next();
  apply(Announced, RecordOrigin::Rumor, Now, Out);
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
  for (MemberId &Registrar :
       Registrars_.registrarsOf(RecordTable::leafOf(Key))) {
    if (Registrar == Self_)
      Leases_.renew(Key, Now);
    else if (RenewalCount_ < MaxQueuedRenewals)
      RenewalCount_ +=
          Renewals_[std::move(Registrar)].insert(Key).second ? 1 : 0;
  }
}

void InstanceDirectory::markLapsed(RecordKey Key, TimePoint Now, Effects &Out) {
  const InstanceRecord *Known = Table_.find(Key);
  Leases_.remove(Key);
  if (!Known || !isPresent(Known->State_))
    return;
  InstanceRecord Record = *Known;
  Record.State_ = InstanceState::Lapsed;
  apply(Record, RecordOrigin::Rumor, Now, Out);
}

// An unconfirmed registrar may itself be partitioned from the fleet, so it
// extends the leases instead of marking instances as lapsed.
void InstanceDirectory::checkLeases(TimePoint Now, Effects &Out) {
  if (HasHadPeers_ && !IsConfirmed_)
    Leases_.extendAll(Now);
  for (const auto &[Key, Action] : Leases_.takeExpired(Now)) {
    std::vector<MemberId> OtherRegistrars =
        Registrars_.registrarsOf(RecordTable::leafOf(Key));
    std::erase(OtherRegistrars, Self_);
    if (Action == ExpiredLeaseAction::MarkLapsed || OtherRegistrars.empty())
      markLapsed(Key, Now, Out);
    else
      send(OtherRegistrars.front(), LeaseStatusRequest{Key}, Out);
  }
}

void InstanceDirectory::updateLeaseOwnership(TimePoint Now) {
  for (LeafIndex Leaf : Registrars_.takeChangedLeaves()) {
    bool IsSelfRegistrar = Registrars_.isRegistrar(Self_, Leaf);
    for (RecordKey Key : Table_.presentKeysOf(Leaf)) {
      if (!IsSelfRegistrar)
        Leases_.remove(Key);
      else if (!Leases_.contains(Key))
        Leases_.grant(Key, Now);
    }
  }
}

void InstanceDirectory::forwardLoadReport(const LoadReport &Report,
                                          Effects &Out) {
  const InstanceRecord *Known = Table_.find(keyOf(Report.Instance_));
  std::vector<MemberId> Homes =
      Homes_.homesFor(Report.Service_, Known ? Known->Domain_ : Domain_);
  for (MemberId &Home : Homes_.homesFor(Report.Service_))
    if (std::find(Homes.begin(), Homes.end(), Home) == Homes.end())
      Homes.push_back(std::move(Home));
  if (Homes.size() > MaxLoadReportCopies)
    Homes.resize(MaxLoadReportCopies);
  for (const MemberId &Home : Homes) {
    if (Home == Self_)
      Out.emplace_back(LoadReportReceived{Report});
    else
      send(Home, Report, Out);
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
  send(*Peer, DirectoryDigest{Round_, Table_.rootDigest(), recentKeyDigests()},
       Out);
}

void InstanceDirectory::sendRumors(TimePoint Now, Effects &Out) {
  NextRumorAt_.reset();
  RecordExchange Exchange;
  Exchange.IsRumor_ = true;
  while (!RumorKeys_.empty() &&
         Exchange.Records_.size() < MaxRecordsPerMessage) {
    if (const InstanceRecord *Known = Table_.find(*RumorKeys_.begin()))
      Exchange.Records_.push_back(*Known);
    RumorKeys_.erase(RumorKeys_.begin());
  }
  std::set<MemberId> Recipients;
  for (std::size_t I = 0; I < RumorFanout; ++I)
    if (auto Peer = randomPeer())
      Recipients.insert(*Peer);
  for (const MemberId &Recipient : Recipients)
    send(Recipient, Exchange, Out);
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
  std::vector<KeyDigest> Digests;
  Digests.reserve(Keys.size());
  for (RecordKey Key : Keys)
    Digests.push_back({Key, Table_.digestOf(Key)});
  return Digests;
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
