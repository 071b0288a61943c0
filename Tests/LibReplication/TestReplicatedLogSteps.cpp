#include <LibReplication/ReplicatedLog.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

Voter voter(std::uint64_t Number) {
  return Voter{MemberId("vm-" + std::to_string(Number)),
               FolderGeneration(100 + Number)};
}

/// Drives a single member, vm-0, step by step. The storage syncs each write
/// immediately while `IsStorageWorking_` is set.
class ReplicatedLogStepsTest : public testing::Test {
protected:
  void createLog(RecoveredLog Recovered) {
    Recovered.Generation_ = voter(0).Generation_;
    ReplicationSettings Settings;
    Settings.Self_ = voter(0).Id_;
    Settings.Members_ = {voter(1).Id_, voter(2).Id_};
    auto Created = ReplicatedLog::create(Settings, std::move(Recovered),
                                         RandomSeed(1), Now_);
    ASSERT_TRUE(Created) << Created.error().Message_;
    Log_.emplace(Created.takeValue());
  }
  /// A log with the initial voter set and one command of term 2.
  void createLogWithCommand() {
    RecoveredLog Recovered;
    Recovered.Vote_ = TermVote{Term(2), std::nullopt};
    Recovered.Entries_ = {
        {LogIndex(1), Term(1), VoterSet{{voter(0), voter(1), voter(2)}, {}}},
        {LogIndex(2), Term(2), LogCommand{"old"}}};
    createLog(std::move(Recovered));
  }
  void deliverEvent(const ReplicationEvent &Event) {
    ReplicatedLog::Effects Effects;
    Log_->handle(Event, Now_, Effects);
    recordEffects(std::move(Effects));
  }
  void advanceBy(Duration Span) {
    Now_ += Span;
    ReplicatedLog::Effects Effects;
    Log_->advance(Now_, Effects);
    recordEffects(std::move(Effects));
  }
  void recordEffects(ReplicatedLog::Effects Effects) {
    for (ReplicationEffect &Effect : Effects) {
      std::optional<PersistSequence> Written;
      if (const auto *Write = std::get_if<PersistLog>(&Effect))
        Written = Write->Sequence_;
      Emitted_.push_back(std::move(Effect));
      if (Written && IsStorageWorking_)
        deliverEvent(Persisted{*Written});
    }
  }
  void receive(std::uint64_t From, ReplicationBody Body) {
    deliverEvent(
        ReplicationMessage{voter(From), Log_->term(), std::move(Body)});
  }
  void becomeLeader() {
    createLogWithCommand();
    advanceBy(std::chrono::seconds(2));
    receive(1, VoteAnswer{true, true, Log_->term().next()});
    receive(1, VoteAnswer{false, true, Log_->term()});
    ASSERT_TRUE(Log_->isLeader());
    advanceBy(std::chrono::milliseconds(1));
  }
  /// Round of the latest append request sent to a member.
  ReplicationRound lastRoundTo(std::uint64_t Member) const {
    ReplicationRound Last;
    for (const ReplicationEffect &Effect : Emitted_)
      if (const auto *Sent = std::get_if<SendReplication>(&Effect);
          Sent && Sent->To_ == voter(Member).Id_)
        if (const auto *Request =
                std::get_if<AppendRequest>(&Sent->Message_.Body_))
          Last = Request->Round_;
    return Last;
  }
  template <typename Body> std::size_t countSent() const {
    return static_cast<std::size_t>(
        std::count_if(Emitted_.begin(), Emitted_.end(), [](const auto &Effect) {
          const auto *Sent = std::get_if<SendReplication>(&Effect);
          return Sent && std::holds_alternative<Body>(Sent->Message_.Body_);
        }));
  }

  TimePoint Now_{};
  std::optional<ReplicatedLog> Log_;
  ReplicatedLog::Effects Emitted_;
  bool IsStorageWorking_ = true;
};

