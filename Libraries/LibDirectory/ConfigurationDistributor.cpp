#include <LibDirectory/ConfigurationDistributor.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace jaybridge {

Result<ConfigurationDistributor>
ConfigurationDistributor::create(ConfigurationDistributorSettings Draft) {
  if (Draft.Self_.isEmpty())
    return Error{ErrorCode::Invalid, "a member needs an id", "member-id"};
  return ConfigurationDistributor(std::move(Draft));
}

ConfigurationDistributor::ConfigurationDistributor(
    ConfigurationDistributorSettings Draft)
    : Self_(std::move(Draft.Self_)), Domain_(std::move(Draft.Domain_)),
      Random_(Draft.Seed_) {}

void ConfigurationDistributor::handle(const Event &Received, TimePoint Now,
                                      Effects &Out) {
  advance(Now, Out);
  std::visit(Overloaded{[&](const FromMember<DistributionMessage> &Got) {
                          auto Receive = [&](const auto &Each) {
                            receive(Got.From_, Each, Now, Out);
                          };
                          std::visit(Receive, Got.Message_);
                        },
                        [&](const EntryCommitted &Each) {
                          if (Each.Version_ != CurrentVersion_.next())
                            return;
                          applyEntry(Each.Version_, Each.Entry_, Out);
                          notifyRandomPeers(Out);
                        },
                        [&](const SnapshotProvided &Each) {
                          if (Each.Version_ > CurrentVersion_) {
                            applySnapshot(Each.Version_, Each.Snapshot_, Out);
                            notifyRandomPeers(Out);
                            return;
                          }
                          if (Each.Version_ > SnapshotVersion_)
                            storeSnapshot(Each.Version_, Each.Snapshot_);
                        },
                        [&](const MemberChanged &Each) {
                          updateMember(Each.Record_, Now);
                        }},
             Received);
}

void ConfigurationDistributor::advance(TimePoint Now, Effects &Out) {
  if (!HasStarted_) {
    HasStarted_ = true;
    NextGossipAt_ = Now + Duration(Random_.below(GossipInterval.count()));
  }
  if (FetchDeadline_ && Now >= *FetchDeadline_) {
    FetchDeadline_.reset();
    if (Download_ && Random_.below(2) == 0)
      Download_.reset();
  }
  if (Now < NextGossipAt_)
    return;
  NextGossipAt_ = Now + (IsUpToDate_ ? GossipInterval : GossipInterval / 4);
  if (auto To = selectGossipPeer())
    sendGossip(*To, true, Out);
}

std::optional<TimePoint> ConfigurationDistributor::nextDeadline() const {
  if (!HasStarted_)
    return TimePoint{};
  return FetchDeadline_ ? std::min(NextGossipAt_, *FetchDeadline_) : NextGossipAt_;
}

std::vector<MemberVersion> ConfigurationDistributor::memberVersions() const {
  std::vector<MemberVersion> Versions{{Self_, CurrentVersion_}};
  for (const auto &[Id, Each] : Peers_)
    Versions.push_back({Id, Each.Version_});
  return Versions;
}

void ConfigurationDistributor::receive(const MemberId &From,
                                       const VersionGossip &Got, TimePoint Now,
                                       Effects &Out) {
  recordVersion({From, Got.CurrentVersion_});
  for (const MemberVersion &Each : Got.KnownVersions_)
    recordVersion(Each);
  if (auto Known = Peers_.find(From);
      Known != Peers_.end() && !Got.IsReplyRequested_)
    Known->second.HasResponded_ = true;
  if (Got.IsReplyRequested_)
    sendGossip(From, false, Out);
  if (Got.CurrentVersion_ > CurrentVersion_)
    requestMissing(From, Now, Out);
  checkUpToDate(Out);
}

void ConfigurationDistributor::receive(const MemberId &From,
                                       const EntriesRequest &Got, TimePoint,
                                       Effects &Out) {
  if (Got.After_ >= CurrentVersion_)
    return;
  if (Got.After_ < versionBeforeEntries()) {
    receive(From, SnapshotChunkRequest{SnapshotVersion_, SnapshotHash_, {}}, {},
            Out);
    return;
  }
  EntriesChunk Part{Got.After_, {}};
  std::size_t Bytes = 0;
  for (std::size_t I = Got.After_.value() - versionBeforeEntries().value();
       I < Entries_.size() && Part.Entries_.size() < EntriesPerChunk &&
       Bytes < BytesPerChunk;
       ++I) {
    Bytes += Entries_[I].text().size();
    Part.Entries_.push_back(Entries_[I]);
  }
  send(From, std::move(Part), Out);
}

