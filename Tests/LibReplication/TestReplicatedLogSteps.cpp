#include <LibReplication/ReplicatedLog.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

Voter voter(std::uint64_t Number) {
  return Voter{MemberId("vm-" + std::to_string(Number)),
               FolderGeneration(100 + Number)};
}

/// One member, vm-0, driven by hand; storage answers at once.
class ReplicatedLogStepsTest : public testing::Test {
protected:
  void make(RecoveredLog Recovered) {
    Recovered.Generation_ = voter(0).Generation_;
    ReplicationSettings Settings;
    Settings.Self_ = voter(0).Id_;
    Settings.Members_ = {voter(1).Id_, voter(2).Id_};
    auto Created = ReplicatedLog::create(Settings, std::move(Recovered),
                                         RandomSeed(1), Now_);
    ASSERT_TRUE(Created) << Created.error().Message_;
    Log_.emplace(Created.takeValue());
  }
  /// A log with the first voters and one command of term 2.
  void makeWithCommand() {
    RecoveredLog Recovered;
    Recovered.Vote_ = TermVote{Term(2), std::nullopt};
    Recovered.Entries_ = {
        {LogIndex(1), Term(1), VoterSet{{voter(0), voter(1), voter(2)}, {}}},
        {LogIndex(2), Term(2), LogCommand{"old"}}};
    make(std::move(Recovered));
  }
  void give(const ReplicationEvent &Event) {
    ReplicatedLog::Effects Effects;
    Log_->handle(Event, Now_, Effects);
    keep(std::move(Effects));
  }
  void wait(Duration Span) {
    Now_ += Span;
    ReplicatedLog::Effects Effects;
    Log_->advance(Now_, Effects);
    keep(std::move(Effects));
  }
  void keep(ReplicatedLog::Effects Effects) {
    for (ReplicationEffect &Each : Effects) {
      std::optional<PersistSequence> Written;
      if (const auto *Write = std::get_if<PersistLog>(&Each))
        Written = Write->Sequence_;
      Seen_.push_back(std::move(Each));
      if (Written && IsStorageWorking_)
        give(Persisted{*Written});
    }
  }
  void receive(std::uint64_t From, ReplicationBody Body) {
    give(ReplicationMessage{voter(From), Log_->term(), std::move(Body)});
  }
  void lead() {
    makeWithCommand();
    wait(std::chrono::seconds(2));
    receive(1, VoteAnswer{true, true, Log_->term().next()});
    receive(1, VoteAnswer{false, true, Log_->term()});
    ASSERT_TRUE(Log_->isLeader());
    wait(std::chrono::milliseconds(1));
  }
  /// Round of the latest request that was sent to a member.
  ReplicationRound lastRoundTo(std::uint64_t Member) const {
    ReplicationRound Last;
    for (const ReplicationEffect &Each : Seen_)
      if (const auto *Sent = std::get_if<SendReplication>(&Each);
          Sent && Sent->To_ == voter(Member).Id_)
        if (const auto *Request =
                std::get_if<AppendRequest>(&Sent->Message_.Body_))
          Last = Request->Round_;
    return Last;
  }
  template <typename Body> std::size_t countSent() const {
    return static_cast<std::size_t>(
        std::count_if(Seen_.begin(), Seen_.end(), [](const auto &Each) {
          const auto *Sent = std::get_if<SendReplication>(&Each);
          return Sent && std::holds_alternative<Body>(Sent->Message_.Body_);
        }));
  }

  TimePoint Now_{};
  std::optional<ReplicatedLog> Log_;
  ReplicatedLog::Effects Seen_;
  bool IsStorageWorking_ = true;
};

