// The messages of InstanceDirectory: comparison, repair and leases.
#include <LibDirectory/InstanceDirectory.h>

#include <utility>

namespace jaybridge {

void InstanceDirectory::receive(const MemberId &From, const RecordExchange &Got,
                                TimePoint Now, Effects &Out) {
  for (const InstanceRecord &Each : Got.Records_)
    apply(Each, Got.IsRumor_ ? RecordOrigin::Rumor : RecordOrigin::Repair, Now, Out);
  sendRequestedRecords(From, Got.RequestedKeys_, Out);
}

void InstanceDirectory::receive(const MemberId &From,
                                const DirectoryDigest &Got, TimePoint,
                                Effects &Out) {
  DirectoryDigestResponse Answer{Got.Round_, Table_.rootDigest(), {}};
  if (Got.Root_ != Table_.rootDigest())
    Answer.Exchange_ = compareDigests(Got.RecentChanges_, recentKeyDigests());
  send(From, std::move(Answer), Out);
}

// Only an answer to a digest of this run confirms, counted from when the
// digest was sent: messages may have waited while the daemon stood still.
void InstanceDirectory::receive(const MemberId &From,
                                const DirectoryDigestResponse &Got,
                                TimePoint Now, Effects &Out) {
  receive(From, Got.Exchange_, Now, Out);
  if (Got.Round_ != Round_)
    return;
  ConfirmedAt_ = RoundSentAt_;
  updateConfirmation(Now, Out);
  bool IsExplained =
      !Got.Exchange_.Records_.empty() || !Got.Exchange_.RequestedKeys_.empty();
  if (Got.Root_ == Table_.rootDigest() || !IsLoaded_ ||
      (IsExplained && Now < NextDescentAt_))
    return;
  NextDescentAt_ = Now + DescentInterval;
  send(From, GroupDigests{Table_.groupDigests()}, Out);
}

void InstanceDirectory::receive(const MemberId &From, const GroupDigests &Got,
                                TimePoint, Effects &Out) {
  std::vector<RecordDigest> Mine = Table_.groupDigests();
  if (Got.Groups_.size() != Mine.size())
    return;
  std::vector<std::size_t> Different;
  for (std::size_t I = 0; I < Mine.size(); ++I)
    if (Mine[I] != Got.Groups_[I])
      Different.push_back(I);
  std::size_t Marks = 0;
  while (!Different.empty()) {
    auto Chosen = Different.begin() +
                  static_cast<std::ptrdiff_t>(Random_.below(Different.size()));
    GroupIndex Group(*Chosen);
    LeafIndex First(Group.value() * RecordTable::LeavesPerGroup);
    LeafIndex Last(First.value() + RecordTable::LeavesPerGroup - 1);
    Different.erase(Chosen);
    RangeDigests Range{First, Last, Table_.keyDigestsOf(First, Last)};
    std::size_t Earlier = std::exchange(Marks, Marks + Range.Digests_.size());
    if (Marks > MaxDigestsPerDescent) {
      if (Earlier == 0)
        send(From, LeafDigests{Group, Table_.leafDigestsOf(Group)}, Out);
      return;
    }
    send(From, std::move(Range), Out);
  }
}

void InstanceDirectory::receive(const MemberId &From, const LeafDigests &Got,
                                TimePoint, Effects &Out) {
  std::vector<RecordDigest> Mine = Table_.leafDigestsOf(Got.Group_);
  if (Got.Leaves_.size() != Mine.size())
    return;
  std::size_t Marks = 0;
  for (std::size_t I = 0; I < Mine.size() && Marks < MaxDigestsPerDescent; ++I) {
    if (Mine[I] == Got.Leaves_[I])
      continue;
    LeafIndex Leaf(Got.Group_.value() * RecordTable::LeavesPerGroup + I);
    RangeDigests Range{Leaf, Leaf, Table_.keyDigestsOf(Leaf, Leaf)};
    Marks += Range.Digests_.size();
    send(From, std::move(Range), Out);
  }
}

void InstanceDirectory::receive(const MemberId &From, const RangeDigests &Got,
                                TimePoint Now, Effects &Out) {
  RecordExchange Exchange =
      compareDigests(Got.Digests_, Table_.keyDigestsOf(Got.First_, Got.Last_));
  if (Exchange.Records_.size() + Exchange.RequestedKeys_.size() >= MinRecordsForImmediateDescent)
    NextDescentAt_ = Now;
  if (!Exchange.Records_.empty() || !Exchange.RequestedKeys_.empty())
    send(From, std::move(Exchange), Out);
}

RecordExchange
InstanceDirectory::compareDigests(const std::vector<KeyDigest> &Theirs,
                           const std::vector<KeyDigest> &Mine) const {
  RecordExchange Exchange;
  std::map<RecordKey, RecordDigest> Listed;
  for (const KeyDigest &Each : Theirs) {
    Listed.emplace(Each.Key_, Each.Digest_);
    // Digest 0 marks a tombstone that has left the digests.
    if (Each.Digest_ != RecordDigest() &&
        Table_.digestOf(Each.Key_) != Each.Digest_ &&
        Exchange.RequestedKeys_.size() < RecordsPerMessage)
      Exchange.RequestedKeys_.push_back(Each.Key_);
  }
  for (const KeyDigest &Each : Mine) {
    auto Found = Listed.find(Each.Key_);
    bool IsSame = Found != Listed.end() && Found->second == Each.Digest_;
    const InstanceRecord *Known = Table_.find(Each.Key_);
    if (!IsSame && Known && Each.Digest_ != RecordDigest() &&
        Exchange.Records_.size() < RecordsPerMessage)
      Exchange.Records_.push_back(*Known);
  }
  return Exchange;
}

void InstanceDirectory::sendRequestedRecords(const MemberId &To,
                                     const std::vector<RecordKey> &Wanted,
                                     Effects &Out) {
  RecordExchange Exchange;
  for (RecordKey Key : Wanted)
    if (const InstanceRecord *Known = Table_.find(Key);
        Known && Exchange.Records_.size() < RecordsPerMessage)
      Exchange.Records_.push_back(*Known);
  if (!Exchange.Records_.empty())
    send(To, std::move(Exchange), Out);
}

void InstanceDirectory::receive(const MemberId &From, const RecordsRequest &Got,
                                TimePoint, Effects &Out) {
  RecordsPage Page;
  Page.Records_ =
      Table_.recordsAfter(Got.After_, RecordsPerMessage, Page.IsLast_);
  send(From, std::move(Page), Out);
}

void InstanceDirectory::receive(const MemberId &, const RecordsPage &Got,
                                TimePoint Now, Effects &Out) {
  if (IsLoaded_)
    return;
  for (const InstanceRecord &Each : Got.Records_) {
    apply(Each, RecordOrigin::InitialLoad, Now, Out);
    LastLoadedKey_ = keyOf(Each.Id_);
  }
  if (!Got.IsLast_) {
    requestPage(Now, Out);
    return;
  }
  IsLoaded_ = true;
  PageDeadline_.reset();
}

void InstanceDirectory::receive(const MemberId &, const LeaseRenewals &Got,
                                TimePoint Now, Effects &) {
  for (RecordKey Key : Got.Keys_)
    Leases_.renew(Key, Now);
}

void InstanceDirectory::receive(const MemberId &From,
                                const LeaseStatusRequest &Got, TimePoint Now,
                                Effects &Out) {
  send(From, LeaseStatusResponse{Got.Key_, Leases_.isHeld(Got.Key_, Now)}, Out);
}

void InstanceDirectory::receive(const MemberId &From,
                                const LeaseStatusResponse &Got, TimePoint Now,
                                Effects &Out) {
  LeafIndex Leaf = RecordTable::leafOf(Got.Key_);
  if (!Leases_.has(Got.Key_) || !Registrars_.isRegistrar(From, Leaf))
    return;
  if (Got.IsHeld_)
    Leases_.deferToOtherRegistrar(Got.Key_, Now);
  else if (!Leases_.isHeld(Got.Key_, Now))
    markLapsed(Got.Key_, Now, Out);
}

void InstanceDirectory::receive(const MemberId &, const LoadReport &Got,
                                TimePoint, Effects &Out) {
  Out.emplace_back(LoadReportReceived{Got});
}

} // namespace jaybridge
