#include "ReplicationGroup.h"

#include <algorithm>
#include <iterator>

namespace jaybridge {

namespace {

std::vector<std::string> lines(const std::string &Text) {
  std::vector<std::string> Lines;
  std::size_t Start = 0;
  for (std::size_t End; (End = Text.find('\n', Start)) != std::string::npos;
       Start = End + 1)
    Lines.push_back(Text.substr(Start, End - Start));
  return Lines;
}

/// Stores a write as a data folder does: a snapshot replaces all earlier
/// writes.
void writeToDisk(std::vector<PersistLog> &Disk, PersistLog Write) {
  if (Write.Snapshot_)
    Disk.clear();
  Disk.push_back(std::move(Write));
}

RecoveredLog recover(FolderGeneration Generation,
                     const std::vector<PersistLog> &Disk) {
  LogRecovery Recovery(Generation);
  for (const PersistLog &Write : Disk)
    Recovery.add(Write);
  return Recovery.take();
}

} // namespace

ReplicationGroup::ReplicationGroup(std::size_t Size, std::uint64_t Seed)
    : Random_(RandomSeed(Seed)) {
  for (std::size_t I = 0; I < Size; ++I)
    Configured_.push_back(id(I));
  for (std::size_t I = 0; I < Size; ++I)
    addMember();
}

MemberId ReplicationGroup::id(std::size_t Member) {
  return MemberId("vm-" + std::to_string(Member));
}

std::size_t ReplicationGroup::addMember() {
  Replica Added;
  Added.Id_ = id(Members_.size());
  Added.Generation_ = FolderGeneration(Random_.next());
  Members_.push_back(std::move(Added));
  start(Members_.size() - 1);
  return Members_.size() - 1;
}

void ReplicationGroup::kill(std::size_t Member) {
  Members_[Member].Log_.reset();
  ++Members_[Member].RunNumber_;
  setFrozen(Member, false);
}

void ReplicationGroup::start(std::size_t Member) {
  auto &Node = Members_[Member];
  ASSERT_FALSE(Node.Log_);
  ReplicationSettings Settings;
  Settings.Self_ = Node.Id_;
  Settings.Members_ = Configured_;
  auto Created =
      ReplicatedLog::create(Settings, recover(Node.Generation_, Node.Disk_),
                            RandomSeed(Random_.next()), Now_);
  ASSERT_TRUE(Created) << Created.error().Message_;
  Node.Log_ = std::make_unique<ReplicatedLog>(Created.takeValue());
  Node.Catalog_ = ConfigurationCatalog();
  Node.Applied_.clear();
}

void ReplicationGroup::loseDisk(std::size_t Member) {
  ASSERT_FALSE(isUp(Member));
  Members_[Member].Disk_.clear();
  Members_[Member].Generation_ = FolderGeneration(Random_.next());
}

void ReplicationGroup::setFrozen(std::size_t Member, bool IsFrozen) {
  Members_[Member].IsFrozen_ = IsFrozen;
}

void ReplicationGroup::setCut(std::size_t From, std::size_t To, bool IsCut) {
  if (IsCut)
    CutLinks_.insert({From, To});
  else
    CutLinks_.erase({From, To});
}

void ReplicationGroup::healAll() {
  CutLinks_.clear();
  for (std::size_t I = 0; I < size(); ++I) {
    setFrozen(I, false);
    if (!isUp(I))
      start(I);
  }
}

void ReplicationGroup::run(Duration Span) {
  TimePoint End = Now_ + Span;
  while (!testing::Test::HasFatalFailure()) {
    TimePoint Next = End;
    std::optional<std::size_t> Due;
    for (std::size_t I = 0; I < size(); ++I) {
      if (!isUp(I) || Members_[I].IsFrozen_)
        continue;
      auto Deadline = log(I).nextDeadline();
      if (Deadline && std::max(*Deadline, Now_) < Next) {
        Next = std::max(*Deadline, Now_);
        Due = I;
      }
    }
    if (!Queue_.empty() && Queue_.begin()->first <= Next) {
      Now_ = std::max(Now_, Queue_.begin()->first);
      PendingEvent Scheduled = std::move(Queue_.begin()->second);
      Queue_.erase(Queue_.begin());
      deliver(std::move(Scheduled));
    } else if (Due) {
      Now_ = Next;
      advanceMember(*Due);
    } else {
      break;
    }
  }
  Now_ = End;
}

void ReplicationGroup::deliver(PendingEvent Scheduled) {
  auto &Node = Members_[Scheduled.To_];
  if (Scheduled.From_ ? CutLinks_.contains({*Scheduled.From_, Scheduled.To_})
                      : Scheduled.RunNumber_ != Node.RunNumber_)
    return;
  if (Scheduled.Write_)
    writeToDisk(Node.Disk_, std::move(*Scheduled.Write_));
  Scheduled.Write_.reset();
  if (!Node.Log_)
    return;
  if (Node.IsFrozen_)
    return schedule(std::chrono::milliseconds(50), std::move(Scheduled));
  deliverEvent(Scheduled.To_, Scheduled.Event_);
}

void ReplicationGroup::deliverEvent(std::size_t Member,
                                    const ReplicationEvent &Event) {
  advanceMember(Member);
  runAndCheckMembership(Member, [&](ReplicatedLog::Effects &Effects) {
    log(Member).handle(Event, Now_, Effects);
  });
}

void ReplicationGroup::advanceMember(std::size_t Member) {
  runAndCheckMembership(Member, [&](ReplicatedLog::Effects &Effects) {
    log(Member).advance(Now_, Effects);
  });
}

/// Runs a call on a member and checks that a leader changes one voter at a
/// time, and only after the previous change was committed; otherwise majorities
/// need not intersect.
template <typename Function>
void ReplicationGroup::runAndCheckMembership(std::size_t Member,
                                             Function Call) {
  const ReplicatedLog &Log = log(Member);
  bool IsLeading = Log.isLeader();
  Term Before = Log.term();
  VoterSet Old = Log.members();
  LogIndex OldIndex = Log.entries().membersIndex();
  ReplicatedLog::Effects Effects;
  Call(Effects);
  if (IsLeading && Log.isLeader() && Log.term() == Before &&
      Log.entries().membersIndex() != OldIndex) {
    std::vector<Voter> Changed;
    const std::vector<Voter> &New = Log.members().Voters_;
    std::set_symmetric_difference(Old.Voters_.begin(), Old.Voters_.end(),
                                  New.begin(), New.end(),
                                  std::back_inserter(Changed));
    EXPECT_LE(Changed.size(), 1U);
    EXPECT_LE(OldIndex, Log.commitIndex());
  }
  performEffects(Member, std::move(Effects));
}

void ReplicationGroup::performEffects(std::size_t Member,
                                      ReplicatedLog::Effects Effects) {
  auto &Node = Members_[Member];
  for (ReplicationEffect &Effect : Effects)
    std::visit(
        Overloaded{
            [&](SendReplication &Sent) { transmit(Member, Sent); },
            [&](PersistLog &Write) {
              Persisted Done{Write.Sequence_};
              schedule(
                  std::chrono::milliseconds(5),
                  PendingEvent{
                      Member, Node.RunNumber_, {}, Done, std::move(Write)});
            },
            [&](ApplyCommand &Command) {
              apply(Member, Command.Index_, Command.Payload_);
            },
            [&](InstallSnapshot &Install) {
              ++Node.SnapshotsInstalled_;
              Node.Catalog_ = ConfigurationCatalog();
              Node.Applied_ = lines(Install.State_);
              for (const std::string &Key : Node.Applied_)
                (void)Node.Catalog_.apply(Changes_.at(Key));
            },
            [&](TakeSnapshot &Take) {
              std::string State;
              for (const std::string &Key : Node.Applied_)
                State += Key + "\n";
              // Pads the state beyond one piece; lines() ignores the padding.
              State.append(2 * ReplicatedLog::SnapshotPieceSize.value(), ' ');
              schedule(
                  Duration(0),
                  PendingEvent{Member,
                               Node.RunNumber_,
                               {},
                               SnapshotTaken{Take.Index_, std::move(State)},
                               {}});
            },
            [&](ProposalResponse &Response) {
              EXPECT_TRUE(
                  ProposalResponses_.emplace(Response.Id_, Response).second);
            },
            [&](ReadIndexResponse &Response) {
              EXPECT_TRUE(
                  ReadResponses_.emplace(Response.Id_, Response).second);
            },
            [&](MemberStopped &Stopped) {
              EXPECT_EQ(Stopped.Reason_.Code_, ErrorCode::Full)
                  << Stopped.Reason_.Message_;
            }},
        Effect);
}

void ReplicationGroup::transmit(std::size_t From, const SendReplication &Sent) {
  for (std::size_t To = 0; To < size(); ++To) {
    if (Members_[To].Id_ != Sent.To_)
      continue;
    // Of 30 messages one is lost, one duplicated and one delayed by up to 2 s.
    std::uint64_t FaultChoice = Random_.below(30);
    PendingEvent Scheduled{To, 0, From, Sent.Message_, {}};
    if (FaultChoice == 0)
      continue;
    if (FaultChoice == 1)
      schedule(randomDelay(2000000), Scheduled);
    schedule(randomDelay(FaultChoice == 2 ? 2000000 : 3000),
             std::move(Scheduled));
  }
}

void ReplicationGroup::apply(std::size_t Member, LogIndex Index,
                             const std::string &Payload) {
  auto &Node = Members_[Member];
  auto Known = Committed_.try_emplace(Index, Payload).first;
  ASSERT_EQ(Known->second, Payload) << "a committed change was replaced";
  Node.Applied_.push_back(Payload);
  const ConfigurationChange &Change = Changes_.at(Payload);
  auto Version = Node.Catalog_.apply(Change);
  if (!Version)
    return;
  auto AcceptedRequest =
      AcceptedRequests_.try_emplace(Version.value(), Change.RequestId_).first;
  ASSERT_EQ(AcceptedRequest->second, Change.RequestId_)
      << "two changes were accepted as one version";
}

void ReplicationGroup::expectAgreement() {
  std::vector<std::string> All;
  for (const auto &Committed : Committed_)
    All.push_back(Committed.second);
  for (std::size_t I = 0; I < size(); ++I) {
    if (isUp(I)) {
      EXPECT_EQ(Members_[I].Applied_, All) << "member " << I;
    }
  }
  for (const auto &[Id, Key] : Proposed_) {
    auto Found = ProposalResponses_.find(Id);
    if (Found != ProposalResponses_.end() && Found->second.Answer_) {
      EXPECT_EQ(Committed_[Found->second.Answer_.value()], Key);
    }
  }
}

void ReplicationGroup::schedule(Duration Delay, PendingEvent Scheduled) {
  Queue_.emplace(Now_ + Delay, std::move(Scheduled));
}

Duration ReplicationGroup::randomDelay(std::uint64_t MaxMicroseconds) {
  return Duration(static_cast<Duration::rep>(Random_.below(MaxMicroseconds)));
}

std::optional<std::size_t> ReplicationGroup::leader() const {
  std::optional<std::size_t> Best;
  for (std::size_t I = 0; I < size(); ++I)
    if (isUp(I) && Members_[I].Log_->isLeader() &&
        (!Best || Members_[I].Log_->term() > Members_[*Best].Log_->term()))
      Best = I;
  return Best;
}

ProposalId ReplicationGroup::propose(std::size_t Member,
                                     ConfigurationChange Change) {
  std::string Key = Change.RequestId_.text();
  Changes_.try_emplace(Key, std::move(Change));
  ProposalId Id(++LastId_);
  Proposed_.emplace(Id, Key);
  deliverEvent(Member, ProposalRequest{Id, Key});
  return Id;
}

ReadId ReplicationGroup::read(std::size_t Member) {
  ReadId Id(++LastId_);
  deliverEvent(Member, ReadIndexRequest{Id});
  return Id;
}

void ReplicationGroup::replace(std::size_t Leader,
                               std::optional<MemberId> Leaving,
                               MemberId Joining) {
  deliverEvent(Leader,
               ReplaceMemberRequest{ProposalId(++LastId_), std::move(Leaving),
                                    std::move(Joining)});
}

void ReplicationGroup::failSync(std::size_t Member) {
  deliverEvent(Member,
               PersistFailed{Error{ErrorCode::Full, "disk is full", {}}});
}

} // namespace jaybridge
