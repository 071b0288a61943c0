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
      Numbers_(Draft.Seed_), Homes_(std::move(Homes)) {
  Registrars_.add(Self_);
  MemberRecord Own;
  Own.Id_ = Self_;
  Own.Domain_ = Domain_;
  Homes_.apply(Own);
  // Answers to the earlier run of a restarted daemon must not be counted.
  Round_ = DigestRound(Numbers_.next() / 2);
}

void InstanceDirectory::handle(const Event &Happened, TimePoint Now,
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
                          spreadLoad(Each.Report_, Out);
                        },
                        [&](const MemberChanged &Each) {
                          changeMember(Each.Record_, Now);
                        }},
             Happened);
}

void InstanceDirectory::advance(TimePoint Now, Effects &Out) {
  if (!HasStarted_) {
    HasStarted_ = true;
    NextDigestAt_ = Now + Duration(Numbers_.below(DigestPeriod.count()));
  } else if (*nextDeadline() + FreezeTolerance < Now) {
    // Renewals that arrived while the daemon stood still are not lost yet.
    Leases_.extendAll(Now);
  }
  updateConfirmation(Now, Out);
  if (NewsAt_ && Now >= *NewsAt_)
    flushNews(Now, Out);
  if (PageBy_ && Now >= *PageBy_)
    requestPage(Now, Out);
  if (Now < NextDigestAt_)
    return;
  NextDigestAt_ = Now + DigestPeriod;
  takeOverLeaves(Now);
  checkLeases(Now, Out);
  flushRenewals(Out);
  Table_.expire(Now);
  startDigest(Now, Out);
}

std::optional<TimePoint> InstanceDirectory::nextDeadline() const {
  if (!HasStarted_)
    return TimePoint{};
  TimePoint Next = NextDigestAt_;
  if (NewsAt_)
    Next = std::min(Next, *NewsAt_);
  if (PageBy_)
    Next = std::min(Next, *PageBy_);
  if (IsConfirmed_)
    Next = std::min(Next, *ConfirmedAt_ + ConfirmationTimeout);
  return Next;
}

bool InstanceDirectory::apply(const InstanceRecord &Record, Origin From,
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
    return apply(Revived, Origin::News, Now, Out);
  }
  if (!isPresent(Record.State_))
    Leases_.end(Key);
  else if (Registrars_.isRegistrar(Self_, RecordTable::leafOf(Key)))
    Leases_.begin(Key, Now);
  if (IsVisible)
    Out.emplace_back(InstanceUpdated{Record});
  if (From == Origin::Loaded)
    return true;
  RecentChanges_.emplace_back(Now, Key);
  while (RecentChanges_.size() > GreatestRecent)
    RecentChanges_.pop_front();
  if (From == Origin::News && News_.size() < GreatestNews) {
    News_.insert(Key);
    NewsAt_ = NewsAt_.value_or(Now + NewsDelay);
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
  apply(New, Origin::News, Now, Out);
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
    else if (RenewalCount_ < GreatestRenewals)
      RenewalCount_ += Renewals_[std::move(Each)].insert(Key).second ? 1 : 0;
  }
}

void InstanceDirectory::lapse(RecordKey Key, TimePoint Now, Effects &Out) {
  const InstanceRecord *Known = Table_.find(Key);
  Leases_.end(Key);
  if (!Known || !isPresent(Known->State_))
    return;
  InstanceRecord Record = *Known;
  Record.State_ = InstanceState::Lapsed;
  apply(Record, Origin::News, Now, Out);
}

// A registrar that no peer confirms may be the one that is cut off, and lapses
// nothing.
void InstanceDirectory::checkLeases(TimePoint Now, Effects &Out) {
  if (HadPeers_ && !IsConfirmed_)
    Leases_.extendAll(Now);
  for (const auto &[Key, Step] : Leases_.takeDue(Now)) {
    std::vector<MemberId> Seats =
        Registrars_.registrarsOf(RecordTable::leafOf(Key));
    std::erase(Seats, Self_);
    if (Step == LapseStep::Lapse || Seats.empty())
      lapse(Key, Now, Out);
    else
      send(Seats.front(), LeaseStatusRequest{Key}, Out);
  }
}