// Guards against a commit that a later leader can undo: an entry of an earlier
// term is committed only once a majority has stored an entry of the current
// term (Raft, section 5.4.2).
TEST_F(ReplicatedLogStepsTest, DoesNotCommitEarlierTermsByCountingReplicas) {
  becomeLeader();
  receive(1, AppendAnswer{true, LogIndex(2), ReplicationRound(1)});
  EXPECT_EQ(Log_->commitIndex(), LogIndex(0));
  receive(1, AppendAnswer{true, LogIndex(3), ReplicationRound(1)});
  EXPECT_EQ(Log_->commitIndex(), LogIndex(3));
}

// Guards against a recovered snapshot that is installed only at the next event,
// and against a first deadline outside the range of the process clock.
TEST_F(ReplicatedLogStepsTest, IsDueImmediatelyAfterCreation) {
  Now_ += std::chrono::hours(9);
  createLogWithCommand();
  EXPECT_EQ(Log_->nextDeadline(), Now_);
  advanceBy(Duration(0));
  EXPECT_GT(Log_->nextDeadline(), Now_);
}

// Guards against a vote that is sent before it is synced: after a crash the
// member could vote for another candidate in the same term.
TEST_F(ReplicatedLogStepsTest, VotesOnlyAfterSync) {
  createLogWithCommand();
  IsStorageWorking_ = false;
  deliverEvent(ReplicationMessage{voter(1), Term(3),
                                  VoteRequest{false, LogIndex(2), Term(2)}});
  EXPECT_EQ(countSent<VoteAnswer>(), 0U);
  deliverEvent(Persisted{PersistSequence(2)});
  EXPECT_EQ(countSent<VoteAnswer>(), 1U);
}

// Guards against entries that are acknowledged before they are synced and could
// be lost in a crash.
TEST_F(ReplicatedLogStepsTest, AcknowledgesOnlyAfterSync) {
  createLogWithCommand();
  IsStorageWorking_ = false;
  deliverEvent(ReplicationMessage{
      voter(1), Term(2),
      AppendRequest{LogIndex(2),
                    Term(2),
                    {{LogIndex(3), Term(2), LogCommand{"new"}}},
                    LogIndex(1),
                    ReplicationRound(1)}});
  EXPECT_EQ(countSent<AppendAnswer>(), 0U);
  deliverEvent(Persisted{PersistSequence(1)});
  EXPECT_EQ(countSent<AppendAnswer>(), 1U);
}

// Guards against a leader that counts itself towards the majority before its
// own entry is synced.
TEST_F(ReplicatedLogStepsTest, LeaderCountsItselfOnlyAfterSync) {
  becomeLeader();
  receive(1, AppendAnswer{true, LogIndex(3), ReplicationRound(1)});
  IsStorageWorking_ = false;
  deliverEvent(ProposalRequest{ProposalId(1), "new"});
  receive(1, AppendAnswer{true, LogIndex(4), ReplicationRound(1)});
  EXPECT_EQ(Log_->commitIndex(), LogIndex(3));
  receive(2, AppendAnswer{true, LogIndex(4), ReplicationRound(1)});
  EXPECT_EQ(Log_->commitIndex(), LogIndex(4));
}

// Guards against a member that keeps voting after its data folder was restored
// to a state before entries that it had acknowledged.
TEST_F(ReplicatedLogStepsTest, NotifiesMemberWhoseFolderLostEntries) {
  becomeLeader();
  receive(1, AppendAnswer{true, LogIndex(3), ReplicationRound(1)});
  receive(1, AppendAnswer{false, LogIndex(2), ReplicationRound(1)});
  EXPECT_EQ(countSent<FolderOutdated>(), 0U) << "late answer";
  advanceBy(std::chrono::milliseconds(200));
  receive(1, AppendAnswer{false, LogIndex(2), lastRoundTo(1)});
  EXPECT_EQ(countSent<FolderOutdated>(), 1U);
  receive(2, FolderOutdated{});
  EXPECT_TRUE(Log_->isStopped());
  deliverEvent(ProposalRequest{ProposalId(7), "late"});
  EXPECT_TRUE(std::holds_alternative<ProposalResponse>(Emitted_.back()));
}

