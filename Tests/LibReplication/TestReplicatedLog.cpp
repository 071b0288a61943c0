#include "ReplicationGroup.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

constexpr auto Soon = std::chrono::seconds(20);

ConfigurationChange change(const std::string &Id,
                           ConfigurationVersion BasedOn) {
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("tickets");
  ConfigurationAction Action = UpdateProfile{Draft};
  if (BasedOn == ConfigurationVersion())
    Action = CreateProfile{Draft};
  return ConfigurationChange{ChangeRequestId(Id), BasedOn,
                             OperatorName("Aminah"), WallTime{}, Action};
}

class ReplicatedLogTest : public testing::Test {
protected:
  void make(std::size_t Size, std::uint64_t Seed = 1) {
    Group_ = std::make_unique<ReplicationGroup>(Size, Seed);
    ASSERT_TRUE(Group_->runUntil(Soon, [&] { return hasLeader(); }));
  }
  bool hasLeader() const { return Group_->leader().has_value(); }
  /// A member other than the current leader; Skip further ones are passed over.
  std::size_t follower(std::size_t Skip = 0) const {
    for (std::size_t I = 0;; ++I)
      if (I != *Group_->leader() && Skip-- == 0)
        return I;
  }
  bool isCommitted(ProposalId Id) const {
    auto Found = Group_->answers().find(Id);
    return Found != Group_->answers().end() && Found->second.Answer_.hasValue();
  }
  /// Commits a new change, whoever leads meanwhile.
  void commitOne() {
    std::string Id = "change-" + std::to_string(++Changes_);
    for (int Attempt = 0; Attempt < 40; ++Attempt) {
      if (!Group_->runUntil(Soon, [&] { return hasLeader(); }))
        break;
      std::size_t Leader = *Group_->leader();
      ProposalId Proposal = Group_->propose(
          Leader, change(Id, Group_->catalog(Leader).version()));
      Group_->runUntil(Soon,
                       [&] { return Group_->answers().contains(Proposal); });
      if (isCommitted(Proposal))
        return;
    }
    FAIL() << "change " << Id << " was not committed";
  }
  void commitMany(int Count) {
    for (int I = 0; I < Count && !HasFatalFailure(); ++I)
      commitOne();
  }
  void expectConvergence() {
    Group_->healAll();
    Group_->run(std::chrono::seconds(5));
    commitOne();
    Group_->run(std::chrono::seconds(5));
    Group_->expectAgreement();
  }
  void cutOff(std::size_t Member, bool Inbound, bool Outbound) {
    for (std::size_t I = 0; I < Group_->size(); ++I) {
      Group_->setCut(I, Member, Inbound);
      Group_->setCut(Member, I, Outbound);
    }
  }
  bool votes(std::size_t Member) const {
    return Group_->isUp(Member) && Group_->log(Member).isVoter() &&
           !Group_->log(Member).members().Replacement_;
  }

  std::unique_ptr<ReplicationGroup> Group_;
  int Changes_ = 0;
};

class GroupSizeTest : public ReplicatedLogTest,
                      public testing::WithParamInterface<std::size_t> {};

// Guards against a group of empty folders that never starts, and against
// committed changes that are gone after all members restarted.
TEST_P(GroupSizeTest, FormsCommitsAndSurvivesRestartOfAll) {
  make(GetParam());
  commitMany(10);
  for (std::size_t I = 0; I < GetParam(); ++I)
    Group_->kill(I);
  expectConvergence();
  EXPECT_EQ(Group_->committed().size(), 11U);
}

INSTANTIATE_TEST_SUITE_P(Sizes, GroupSizeTest, testing::Values(1, 2, 3, 5));

struct CutCase {
  const char *Name_;
  bool Inbound_;
  bool Outbound_;
};

class CutLeaderTest : public ReplicatedLogTest,
                      public testing::WithParamInterface<CutCase> {};

// Guards against an old leader that accepts changes or serves reads as current
// while a majority goes on without it.
TEST_P(CutLeaderTest, AcceptsNoChangeAndServesNoRead) {
  make(3);
  commitMany(3);
  std::size_t Old = *Group_->leader();
  cutOff(Old, GetParam().Inbound_, GetParam().Outbound_);
  ReadId Read = Group_->read(Old);
  ProposalId Proposal = Group_->propose(Old, change("old", {}));
  ASSERT_TRUE(Group_->runUntil(Soon, [&] {
    return hasLeader() && *Group_->leader() != Old &&
           !Group_->log(Old).isLeader();
  }));
  commitMany(3);
  ASSERT_TRUE(Group_->reads().contains(Read));
  ASSERT_TRUE(Group_->answers().contains(Proposal));
  EXPECT_FALSE(Group_->reads().at(Read).Answer_);
  EXPECT_FALSE(isCommitted(Proposal));
  EXPECT_FALSE(Group_->reads().at(Group_->read(Old)).Answer_);
  EXPECT_FALSE(isCommitted(Group_->propose(Old, change("late", {}))));
  expectConvergence();
}

INSTANTIATE_TEST_SUITE_P(Cuts, CutLeaderTest,
                         testing::Values(CutCase{"BothWays", true, true},
                                         CutCase{"Inbound", true, false},
                                         CutCase{"Outbound", false, true}),
                         CaseName());

// Guards against a read that misses a change committed before it was asked for.
TEST_F(ReplicatedLogTest, AnswersReadsWithTheCommittedIndex) {
  make(3);
  commitMany(5);
  std::size_t Leader = *Group_->leader();
  LogIndex Committed = Group_->log(Leader).commitIndex();
  ReadId Read = Group_->read(Leader);
  Group_->run(std::chrono::seconds(1));
  ASSERT_TRUE(Group_->reads().contains(Read));
  ASSERT_TRUE(Group_->reads().at(Read).Answer_);
  EXPECT_GE(Group_->reads().at(Read).Answer_.value(), Committed);
}

