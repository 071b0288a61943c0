#include "ReplicationGroup.h"

#include <algorithm>
#include <iterator>

namespace jaybridge {

namespace {

std::vector<std::string> lines(const std::string &Text) {
  std::vector<std::string> Parts;
  std::size_t Start = 0;
  for (std::size_t End; (End = Text.find('\n', Start)) != std::string::npos;
       Start = End + 1)
    Parts.push_back(Text.substr(Start, End - Start));
  return Parts;
}

/// Writes as a data folder does: a snapshot replaces all earlier writes.
void write(std::vector<PersistLog> &Disk, PersistLog Write) {
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
  ++Members_[Member].Run_;
  setFrozen(Member, false);
}

void ReplicationGroup::start(std::size_t Member) {
  auto &M = Members_[Member];
  ASSERT_FALSE(M.Log_);
  ReplicationSettings Settings;
  Settings.Self_ = M.Id_;
  Settings.Members_ = Configured_;
  auto Created =
      ReplicatedLog::create(Settings, recover(M.Generation_, M.Disk_),
                            RandomSeed(Random_.next()), Now_);
  ASSERT_TRUE(Created) << Created.error().Message_;
  M.Log_ = std::make_unique<ReplicatedLog>(Created.takeValue());
  M.Catalog_ = ConfigurationCatalog();
  M.Applied_.clear();
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
    Cuts_.insert({From, To});
  else
    Cuts_.erase({From, To});
}

void ReplicationGroup::healAll() {
  Cuts_.clear();
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
      Pending Item = std::move(Queue_.begin()->second);
      Queue_.erase(Queue_.begin());
      deliver(std::move(Item));
    } else if (Due) {
      Now_ = Next;
      wake(*Due);
    } else {
      break;
    }
  }
  Now_ = End;
}

void ReplicationGroup::deliver(Pending Item) {
  auto &M = Members_[Item.To_];
  if (Item.From_ ? Cuts_.contains({*Item.From_, Item.To_})
                 : Item.Run_ != M.Run_)
    return;
  if (Item.Write_)
    write(M.Disk_, std::move(*Item.Write_));
  Item.Write_.reset();
  if (!M.Log_)
    return;
  if (M.IsFrozen_)
    return later(std::chrono::milliseconds(50), std::move(Item));
  give(Item.To_, Item.Event_);
}

void ReplicationGroup::give(std::size_t Member, const ReplicationEvent &Event) {
  wake(Member);
  observe(Member, [&](ReplicatedLog::Effects &Effects) {
    log(Member).handle(Event, Now_, Effects);
  });
}

void ReplicationGroup::wake(std::size_t Member) {
  observe(Member, [&](ReplicatedLog::Effects &Effects) {
    log(Member).advance(Now_, Effects);
  });
}

/// A leader may change one voter at a time, and only after the change before it
/// was committed; otherwise majorities need not intersect.
template <typename Function>
void ReplicationGroup::observe(std::size_t Member, Function Call) {
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
  perform(Member, std::move(Effects));
}

void ReplicationGroup::perform(std::size_t Member,
                               ReplicatedLog::Effects Effects) {
  auto &M = Members_[Member];
  for (ReplicationEffect &Effect : Effects)
    std::visit(
        Overloaded{
            [&](SendReplication &Sent) { transmit(Member, Sent); },
            [&](PersistLog &Write) {
              Persisted Done{Write.Sequence_};
              later(std::chrono::milliseconds(5),
                    Pending{Member, M.Run_, {}, Done, std::move(Write)});
            },
            [&](ApplyCommand &Commit) {
              apply(Member, Commit.Index_, Commit.Payload_);
            },
            [&](InstallSnapshot &Install) {
              ++M.SnapshotsInstalled_;
              M.Catalog_ = ConfigurationCatalog();
              M.Applied_ = lines(Install.State_);
              for (const std::string &Each : M.Applied_)
                (void)M.Catalog_.apply(Changes_.at(Each));
            },
            [&](TakeSnapshot &Take) {
              std::string State;
              for (const std::string &Each : M.Applied_)
                State += Each + "\n";
              // Longer than one piece; what follows the last line is ignored.
              State.append(2 * ReplicatedLog::SnapshotPieceSize.value(), ' ');
              later(Duration(0),
                    Pending{Member,
                            M.Run_,
                            {},
                            SnapshotTaken{Take.Index_, std::move(State)},
                            {}});
            },
            [&](ProposalAnswer &Answer) {
              EXPECT_TRUE(Answers_.emplace(Answer.Id_, Answer).second);
            },
            [&](ReadAnswer &Answer) {
              EXPECT_TRUE(ReadAnswers_.emplace(Answer.Id_, Answer).second);
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
    // One message in ten is lost late, delayed for long or duplicated.
    std::uint64_t Fate = Random_.below(30);
    Pending Item{To, 0, From, Sent.Message_, {}};
    if (Fate == 0)
      continue;
    if (Fate == 1)
      later(delay(2000000), Item);
    later(delay(Fate == 2 ? 2000000 : 3000), std::move(Item));
  }
}

void ReplicationGroup::apply(std::size_t Member, LogIndex Index,
                             const std::string &Payload) {
  auto &M = Members_[Member];
  auto Known = Committed_.try_emplace(Index, Payload).first;
  ASSERT_EQ(Known->second, Payload) << "a committed change was replaced";
  M.Applied_.push_back(Payload);
  const ConfigurationChange &Change = Changes_.at(Payload);
  auto Version = M.Catalog_.apply(Change);
  if (!Version)
    return;
  auto Winner = Winners_.try_emplace(Version.value(), Change.RequestId_).first;
  ASSERT_EQ(Winner->second, Change.RequestId_) << "two winners of one version";
}

void ReplicationGroup::expectAgreement() {
  std::vector<std::string> All;
  for (const auto &Each : Committed_)
    All.push_back(Each.second);
  for (std::size_t I = 0; I < size(); ++I) {
    if (isUp(I)) {
      EXPECT_EQ(Members_[I].Applied_, All) << "member " << I;
    }
  }
  for (const auto &[Id, Key] : Proposed_) {
    auto Found = Answers_.find(Id);
    if (Found != Answers_.end() && Found->second.Answer_) {
      EXPECT_EQ(Committed_[Found->second.Answer_.value()], Key);
    }
  }
}

void ReplicationGroup::later(Duration Delay, Pending Item) {
  Queue_.emplace(Now_ + Delay, std::move(Item));
}

Duration ReplicationGroup::delay(std::uint64_t GreatestMicroseconds) {
  return Duration(
      static_cast<Duration::rep>(Random_.below(GreatestMicroseconds)));
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
  ProposalId Id(++Numbers_);
  Proposed_.emplace(Id, Key);
  give(Member, Propose{Id, Key});
  return Id;
}

ReadId ReplicationGroup::read(std::size_t Member) {
  ReadId Id(++Numbers_);
  give(Member, ReadIndex{Id});
  return Id;
}

void ReplicationGroup::replace(std::size_t Leader,
                               std::optional<MemberId> Leaving,
                               MemberId Joining) {
  give(Leader, ReplaceMember{ProposalId(++Numbers_), std::move(Leaving),
                             std::move(Joining)});
}

void ReplicationGroup::failSync(std::size_t Member) {
  give(Member, PersistFailed{Error{ErrorCode::Full, "disk is full", {}}});
}

} // namespace jaybridge