// Guards against a second log beside an existing one: no log is formed while a
// configured member has entries.
TEST_F(ReplicatedLogStepsTest, FormsLogOnlyWhenAllFoldersAreEmpty) {
  createLog(RecoveredLog{});
  receive(1, JoinRequest{false});
  receive(2, JoinRequest{true});
  EXPECT_TRUE(Log_->entries().isEmpty());
  receive(1, JoinRequest{true});
  EXPECT_EQ(Log_->entries().lastIndex(), LogIndex(1));
  EXPECT_EQ(countSent<FormationOffer>(), 2U);
}

// Guards against forming a new log from join requests that are no longer
// current.
TEST_F(ReplicatedLogStepsTest, FormsNoLogFromExpiredJoinRequests) {
  createLog(RecoveredLog{});
  receive(1, JoinRequest{true});
  advanceBy(std::chrono::seconds(5));
  receive(2, JoinRequest{true});
  EXPECT_TRUE(Log_->entries().isEmpty());
}

// Guards against a read that misses entries committed by an earlier leader: a
// leader knows the commit index only once it has committed an entry of its own
// term.
TEST_F(ReplicatedLogStepsTest, ReadsWaitForCommitInCurrentTerm) {
  becomeLeader();
  // Four requests were sent before the read; the next two confirm it.
  deliverEvent(ReadIndexRequest{ReadId(1)});
  receive(1, AppendAnswer{true, LogIndex(2), ReplicationRound(6)});
  auto IsReadResponse = [](const auto &Effect) {
    return std::holds_alternative<ReadIndexResponse>(Effect);
  };
  EXPECT_EQ(std::count_if(Emitted_.begin(), Emitted_.end(), IsReadResponse), 0);
  receive(1, AppendAnswer{true, LogIndex(3), ReplicationRound(6)});
  EXPECT_EQ(std::count_if(Emitted_.begin(), Emitted_.end(), IsReadResponse), 1);
}

// Guards against a read that is confirmed by the answer to a request of an
// earlier term.
TEST_F(ReplicatedLogStepsTest, AnswersToEarlierTermsCarryNoRound) {
  createLogWithCommand();
  deliverEvent(ReplicationMessage{
      voter(1), Term(1),
      AppendRequest{
          LogIndex(1), Term(1), {}, LogIndex(1), ReplicationRound(50)}});
  const auto *Sent = std::get_if<SendReplication>(&Emitted_.back());
  ASSERT_NE(Sent, nullptr);
  EXPECT_EQ(std::get<AppendAnswer>(Sent->Message_.Body_).Round_,
            ReplicationRound());
}

// Guards against a member with a broken link that deposes a leader although it
// still reaches the other members.
TEST_F(ReplicatedLogStepsTest, RefusesVotesWhileLeaderIsInContact) {
  createLogWithCommand();
  deliverEvent(ReplicationMessage{
      voter(1), Term(2),
      AppendRequest{
          LogIndex(2), Term(2), {}, LogIndex(1), ReplicationRound(1)}});
  for (bool IsPreVote : {true, false}) {
    deliverEvent(ReplicationMessage{
        voter(2), Term(9), VoteRequest{IsPreVote, LogIndex(9), Term(9)}});
    const auto *Sent = std::get_if<SendReplication>(&Emitted_.back());
    ASSERT_NE(Sent, nullptr);
    EXPECT_FALSE(std::get<VoteAnswer>(Sent->Message_.Body_).IsGranted_);
    EXPECT_EQ(Log_->term(), Term(2));
  }
}

// Guards against unbounded memory use by proposals while no majority answers.
TEST_F(ReplicatedLogStepsTest, LimitsPendingProposals) {
  becomeLeader();
  for (std::uint64_t I = 0; I < 3000; ++I)
    deliverEvent(ProposalRequest{ProposalId(I), "change"});
  EXPECT_LE(Log_->entries().size(), ReplicatedLog::MaxUncommittedEntries + 3);
  const auto *Response = std::get_if<ProposalResponse>(&Emitted_.back());
  ASSERT_NE(Response, nullptr);
  EXPECT_EQ(Response->Answer_.error().Code_, ErrorCode::Full);
  EXPECT_FALSE(Response->IsAppended_);
}

} // namespace
} // namespace jaybridge
