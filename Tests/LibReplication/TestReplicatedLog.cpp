#include "ReplicationGroup.h"

#include <Support/CaseName.h>

namespace jaybridge {
namespace {

constexpr auto WaitTimeout = std::chrono::seconds(20);

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
  void createGroup(std::size_t Size, std::uint64_t Seed = 1) {
    Group_ = std::make_unique<ReplicationGroup>(Size, Seed);
    ASSERT_TRUE(Group_->runUntil(WaitTimeout, [&] { return hasLeader(); }));
  }
  bool hasLeader() const { return Group_->leader().has_value(); }
  /// The follower with the lowest number after skipping the first Skipped ones.
  std::size_t follower(std::size_t Skipped = 0) const {
    for (std::size_t I = 0;; ++I)
      if (I != *Group_->leader() && Skipped-- == 0)
        return I;
  }
  bool isCommitted(ProposalId Id) const {
    auto Found = Group_->proposalResponses().find(Id);
    return Found != Group_->proposalResponses().end() &&
           Found->second.Answer_.hasValue();
  }
  /// Commits a new change, retrying when the leader changes.
  void commitChange() {
    std::string Id = "change-" + std::to_string(++Changes_);
    for (int Attempt = 0; Attempt < 40; ++Attempt) {
      if (!Group_->runUntil(WaitTimeout, [&] { return hasLeader(); }))
        break;
      std::size_t Leader = *Group_->leader();
      ProposalId Proposal = Group_->propose(
          Leader, change(Id, Group_->catalog(Leader).version()));
      Group_->runUntil(WaitTimeout, [&] {
        return Group_->proposalResponses().contains(Proposal);
      });
      if (isCommitted(Proposal))
        return;
    }
    FAIL() << "change " << Id << " was not committed";
  }
  void commitChanges(int Count) {
    for (int I = 0; I < Count && !HasFatalFailure(); ++I)
      commitChange();
  }
  void expectConvergence() {
    Group_->healAll();
    Group_->run(std::chrono::seconds(5));
    commitChange();
    Group_->run(std::chrono::seconds(5));
    Group_->expectAgreement();
  }
  void cutLinks(std::size_t Member, bool Inbound, bool Outbound) {
    for (std::size_t I = 0; I < Group_->size(); ++I) {
      Group_->setCut(I, Member, Inbound);
      Group_->setCut(Member, I, Outbound);
    }
  }
  /// Whether the member votes and sees no replacement in progress.
  bool isSettledVoter(std::size_t Member) const {
    return Group_->isUp(Member) && Group_->log(Member).isVoter() &&
           !Group_->log(Member).members().Replacement_;
  }