void ConfigurationDistributor::receive(const MemberId &From,
                                       const EntriesChunk &Got, TimePoint Now,
                                       Effects &Out) {
  ConfigurationVersion Before = CurrentVersion_;
  ConfigurationVersion Next = Got.After_;
  for (const ConfigurationBytes &Each : Got.Entries_) {
    Next = Next.next();
    if (Next == CurrentVersion_.next())
      applyEntry(Next, Each, Out);
  }
  if (CurrentVersion_ == Before)
    return;
  FetchDeadline_.reset();
  recordVersion({From, CurrentVersion_});
  auto Known = Peers_.find(From);
  if (Known != Peers_.end() && Known->second.Version_ > CurrentVersion_)
    requestMissing(From, Now, Out);
  else
    notifyRandomPeers(Out);
  checkUpToDate(Out);
}

void ConfigurationDistributor::receive(const MemberId &From,
                                       const SnapshotChunkRequest &Got,
                                       TimePoint, Effects &Out) {
  if (SnapshotVersion_ == ConfigurationVersion())
    return;
  bool IsSame = Got.Version_ == SnapshotVersion_ && Got.Hash_ == SnapshotHash_;
  const std::string &Whole = Snapshot_.text();
  std::size_t Offset = IsSame ? Got.Offset_.value() : 0;
  if (Offset > Whole.size())
    return;
  send(From,
       SnapshotChunk{SnapshotVersion_, SnapshotHash_, ByteCount(Offset),
                     ByteCount(Whole.size()),
                     ConfigurationBytes(Whole.substr(Offset, BytesPerChunk))},
       Out);
}

void ConfigurationDistributor::receive(const MemberId &From,
                                       const SnapshotChunk &Got, TimePoint Now,
                                       Effects &Out) {
  if (Got.Version_ <= CurrentVersion_ || Got.Size_.value() > MaxSnapshotBytes)
    return;
  bool IsSame = Download_ && Download_->Version_ == Got.Version_ &&
                Download_->Hash_ == Got.Hash_;
  if (!IsSame) {
    if (Got.Offset_ != ByteCount())
      return;
    Download_ = Download{From, Got.Version_, Got.Hash_, {}};
  }
  if (Got.Offset_.value() != Download_->Bytes_.size())
    return;
  Download_->From_ = From;
  Download_->Bytes_ += Got.Bytes_.text();
  if (Download_->Bytes_.size() < Got.Size_.value()) {
    FetchDeadline_.reset();
    requestMissing(From, Now, Out);
    return;
  }
  Download Done = std::move(*Download_);
  Download_.reset();
  FetchDeadline_.reset();
  if (SnapshotHash(stableHash(Done.Bytes_)) != Done.Hash_)
    return;
  applySnapshot(Done.Version_, ConfigurationBytes(std::move(Done.Bytes_)), Out);
  if (auto Known = Peers_.find(From);
      Known != Peers_.end() && Known->second.Version_ > CurrentVersion_)
    requestMissing(From, Now, Out);
  notifyRandomPeers(Out);
  checkUpToDate(Out);
}

void ConfigurationDistributor::applyEntry(ConfigurationVersion Version,
                                      const ConfigurationBytes &Entry,
                                      Effects &Out) {
  CurrentVersion_ = Version;
  Entries_.push_back(Entry);
  EntryBytes_ += Entry.text().size();
  Out.emplace_back(EntryApplied{Version, Entry});
  bool IsMuch = Entries_.size() > MaxEntries / 2 ||
                EntryBytes_ > MaxEntryBytes / 2;
  if (IsMuch && !IsSnapshotRequested_) {
    IsSnapshotRequested_ = true;
    Out.emplace_back(SnapshotNeeded{});
  }
  // A daemon that gives no snapshot still stays within its bound; peers that
  // are further behind ask another member.
  while (Entries_.size() > MaxEntries ||
         EntryBytes_ > MaxEntryBytes) {
    EntryBytes_ -= Entries_.front().text().size();
    Entries_.pop_front();
  }
}

void ConfigurationDistributor::applySnapshot(ConfigurationVersion Version,
                                       const ConfigurationBytes &Snapshot,
                                       Effects &Out) {
  CurrentVersion_ = Version;
  Entries_.clear();
  EntryBytes_ = 0;
  storeSnapshot(Version, Snapshot);
  Out.emplace_back(SnapshotApplied{Version, Snapshot});
}

