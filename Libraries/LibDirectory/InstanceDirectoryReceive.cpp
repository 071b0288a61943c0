// Message handlers of InstanceDirectory: anti-entropy, lease status and load.
#include <LibDirectory/InstanceDirectory.h>

#include <utility>

namespace jaybridge {

void InstanceDirectory::receive(const MemberId &From,
                                const RecordExchange &Exchange, TimePoint Now,
                                Effects &Out) {
  for (const InstanceRecord &Record : Exchange.Records_)
    apply(Record,
          Exchange.IsRumor_ ? RecordOrigin::Rumor : RecordOrigin::Repair, Now,
          Out);
  sendRequestedRecords(From, Exchange.RequestedKeys_, Out);
}

void InstanceDirectory::receive(const MemberId &From,
                                const DirectoryDigest &Digest, TimePoint,
                                Effects &Out) {
  DirectoryDigestResponse Response{Digest.Round_, Table_.rootDigest(), {}};
  if (Digest.Root_ != Table_.rootDigest())
    Response.Exchange_ =
        compareDigests(Digest.RecentChanges_, recentKeyDigests());
  send(From, std::move(Response), Out);
}

// Only a response to the latest digest confirms this directory, as of the time
// when the digest was sent: the response may have been queued while this daemon
// was paused.
void InstanceDirectory::receive(const MemberId &From,
                                const DirectoryDigestResponse &Response,
                                TimePoint Now, Effects &Out) {
  receive(From, Response.Exchange_, Now, Out);
  if (Response.Round_ != Round_)
    return;
  ConfirmedAt_ = RoundSentAt_;
  updateConfirmation(Now, Out);
  bool IsExplained = !Response.Exchange_.Records_.empty() ||
                     !Response.Exchange_.RequestedKeys_.empty();
  if (Response.Root_ == Table_.rootDigest() || !IsLoaded_ ||
      (IsExplained && Now < NextDescentAt_))
    return;
  NextDescentAt_ = Now + DescentInterval;
  send(From, GroupDigests{Table_.groupDigests()}, Out);
}

void InstanceDirectory::receive(const MemberId &From,
                                const GroupDigests &Digests, TimePoint,
                                Effects &Out) {
  std::vector<RecordDigest> OwnDigests = Table_.groupDigests();
  if (Digests.Groups_.size() != OwnDigests.size())
    return;
  std::vector<std::size_t> DifferingGroups;
  for (std::size_t I = 0; I < OwnDigests.size(); ++I)
    if (OwnDigests[I] != Digests.Groups_[I])
      DifferingGroups.push_back(I);
  std::size_t DigestCount = 0;
  while (!DifferingGroups.empty()) {
    auto Chosen =
        DifferingGroups.begin() +
        static_cast<std::ptrdiff_t>(Random_.below(DifferingGroups.size()));
    GroupIndex Group(*Chosen);
    LeafIndex First(Group.value() * RecordTable::LeavesPerGroup);
    LeafIndex Last(First.value() + RecordTable::LeavesPerGroup - 1);
    DifferingGroups.erase(Chosen);
    RangeDigests Range{First, Last, Table_.keyDigestsOf(First, Last)};
    std::size_t PreviousCount =
        std::exchange(DigestCount, DigestCount + Range.Digests_.size());
    if (DigestCount > MaxDigestsPerDescent) {
      if (PreviousCount == 0)
        send(From, LeafDigests{Group, Table_.leafDigestsOf(Group)}, Out);
      return;
    }
    send(From, std::move(Range), Out);
  }
}

void InstanceDirectory::receive(const MemberId &From,
                                const LeafDigests &Digests, TimePoint,
                                Effects &Out) {
  std::vector<RecordDigest> OwnDigests = Table_.leafDigestsOf(Digests.Group_);
  if (Digests.Leaves_.size() != OwnDigests.size())
    return;
  std::size_t DigestCount = 0;
  for (std::size_t I = 0;
       I < OwnDigests.size() && DigestCount < MaxDigestsPerDescent; ++I) {
    if (OwnDigests[I] == Digests.Leaves_[I])
      continue;
    LeafIndex Leaf(Digests.Group_.value() * RecordTable::LeavesPerGroup + I);
    RangeDigests Range{Leaf, Leaf, Table_.keyDigestsOf(Leaf, Leaf)};
    DigestCount += Range.Digests_.size();
    send(From, std::move(Range), Out);
  }
}

void InstanceDirectory::receive(const MemberId &From, const RangeDigests &Range,
                                TimePoint Now, Effects &Out) {
  RecordExchange Exchange = compareDigests(
      Range.Digests_, Table_.keyDigestsOf(Range.First_, Range.Last_));
  if (Exchange.Records_.size() + Exchange.RequestedKeys_.size() >=
      MinRecordsForImmediateDescent)
    NextDescentAt_ = Now;
  if (!Exchange.Records_.empty() || !Exchange.RequestedKeys_.empty())
    send(From, std::move(Exchange), Out);
}

RecordExchange InstanceDirectory::compareDigests(
    const std::vector<KeyDigest> &PeerDigests,
    const std::vector<KeyDigest> &OwnDigests) const {
  RecordExchange Exchange;
  std::map<RecordKey, RecordDigest> PeerDigestByKey;
  for (const KeyDigest &Peer : PeerDigests) {
    PeerDigestByKey.emplace(Peer.Key_, Peer.Digest_);
    // Digest 0 stands for a tombstone that no longer takes part in digests.
    if (Peer.Digest_ != RecordDigest() &&
        Table_.digestOf(Peer.Key_) != Peer.Digest_ &&
        Exchange.RequestedKeys_.size() < MaxRecordsPerMessage)
      Exchange.RequestedKeys_.push_back(Peer.Key_);
  }
  for (const KeyDigest &Own : OwnDigests) {
    auto Found = PeerDigestByKey.find(Own.Key_);
    bool IsSame =
        Found != PeerDigestByKey.end() && Found->second == Own.Digest_;
    const InstanceRecord *Known = Table_.find(Own.Key_);
    if (!IsSame && Known && Own.Digest_ != RecordDigest() &&
        Exchange.Records_.size() < MaxRecordsPerMessage)
      Exchange.Records_.push_back(*Known);
  }
  return Exchange;
}

void InstanceDirectory::sendRequestedRecords(const MemberId &To,
                                             const std::vector<RecordKey> &Keys,
                                             Effects &Out) {
  RecordExchange Exchange;
  for (RecordKey Key : Keys)
    if (const InstanceRecord *Known = Table_.find(Key);
        Known && Exchange.Records_.size() < MaxRecordsPerMessage)
      Exchange.Records_.push_back(*Known);
  if (!Exchange.Records_.empty())
    send(To, std::move(Exchange), Out);
}

void InstanceDirectory::receive(const MemberId &From,
                                const RecordsRequest &Request, TimePoint,
                                Effects &Out) {
  RecordsPage Page;
  Page.Records_ =
      Table_.recordsAfter(Request.After_, MaxRecordsPerMessage, Page.IsLast_);
  send(From, std::move(Page), Out);
}

void InstanceDirectory::receive(const MemberId &, const RecordsPage &Page,
                                TimePoint Now, Effects &Out) {
  if (IsLoaded_)
    return;
  for (const InstanceRecord &Record : Page.Records_) {
    apply(Record, RecordOrigin::InitialLoad, Now, Out);
    LastLoadedKey_ = keyOf(Record.Id_);
  }
  if (!Page.IsLast_) {
    requestPage(Now, Out);
    return;
  }
  IsLoaded_ = true;
  PageDeadline_.reset();
}

void InstanceDirectory::receive(const MemberId &, const LeaseRenewals &Renewals,
                                TimePoint Now, Effects &) {
  for (RecordKey Key : Renewals.Keys_)
    Leases_.renew(Key, Now);
}

void InstanceDirectory::receive(const MemberId &From,
                                const LeaseStatusRequest &Request,
                                TimePoint Now, Effects &Out) {
  send(From,
       LeaseStatusResponse{Request.Key_, Leases_.isHeld(Request.Key_, Now)},
       Out);
}

void InstanceDirectory::receive(const MemberId &From,
                                const LeaseStatusResponse &Response,
                                TimePoint Now, Effects &Out) {
  LeafIndex Leaf = RecordTable::leafOf(Response.Key_);
  if (!Leases_.contains(Response.Key_) || !Registrars_.isRegistrar(From, Leaf))
    return;
  if (Response.IsHeld_)
    Leases_.deferToOtherRegistrar(Response.Key_, Now);
  else if (!Leases_.isHeld(Response.Key_, Now))
    markLapsed(Response.Key_, Now, Out);
}

void InstanceDirectory::receive(const MemberId &, const LoadReport &Report,
                                TimePoint, Effects &Out) {
  Out.emplace_back(LoadReportReceived{Report});
}

} // namespace jaybridge
