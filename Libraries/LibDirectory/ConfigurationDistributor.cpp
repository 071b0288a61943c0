#include <LibDirectory/ConfigurationDistributor.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace jaybridge {

Result<ConfigurationDistributor>
ConfigurationDistributor::create(ConfigurationDistributorSettings Settings) {
  if (Settings.Self_.isEmpty())
    return Error{ErrorCode::Invalid, "a member needs an id", "member-id"};
  return ConfigurationDistributor(std::move(Settings));
}

ConfigurationDistributor::ConfigurationDistributor(
    ConfigurationDistributorSettings Settings)
    : Self_(std::move(Settings.Self_)), Domain_(std::move(Settings.Domain_)),
      Random_(Settings.Seed_) {}

void ConfigurationDistributor::handle(const Event &Received, TimePoint Now,
                                      Effects &Out) {
  advance(Now, Out);
  std::visit(
      Overloaded{[&](const FromMember<DistributionMessage> &Incoming) {
                   auto Receive = [&](const auto &Message) {
                     receive(Incoming.From_, Message, Now, Out);
                   };
                   std::visit(Receive, Incoming.Message_);
                 },
                 [&](const EntryCommitted &Committed) {
                   if (Committed.Version_ != CurrentVersion_.next())
                     return;
                   applyEntry(Committed.Version_, Committed.Entry_, Out);
                   notifyRandomPeers(Out);
                 },
                 [&](const SnapshotProvided &Provided) {
                   if (Provided.Version_ > CurrentVersion_) {
                     applySnapshot(Provided.Version_, Provided.Snapshot_, Out);
                     notifyRandomPeers(Out);
                     return;
                   }
                   if (Provided.Version_ > SnapshotVersion_)
                     storeSnapshot(Provided.Version_, Provided.Snapshot_);
                 },
                 [&](const MemberChanged &Changed) {
                   updateMember(Changed.Record_, Now);
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
  return FetchDeadline_ ? std::min(NextGossipAt_, *FetchDeadline_)
                        : NextGossipAt_;
}

std::vector<MemberVersion> ConfigurationDistributor::memberVersions() const {
  std::vector<MemberVersion> Versions{{Self_, CurrentVersion_}};
  for (const auto &[Id, Known] : Peers_)
    Versions.push_back({Id, Known.Version_});
  return Versions;
}

void ConfigurationDistributor::receive(const MemberId &From,
                                       const VersionGossip &Gossip,
                                       TimePoint Now, Effects &Out) {
  recordVersion({From, Gossip.CurrentVersion_});
  for (const MemberVersion &Known : Gossip.KnownVersions_)
    recordVersion(Known);
  if (auto Known = Peers_.find(From);
      Known != Peers_.end() && !Gossip.IsReplyRequested_)
    Known->second.HasResponded_ = true;
  if (Gossip.IsReplyRequested_)
    sendGossip(From, false, Out);
  if (Gossip.CurrentVersion_ > CurrentVersion_)
    requestMissing(From, Now, Out);
  checkUpToDate(Out);
}

void ConfigurationDistributor::receive(const MemberId &From,
                                       const EntriesRequest &Request, TimePoint,
                                       Effects &Out) {
  if (Request.After_ >= CurrentVersion_)
    return;
  if (Request.After_ < versionBeforeEntries()) {
    receive(From, SnapshotChunkRequest{SnapshotVersion_, SnapshotHash_, {}}, {},
            Out);
    return;
  }
  EntriesChunk Chunk{Request.After_, {}};
  std::size_t Bytes = 0;
  for (std::size_t I = Request.After_.value() - versionBeforeEntries().value();
       I < Entries_.size() && Chunk.Entries_.size() < MaxEntriesPerChunk &&
       Bytes < BytesPerChunk;
       ++I) {
    Bytes += Entries_[I].text().size();
    Chunk.Entries_.push_back(Entries_[I]);
  }
  send(From, std::move(Chunk), Out);
}

void ConfigurationDistributor::receive(const MemberId &From,
                                       const EntriesChunk &Chunk, TimePoint Now,
                                       Effects &Out) {
  ConfigurationVersion PreviousVersion = CurrentVersion_;
  ConfigurationVersion Next = Chunk.After_;
  for (const ConfigurationBytes &Entry : Chunk.Entries_) {
    Next = Next.next();
    if (Next == CurrentVersion_.next())
      applyEntry(Next, Entry, Out);
  }
  if (CurrentVersion_ == PreviousVersion)
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
                                       const SnapshotChunkRequest &Request,
                                       TimePoint, Effects &Out) {
  if (SnapshotVersion_ == ConfigurationVersion())
    return;
  bool IsSame =
      Request.Version_ == SnapshotVersion_ && Request.Hash_ == SnapshotHash_;
  const std::string &Bytes = Snapshot_.text();
  std::size_t Offset = IsSame ? Request.Offset_.value() : 0;
  if (Offset > Bytes.size())
    return;
  send(From,
       SnapshotChunk{SnapshotVersion_, SnapshotHash_, ByteCount(Offset),
                     ByteCount(Bytes.size()),
                     ConfigurationBytes(Bytes.substr(Offset, BytesPerChunk))},
       Out);
}

void ConfigurationDistributor::receive(const MemberId &From,
                                       const SnapshotChunk &Chunk,
                                       TimePoint Now, Effects &Out) {
  if (Chunk.Version_ <= CurrentVersion_ ||
      Chunk.Size_.value() > MaxSnapshotBytes)
    return;
  bool IsSame = Download_ && Download_->Version_ == Chunk.Version_ &&
                Download_->Hash_ == Chunk.Hash_;
  if (!IsSame) {
    if (Chunk.Offset_ != ByteCount())
      return;
    Download_ = Download{From, Chunk.Version_, Chunk.Hash_, {}};
  }
  if (Chunk.Offset_.value() != Download_->Bytes_.size())
    return;
  Download_->From_ = From;
  Download_->Bytes_ += Chunk.Bytes_.text();
  if (Download_->Bytes_.size() < Chunk.Size_.value()) {
    FetchDeadline_.reset();
    requestMissing(From, Now, Out);
    return;
  }
  Download Completed = std::move(*Download_);
  Download_.reset();
  FetchDeadline_.reset();
  if (SnapshotHash(stableHash(Completed.Bytes_)) != Completed.Hash_)
    return;
  applySnapshot(Completed.Version_,
                ConfigurationBytes(std::move(Completed.Bytes_)), Out);
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
  bool IsHalfFull =
      Entries_.size() > MaxEntries / 2 || EntryBytes_ > MaxEntryBytes / 2;
  if (IsHalfFull && !IsSnapshotRequested_) {
    IsSnapshotRequested_ = true;
    Out.emplace_back(SnapshotNeeded{});
  }
  // The limits hold even when the daemon provides no snapshot. Peers that are
  // further behind request the entries from another member.
  while (Entries_.size() > MaxEntries || EntryBytes_ > MaxEntryBytes) {
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

// Keeps entries up to a quarter of the limits, which is half of the size that
// triggers a snapshot, so that members slightly behind need no snapshot.
void ConfigurationDistributor::storeSnapshot(
    ConfigurationVersion Version, const ConfigurationBytes &Snapshot) {
  SnapshotVersion_ = Version;
  Snapshot_ = Snapshot;
  SnapshotHash_ = SnapshotHash(stableHash(Snapshot.text()));
  IsSnapshotRequested_ = false;
  while (
      versionBeforeEntries() < Version &&
      (Entries_.size() > MaxEntries / 4 || EntryBytes_ > MaxEntryBytes / 4)) {
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

void ConfigurationDistributor::recordVersion(const MemberVersion &Reported) {
  auto Known = Peers_.find(Reported.Member_);
  if (Known != Peers_.end())
    Known->second.Version_ =
        std::max(Known->second.Version_, Reported.Version_);
}

void ConfigurationDistributor::sendGossip(const MemberId &To,
                                          bool IsReplyRequested, Effects &Out) {
  VersionGossip Gossip{CurrentVersion_, IsReplyRequested, {}};
  for (std::size_t I = 0; I < MaxKnownVersionsPerGossip && !PeerIds_.empty();
       ++I) {
    const MemberId &Id = PeerIds_[Random_.below(PeerIds_.size())];
    ConfigurationVersion Version = Peers_.at(Id).Version_;
    if (Id != To && Version > ConfigurationVersion())
      Gossip.KnownVersions_.push_back({Id, Version});
  }
  send(To, std::move(Gossip), Out);
}

void ConfigurationDistributor::notifyRandomPeers(Effects &Out) {
  std::set<MemberId> Recipients;
  for (std::size_t I = 0; I < GossipFanout && !PeerIds_.empty(); ++I)
    Recipients.insert(PeerIds_[Random_.below(PeerIds_.size())]);
  for (const MemberId &Id : Recipients)
    if (Peers_.at(Id).Version_ < CurrentVersion_)
      sendGossip(Id, false, Out);
}

void ConfigurationDistributor::requestMissing(const MemberId &From,
                                              TimePoint Now, Effects &Out) {
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
  std::set<FailureDomain> Domains;
  std::set<FailureDomain> RespondedDomains;
  for (const auto &[Id, Known] : Peers_) {
    Domains.insert(Known.Domain_);
    if (Known.HasResponded_)
      RespondedDomains.insert(Known.Domain_);
    if (Known.Version_ > CurrentVersion_)
      return;
  }
  if (RespondedDomains.empty() ||
      RespondedDomains.size() < std::min(MinRespondingDomains, Domains.size()))
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
  std::set<FailureDomain> RespondedDomains;
  for (const auto &[Id, Known] : Peers_)
    if (Known.HasResponded_)
      RespondedDomains.insert(Known.Domain_);
  for (std::size_t I = 0; I < PeerIds_.size(); ++I) {
    const MemberId &Id = PeerIds_[(First + I) % PeerIds_.size()];
    if (!RespondedDomains.contains(Peers_.at(Id).Domain_))
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