// Guards against a commit that a later leader can undo: an entry of an earlier
// term counts only once an entry of this term is stored by a majority.
TEST_F(ReplicatedLogStepsTest, DoesNotCommitEarlierTermsByCounting) {
  lead();
  receive(1, AppendAnswer{true, LogIndex(2), ReplicationRound(1)});
  EXPECT_EQ(Log_->commitIndex(), LogIndex(0));
  receive(1, AppendAnswer{true, LogIndex(3), ReplicationRound(1)});
  EXPECT_EQ(Log_->commitIndex(), LogIndex(3));
}

// Guards against a recovered state that is announced only at the next event, or
// a deadline outside the range of the process's clock.
TEST_F(ReplicatedLogStepsTest, WantsToBeCalledAtOnceAfterItsCreation) {
  Now_ += std::chrono::hours(9);
  makeWithCommand();
  EXPECT_EQ(Log_->nextDeadline(), Now_);
  wait(Duration(0));
  EXPECT_GT(Log_->nextDeadline(), Now_);
}

// Guards against a vote that is sent before it is synced and could be given
// again to another candidate after a restart.
TEST_F(ReplicatedLogStepsTest, VotesOnlyAfterTheSync) {
  makeWithCommand();
  IsStorageWorking_ = false;
  give(ReplicationMessage{voter(1), Term(3),
                          VoteRequest{false, LogIndex(2), Term(2)}});
  EXPECT_EQ(countSent<VoteAnswer>(), 0U);
  give(Persisted{PersistSequence(2)});
  EXPECT_EQ(countSent<VoteAnswer>(), 1U);
}

// Guards against entries that are acknowledged before they are synced.
TEST_F(ReplicatedLogStepsTest, AcknowledgesOnlyAfterTheSync) {
  makeWithCommand();
  IsStorageWorking_ = false;
  give(ReplicationMessage{
      voter(1), Term(2),
      AppendRequest{LogIndex(2),
                    Term(2),
                    {{LogIndex(3), Term(2), LogCommand{"new"}}},
                    LogIndex(1),
                    ReplicationRound(1)}});
  EXPECT_EQ(countSent<AppendAnswer>(), 0U);
  give(Persisted{PersistSequence(1)});
  EXPECT_EQ(countSent<AppendAnswer>(), 1U);
}

// Guards against a leader that counts itself before its own entry is synced.
TEST_F(ReplicatedLogStepsTest, CountsItselfOnlyAfterTheSync) {
  lead();
  receive(1, AppendAnswer{true, LogIndex(3), ReplicationRound(1)});
  IsStorageWorking_ = false;
  give(Propose{ProposalId(1), "new"});
  receive(1, AppendAnswer{true, LogIndex(4), ReplicationRound(1)});
  EXPECT_EQ(Log_->commitIndex(), LogIndex(3));
  receive(2, AppendAnswer{true, LogIndex(4), ReplicationRound(1)});
  EXPECT_EQ(Log_->commitIndex(), LogIndex(4));
}

// Guards against a member whose folder was set back behind what it had
// acknowledged and that goes on voting.
TEST_F(ReplicatedLogStepsTest, TellsAMemberThatItsFolderLostEntries) {
  lead();
  receive(1, AppendAnswer{true, LogIndex(3), ReplicationRound(1)});
  receive(1, AppendAnswer{false, LogIndex(2), ReplicationRound(1)});
  EXPECT_EQ(countSent<FolderOutdated>(), 0U) << "late answer";
  wait(std::chrono::milliseconds(200));
  receive(1, AppendAnswer{false, LogIndex(2), lastRoundTo(1)});
  EXPECT_EQ(countSent<FolderOutdated>(), 1U);
  receive(2, FolderOutdated{});
  EXPECT_TRUE(Log_->isStopped());
  give(Propose{ProposalId(7), "late"});
  EXPECT_TRUE(std::holds_alternative<ProposalAnswer>(Seen_.back()));
}