// Guards against a leader that was frozen and goes on as if no time had passed.
TEST_F(ReplicatedLogTest, StepsDownAfterAFreeze) {
  make(3);
  std::size_t Old = *Group_->leader();
  Group_->setFrozen(Old, true);
  Group_->run(std::chrono::seconds(5));
  Group_->setFrozen(Old, false);
  EXPECT_FALSE(isCommitted(Group_->propose(Old, change("old", {}))));
  EXPECT_FALSE(Group_->reads().at(Group_->read(Old)).Answer_);
  expectConvergence();
}

// Guards against a member that stays behind when the entries that it missed are
// no longer in the leader's log.
TEST_F(ReplicatedLogTest, CatchesUpBySnapshotAfterHundredsOfChanges) {
  make(3);
  commitMany(3);
  std::size_t Behind = follower();
  Group_->kill(Behind);
  commitMany(700);
  EXPECT_GT(Group_->log(*Group_->leader()).entries().firstIndex(),
            LogIndex(100));
  expectConvergence();
  EXPECT_GE(Group_->snapshotsInstalled(Behind), 1U);
}

// Guards against memory that grows with the number of changes.
TEST_F(ReplicatedLogTest, TrimsItsLog) {
  make(1);
  commitMany(2000);
  EXPECT_LE(Group_->log(0).entries().size(), 256U + 128U + 1U);
}

// Guards against a lost change: the only other holder of it lost its disk and
// must not elect the member that missed it.
TEST_F(ReplicatedLogTest, EmptyFolderDoesNotVote) {
  make(3);
  std::size_t Missing = follower(0);
  std::size_t Lost = follower(1);
  Group_->kill(Missing);
  commitMany(3);
  std::size_t Holder = *Group_->leader();
  Group_->kill(Holder);
  Group_->kill(Lost);
  Group_->loseDisk(Lost);
  Group_->start(Lost);
  Group_->start(Missing);
  EXPECT_FALSE(Group_->runUntil(Soon, [&] { return hasLeader(); }));
  Group_->start(Holder);
  ASSERT_TRUE(Group_->runUntil(Soon, [&] { return votes(Lost); }));
  expectConvergence();
  EXPECT_EQ(Group_->committed().size(), 4U);
}

// Guards against the loss of a second VM right after the first was repaired.
TEST_F(ReplicatedLogTest, LostDiskIsReplacedAndASecondLossSurvived) {
  make(3);
  commitMany(400);
  for (int Round = 0; Round < 3; ++Round) {
    std::size_t Lost = follower();
    Group_->kill(Lost);
    Group_->loseDisk(Lost);
    Group_->start(Lost);
    ASSERT_TRUE(Group_->runUntil(Soon, [&] {
      return votes(Lost) && Group_->log(Lost).members().Voters_.size() == 3;
    }));
    std::size_t Second = *Group_->leader();
    Group_->kill(Second);
    commitMany(2);
    Group_->start(Second);
    Group_->run(std::chrono::seconds(2));
  }
  expectConvergence();
}

// Guards against a replacement that leaves the old member voting or the new one
// without the log.
TEST_F(ReplicatedLogTest, ReplacesADeadMemberByANewOne) {
  make(3);
  commitMany(3);
  std::size_t Dead = follower();
  Group_->kill(Dead);
  std::size_t Added = Group_->addMember();
  Group_->run(std::chrono::seconds(2));
  Group_->replace(*Group_->leader(), ReplicationGroup::id(Dead),
                  ReplicationGroup::id(Added));
  ASSERT_TRUE(Group_->runUntil(Soon, [&] { return votes(Added); }));
  EXPECT_FALSE(
      Group_->log(Added).members().findVoter(ReplicationGroup::id(Dead)));
  commitMany(3);
  for (std::size_t I = 0; I < 3; ++I)
    if (I != Dead && I != *Group_->leader()) {
      Group_->kill(I);
      break;
    }
  commitMany(3);
}

// Guards against an answer that is given although the change was not synced.
TEST_F(ReplicatedLogTest, FailedSyncStopsTheMemberAndAnswers) {
  make(3);
  commitMany(2);
  std::size_t Failing = *Group_->leader();
  ProposalId Proposal = Group_->propose(Failing, change("full", {}));
  Group_->failSync(Failing);
  ASSERT_TRUE(Group_->answers().contains(Proposal));
  const Error &Reason = Group_->answers().at(Proposal).Answer_.error();
  EXPECT_NE(Reason.Message_.find("disk is full"), std::string::npos);
  EXPECT_TRUE(Group_->log(Failing).isStopped());
  ASSERT_TRUE(Group_->runUntil(Soon, [&] { return hasLeader(); }));
  commitMany(2);
}

// Guards against messages from members that claim impossible positions.
TEST_F(ReplicatedLogTest, IgnoresAnswersBeyondItsLog) {
  make(3);
  std::size_t Leader = *Group_->leader();
  ReplicatedLog &Log = Group_->log(Leader);
  LogIndex Before = Log.commitIndex();
  for (const Voter &Each : Log.members().Voters_) {
    ReplicatedLog::Effects Effects;
    Log.handle(ReplicationMessage{Each, Log.term(),
                                  AppendAnswer{true, LogIndex(1000000),
                                               ReplicationRound(1)}},
               TimePoint{}, Effects);
  }
  EXPECT_EQ(Log.commitIndex(), Before);
}

} // namespace
} // namespace jaybridge