// Half of the entries stay, so that members that are a little behind need no
// snapshot.
void ConfigurationDistributor::storeSnapshot(
    ConfigurationVersion Version, const ConfigurationBytes &Snapshot) {
  SnapshotVersion_ = Version;
  Snapshot_ = Snapshot;
  SnapshotHash_ = SnapshotHash(stableHash(Snapshot.text()));
  IsSnapshotRequested_ = false;
  while (versionBeforeEntries() < Version && (Entries_.size() > MaxEntries / 4 ||
                                      EntryBytes_ > MaxEntryBytes / 4)) {
    EntryBytes_ -= Entries_.front().text().size();
    Entries_.pop_front();
  }
}

void ConfigurationDistributor::updateMember(const MemberRecord &Record,
                                            TimePoint Now) {
  if (Record.Id_ == Self_)
    return;
  bool IsKnown = Peers_.contains(Record.Id_);
  if (isLive(Record.State_) == IsKnown)
    return;
  if (!IsKnown) {
    Peers_.emplace(Record.Id_, Peer{Record.Domain_, {}, false});
    PeerIds_.push_back(Record.Id_);
    if (!IsUpToDate_)
      NextGossipAt_ = Now;
    return;
  }
  Peers_.erase(Record.Id_);
  std::erase(PeerIds_, Record.Id_);
}

void ConfigurationDistributor::recordVersion(const MemberVersion &Heard) {
  auto Known = Peers_.find(Heard.Member_);
  if (Known != Peers_.end())
    Known->second.Version_ = std::max(Known->second.Version_, Heard.Version_);
}

void ConfigurationDistributor::sendGossip(const MemberId &To, bool IsAnswerWanted,
                                        Effects &Out) {
  VersionGossip Gossip{CurrentVersion_, IsAnswerWanted, {}};
  for (std::size_t I = 0; I < KnownVersionsPerGossip && !PeerIds_.empty(); ++I) {
    const MemberId &Id = PeerIds_[Random_.below(PeerIds_.size())];
    ConfigurationVersion Version = Peers_.at(Id).Version_;
    if (Id != To && Version > ConfigurationVersion())
      Gossip.KnownVersions_.push_back({Id, Version});
  }
  send(To, std::move(Gossip), Out);
}

void ConfigurationDistributor::notifyRandomPeers(Effects &Out) {
  std::set<MemberId> Chosen;
  for (std::size_t I = 0; I < GossipFanout && !PeerIds_.empty(); ++I)
    Chosen.insert(PeerIds_[Random_.below(PeerIds_.size())]);
  for (const MemberId &Each : Chosen)
    if (Peers_.at(Each).Version_ < CurrentVersion_)
      sendGossip(Each, false, Out);
}

void ConfigurationDistributor::requestMissing(const MemberId &From, TimePoint Now,
                                     Effects &Out) {
  if (FetchDeadline_)
    return;
  FetchDeadline_ = Now + FetchTimeout;
  if (Download_)
    send(From,
         SnapshotChunkRequest{Download_->Version_, Download_->Hash_,
                              ByteCount(Download_->Bytes_.size())},
         Out);
  else
    send(From, EntriesRequest{CurrentVersion_}, Out);
}

void ConfigurationDistributor::checkUpToDate(Effects &Out) {
  if (IsUpToDate_)
    return;
  std::set<FailureDomain> All;
  std::set<FailureDomain> Answered;
  for (const auto &[Id, Each] : Peers_) {
    All.insert(Each.Domain_);
    if (Each.HasResponded_)
      Answered.insert(Each.Domain_);
    if (Each.Version_ > CurrentVersion_)
      return;
  }
  if (Answered.empty() ||
      Answered.size() < std::min(MinRespondingDomains, All.size()))
    return;
  IsUpToDate_ = true;
  Out.emplace_back(ConfigurationUpToDate{CurrentVersion_});
}

std::optional<MemberId> ConfigurationDistributor::selectGossipPeer() {
  if (PeerIds_.empty())
    return std::nullopt;
  std::size_t First = Random_.below(PeerIds_.size());
  if (IsUpToDate_)
    return PeerIds_[First];
  std::set<FailureDomain> Answered;
  for (const auto &[Id, Each] : Peers_)
    if (Each.HasResponded_)
      Answered.insert(Each.Domain_);
  for (std::size_t I = 0; I < PeerIds_.size(); ++I) {
    const MemberId &Id = PeerIds_[(First + I) % PeerIds_.size()];
    if (!Answered.contains(Peers_.at(Id).Domain_))
      return Id;
  }
  return PeerIds_[First];
}

ConfigurationVersion ConfigurationDistributor::versionBeforeEntries() const {
  return ConfigurationVersion(CurrentVersion_.value() - Entries_.size());
}

void ConfigurationDistributor::send(const MemberId &To,
                                    DistributionMessage Message,
                                    Effects &Out) const {
  Out.emplace_back(SendToMember<DistributionMessage>{To, std::move(Message)});
}

} // namespace jaybridge