void InstanceDirectory::takeOverLeaves(TimePoint Now) {
  for (LeafIndex Leaf : Registrars_.takeChangedLeaves()) {
    bool IsMine = Registrars_.isRegistrar(Self_, Leaf);
    for (RecordKey Key : Table_.presentIn(Leaf)) {
      if (!IsMine)
        Leases_.end(Key);
      else if (!Leases_.has(Key))
        Leases_.begin(Key, Now);
    }
  }
}

void InstanceDirectory::spreadLoad(const LoadReport &Hint, Effects &Out) {
  const InstanceRecord *Known = Table_.find(keyOf(Hint.Instance_));
  std::vector<MemberId> Homes =
      Homes_.homesFor(Hint.Service_, Known ? Known->Domain_ : Domain_);
  for (MemberId &Each : Homes_.homesFor(Hint.Service_))
    if (std::find(Homes.begin(), Homes.end(), Each) == Homes.end())
      Homes.push_back(std::move(Each));
  if (Homes.size() > GreatestLoadCopies)
    Homes.resize(GreatestLoadCopies);
  for (const MemberId &Each : Homes) {
    if (Each == Self_)
      Out.emplace_back(LoadReportReceived{Hint});
    else
      send(Each, Hint, Out);
  }
}

void InstanceDirectory::changeMember(const MemberRecord &Record,
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
  HadPeers_ = true;
  if (!IsLoaded_ && !PageBy_)
    PageBy_ = Now;
}

void InstanceDirectory::startDigest(TimePoint Now, Effects &Out) {
  while (!RecentChanges_.empty() &&
         RecentChanges_.front().first + RecentTerm <= Now)
    RecentChanges_.pop_front();
  auto Peer = randomPeer();
  if (!Peer)
    return;
  Round_ = Round_.next();
  RoundSentAt_ = Now;
  send(*Peer, DirectoryDigest{Round_, Table_.root(), recentMarks()}, Out);
}

void InstanceDirectory::flushNews(TimePoint Now, Effects &Out) {
  NewsAt_.reset();
  RecordExchange Exchange;
  Exchange.IsRumor_ = true;
  while (!News_.empty() && Exchange.Records_.size() < RecordsPerMessage) {
    if (const InstanceRecord *Known = Table_.find(*News_.begin()))
      Exchange.Records_.push_back(*Known);
    News_.erase(News_.begin());
  }
  std::set<MemberId> Receivers;
  for (std::size_t I = 0; I < NewsFanOut; ++I)
    if (auto Peer = randomPeer())
      Receivers.insert(*Peer);
  for (const MemberId &Each : Receivers)
    send(Each, Exchange, Out);
  if (!News_.empty())
    NewsAt_ = Now + NewsDelay;
}

void InstanceDirectory::flushRenewals(Effects &Out) {
  for (auto &[To, Keys] : Renewals_)
    send(To, LeaseRenewals{{Keys.begin(), Keys.end()}}, Out);
  Renewals_.clear();
  RenewalCount_ = 0;
}

void InstanceDirectory::requestPage(TimePoint Now, Effects &Out) {
  PageBy_.reset();
  auto Peer = randomPeer();
  if (IsLoaded_ || !Peer)
    return;
  PageBy_ = Now + PageTimeout;
  send(*Peer, RecordsRequest{LoadedTo_}, Out);
}

void InstanceDirectory::updateConfirmation(TimePoint Now, Effects &Out) {
  bool IsConfirmed =
      IsLoaded_ && ConfirmedAt_ && *ConfirmedAt_ + ConfirmationTimeout > Now;
  if (IsConfirmed != IsConfirmed_)
    Out.emplace_back(ConfirmationChanged{IsConfirmed});
  IsConfirmed_ = IsConfirmed;
}

std::vector<KeyDigest> InstanceDirectory::recentMarks() const {
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
  return Peers_[Numbers_.below(Peers_.size())];
}

void InstanceDirectory::send(const MemberId &To, DirectoryMessage Message,
                             Effects &Out) const {
  Out.emplace_back(SendToMember<DirectoryMessage>{To, std::move(Message)});
}

} // namespace jaybridge