  std::unique_ptr<ReplicationGroup> Group_;
  int Changes_ = 0;
};

class GroupSizeTest : public ReplicatedLogTest,
                      public testing::WithParamInterface<std::size_t> {};

// Guards against members with empty folders that never form a log, and against
// committed changes that are lost when all members restart.
TEST_P(GroupSizeTest, FormsAndCommitsAndSurvivesFullRestart) {
  createGroup(GetParam());
  commitChanges(10);
  for (std::size_t I = 0; I < GetParam(); ++I)
    Group_->kill(I);
  expectConvergence();
  EXPECT_EQ(Group_->committed().size(), 11U);
}

INSTANTIATE_TEST_SUITE_P(Sizes, GroupSizeTest, testing::Values(1, 2, 3, 5));

struct PartitionCase {
  const char *Name_;
  bool Inbound_;
  bool Outbound_;
};

class PartitionedLeaderTest
    : public ReplicatedLogTest,
      public testing::WithParamInterface<PartitionCase> {};

// Guards against an old leader that accepts changes or serves stale reads after
// it was cut off and the majority has elected a new leader.
TEST_P(PartitionedLeaderTest, AcceptsNoChangesAndServesNoReads) {
  createGroup(3);
  commitChanges(3);
  std::size_t Old = *Group_->leader();
  cutLinks(Old, GetParam().Inbound_, GetParam().Outbound_);
  ReadId Read = Group_->read(Old);
  ProposalId Proposal = Group_->propose(Old, change("old", {}));
  ASSERT_TRUE(Group_->runUntil(WaitTimeout, [&] {
    return hasLeader() && *Group_->leader() != Old &&
           !Group_->log(Old).isLeader();
  }));
  commitChanges(3);
  ASSERT_TRUE(Group_->readResponses().contains(Read));
  ASSERT_TRUE(Group_->proposalResponses().contains(Proposal));
  EXPECT_FALSE(Group_->readResponses().at(Read).Answer_);
  EXPECT_FALSE(isCommitted(Proposal));
  EXPECT_FALSE(Group_->readResponses().at(Group_->read(Old)).Answer_);
  EXPECT_FALSE(isCommitted(Group_->propose(Old, change("late", {}))));
  expectConvergence();
}

INSTANTIATE_TEST_SUITE_P(Cuts, PartitionedLeaderTest,
                         testing::Values(PartitionCase{"BothWays", true, true},
                                         PartitionCase{"Inbound", true, false},
                                         PartitionCase{"Outbound", false,
                                                       true}),
                         CaseName());

// Guards against a read that misses a change committed before the read was
// requested.
TEST_F(ReplicatedLogTest, AnswersReadsWithTheCommittedIndex) {
  createGroup(3);
  commitChanges(5);
  std::size_t Leader = *Group_->leader();
  LogIndex Committed = Group_->log(Leader).commitIndex();
  ReadId Read = Group_->read(Leader);
  Group_->run(std::chrono::seconds(1));
  ASSERT_TRUE(Group_->readResponses().contains(Read));
  ASSERT_TRUE(Group_->readResponses().at(Read).Answer_);
  EXPECT_GE(Group_->readResponses().at(Read).Answer_.value(), Committed);
}

// Guards against a leader that resumes after a freeze and acts as leader before
// it has checked its contact with a majority.
TEST_F(ReplicatedLogTest, StepsDownAfterFreeze) {
  createGroup(3);
  std::size_t Old = *Group_->leader();
  Group_->setFrozen(Old, true);
  Group_->run(std::chrono::seconds(5));
  Group_->setFrozen(Old, false);
  EXPECT_FALSE(isCommitted(Group_->propose(Old, change("old", {}))));
  EXPECT_FALSE(Group_->readResponses().at(Group_->read(Old)).Answer_);
  expectConvergence();
}

// Guards against a member that never catches up because the leader has already
// compacted the entries that it missed.
TEST_F(ReplicatedLogTest, CatchesUpBySnapshotAfterHundredsOfChanges) {
  createGroup(3);
  commitChanges(3);
  std::size_t Behind = follower();
  Group_->kill(Behind);
  commitChanges(700);
  EXPECT_GT(Group_->log(*Group_->leader()).entries().firstIndex(),
            LogIndex(100));
  expectConvergence();
  EXPECT_GE(Group_->snapshotsInstalled(Behind), 1U);
}

// Guards against a log that is never compacted and grows with the number of
// changes.
TEST_F(ReplicatedLogTest, CompactsItsLog) {
  createGroup(1);
  commitChanges(2000);
  EXPECT_LE(Group_->log(0).entries().size(), 256U + 128U + 1U);
}

// Guards against a lost change: of the two members that stored it, one is down
// and the other one lost its disk. The latter must not vote for the third
// member, which missed the change.
TEST_F(ReplicatedLogTest, MemberWithEmptyFolderDoesNotVote) {
  createGroup(3);
  std::size_t Missing = follower(0);
  std::size_t Lost = follower(1);
  Group_->kill(Missing);
  commitChanges(3);
  std::size_t Holder = *Group_->leader();
  Group_->kill(Holder);
  Group_->kill(Lost);
  Group_->loseDisk(Lost);
  Group_->start(Lost);
  Group_->start(Missing);
  EXPECT_FALSE(Group_->runUntil(WaitTimeout, [&] { return hasLeader(); }));
  Group_->start(Holder);
  ASSERT_TRUE(
      Group_->runUntil(WaitTimeout, [&] { return isSettledVoter(Lost); }));
  expectConvergence();
  EXPECT_EQ(Group_->committed().size(), 4U);
}

// Guards against lost changes when a second VM fails right after the first one
// was repaired.
TEST_F(ReplicatedLogTest, ReplacesLostDiskAndSurvivesSecondLoss) {
  createGroup(3);
  commitChanges(400);
  for (int Round = 0; Round < 3; ++Round) {
    std::size_t Lost = follower();
    Group_->kill(Lost);
    Group_->loseDisk(Lost);
    Group_->start(Lost);
    ASSERT_TRUE(Group_->runUntil(WaitTimeout, [&] {
      return isSettledVoter(Lost) &&
             Group_->log(Lost).members().Voters_.size() == 3;
    }));
    std::size_t Second = *Group_->leader();
    Group_->kill(Second);
    commitChanges(2);
    Group_->start(Second);
    Group_->run(std::chrono::seconds(2));
  }
  expectConvergence();
}

// Guards against a replacement after which the old member still votes or the
// new one lacks the log.
TEST_F(ReplicatedLogTest, ReplacesDeadMemberByNewOne) {
  createGroup(3);
  commitChanges(3);
  std::size_t Dead = follower();
  Group_->kill(Dead);
  std::size_t Added = Group_->addMember();
  Group_->run(std::chrono::seconds(2));
  Group_->replace(*Group_->leader(), ReplicationGroup::id(Dead),
                  ReplicationGroup::id(Added));
  ASSERT_TRUE(
      Group_->runUntil(WaitTimeout, [&] { return isSettledVoter(Added); }));
  EXPECT_FALSE(
      Group_->log(Added).members().findVoter(ReplicationGroup::id(Dead)));
  commitChanges(3);
  for (std::size_t I = 0; I < 3; ++I)
    if (I != Dead && I != *Group_->leader()) {
      Group_->kill(I);
      break;
    }
  commitChanges(3);
}

// Guards against a proposal that is answered as committed although its sync
// failed.
TEST_F(ReplicatedLogTest, FailedSyncStopsMemberAndFailsProposals) {
  createGroup(3);
  commitChanges(2);
  std::size_t Failing = *Group_->leader();
  ProposalId Proposal = Group_->propose(Failing, change("full", {}));
  Group_->failSync(Failing);
  ASSERT_TRUE(Group_->proposalResponses().contains(Proposal));
  const Error &Reason =
      Group_->proposalResponses().at(Proposal).Answer_.error();
  EXPECT_NE(Reason.Message_.find("disk is full"), std::string::npos);
  EXPECT_TRUE(Group_->log(Failing).isStopped());
  ASSERT_TRUE(Group_->runUntil(WaitTimeout, [&] { return hasLeader(); }));
  commitChanges(2);
}

// Guards against answers that acknowledge entries which the leader does not
// have.
TEST_F(ReplicatedLogTest, IgnoresAnswersBeyondItsLog) {
  createGroup(3);
  std::size_t Leader = *Group_->leader();
  ReplicatedLog &Log = Group_->log(Leader);
  LogIndex CommitBefore = Log.commitIndex();
  for (const Voter &Sender : Log.members().Voters_) {
    ReplicatedLog::Effects Effects;
    Log.handle(ReplicationMessage{Sender, Log.term(),
                                  AppendAnswer{true, LogIndex(1000000),
                                               ReplicationRound(1)}},
               TimePoint{}, Effects);
  }
  EXPECT_EQ(Log.commitIndex(), CommitBefore);
}

} // namespace
} // namespace jaybridge