// Guards against a second log beside one that exists: a configured member that
// holds entries must be waited for.
TEST_F(ReplicatedLogStepsTest, FormsALogOnlyWhenAllFoldersAreEmpty) {
  make(RecoveredLog{});
  receive(1, JoinRequest{false});
  receive(2, JoinRequest{true});
  EXPECT_TRUE(Log_->entries().isEmpty());
  receive(1, JoinRequest{true});
  EXPECT_EQ(Log_->entries().lastIndex(), LogIndex(1));
  EXPECT_EQ(countSent<FormationOffer>(), 2U);
}

// Guards against a new log after the configured members were heard long ago.
TEST_F(ReplicatedLogStepsTest, FormsNoLogFromOldRequests) {
  make(RecoveredLog{});
  receive(1, JoinRequest{true});
  wait(std::chrono::seconds(5));
  receive(2, JoinRequest{true});
  EXPECT_TRUE(Log_->entries().isEmpty());
}

// Guards against a read that misses what an earlier leader committed: before an
// entry of its own term is committed, a leader does not know.
TEST_F(ReplicatedLogStepsTest, ReadsWaitForACommitOfTheOwnTerm) {
  lead();
  // Four requests were sent before it; the next two confirm the read.
  give(ReadIndex{ReadId(1)});
  receive(1, AppendAnswer{true, LogIndex(2), ReplicationRound(6)});
  auto IsRead = [](const auto &Each) {
    return std::holds_alternative<ReadAnswer>(Each);
  };
  EXPECT_EQ(std::count_if(Seen_.begin(), Seen_.end(), IsRead), 0);
  receive(1, AppendAnswer{true, LogIndex(3), ReplicationRound(6)});
  EXPECT_EQ(std::count_if(Seen_.begin(), Seen_.end(), IsRead), 1);
}

// Guards against an answer to a request of an earlier term that confirms a read
// of the present term.
TEST_F(ReplicatedLogStepsTest, AnswersOfEarlierTermsCarryNoRound) {
  makeWithCommand();
  give(ReplicationMessage{
      voter(1), Term(1),
      AppendRequest{
          LogIndex(1), Term(1), {}, LogIndex(1), ReplicationRound(50)}});
  const auto *Sent = std::get_if<SendReplication>(&Seen_.back());
  ASSERT_NE(Sent, nullptr);
  EXPECT_EQ(std::get<AppendAnswer>(Sent->Message_.Body_).Round_,
            ReplicationRound());
}

// Guards against a member with a broken link that deposes a leader which the
// others hear.
TEST_F(ReplicatedLogStepsTest, KeepsTheLeaderThatItHears) {
  makeWithCommand();
  give(ReplicationMessage{
      voter(1), Term(2),
      AppendRequest{
          LogIndex(2), Term(2), {}, LogIndex(1), ReplicationRound(1)}});
  for (bool IsPreVote : {true, false}) {
    give(ReplicationMessage{voter(2), Term(9),
                            VoteRequest{IsPreVote, LogIndex(9), Term(9)}});
    const auto *Sent = std::get_if<SendReplication>(&Seen_.back());
    ASSERT_NE(Sent, nullptr);
    EXPECT_FALSE(std::get<VoteAnswer>(Sent->Message_.Body_).IsGranted_);
    EXPECT_EQ(Log_->term(), Term(2));
  }
}

// Guards against changes that fill the memory while no majority answers.
TEST_F(ReplicatedLogStepsTest, BoundsWhatIsPending) {
  lead();
  for (std::uint64_t I = 0; I < 3000; ++I)
    give(Propose{ProposalId(I), "change"});
  EXPECT_LE(Log_->entries().size(), ReplicatedLog::GreatestUncommitted + 3);
  const auto *Answer = std::get_if<ProposalAnswer>(&Seen_.back());
  ASSERT_NE(Answer, nullptr);
  EXPECT_EQ(Answer->Answer_.error().Code_, ErrorCode::Full);
  EXPECT_FALSE(Answer->IsAppended_);
}

} // namespace
} // namespace jaybridge
