#include <LibReplication/ReplicatedLog.h>

namespace jaybridge {

std::optional<TimePoint> ReplicatedLog::nextJoinRequest() const {
  if (isLeader())
    return std::nullopt;
  if (isOutsider())
    return NextJoinRequest_;
  return std::max(NextJoinRequest_,
                  LastLeaderContact_ + 2 * Settings_.ElectionTimeout_);
}

void ReplicatedLog::sendJoinRequests(CallContext &Context) {
  NextJoinRequest_ = Context.Now_ + Settings_.ElectionTimeout_;
  for (const MemberId &Member : Settings_.Members_)
    sendAfterSync(Member, JoinRequest{Log_.isEmpty()}, Context);
  formLogIfAllFoldersEmpty(Context);
}

/// The member with the lowest id forms the log, and only when no configured
/// member can have an older log. A member that lost its disk is refused here,
/// because other members report folders that are not empty.
void ReplicatedLog::formLogIfAllFoldersEmpty(CallContext &Context) {
  if (!Settings_.CanFormLog_ || !Log_.isEmpty() ||
      (!Settings_.Members_.empty() &&
       Settings_.Members_.front() < Settings_.Self_))
    return;
  VoterSet First;
  First.Voters_.push_back(Self_);
  for (const MemberId &Member : Settings_.Members_) {
    auto Found = PendingJoins_.find(Member);
    if (Found == PendingJoins_.end() || !Found->second.IsEmpty_ ||
        Context.Now_ >
            Found->second.LastRequestAt_ + 2 * Settings_.ElectionTimeout_)
      return;
    First.Voters_.push_back(Voter{Member, Found->second.Generation_});
  }
  // The term is derived from the folder generation, so that a log formed again
  // after a lost disk cannot be mistaken for the first one.
  constexpr std::uint64_t TermMask = 0xffffffff;
  Term FormedTerm(1 + (Self_.Generation_.value() & TermMask));
  LogEntry Entry{LogIndex(1), FormedTerm, std::move(First)};
  adoptFirstEntry(Entry, Context);
  for (const MemberId &Member : Settings_.Members_)
    sendAfterSync(Member, FormationOffer{Entry}, Context);
}

void ReplicatedLog::adoptFirstEntry(LogEntry First, CallContext &Context) {
  Vote_ = TermVote{std::max(term(), First.Term_), std::nullopt};
  PersistLog Write;
  Write.Vote_ = Vote_;
  Write.Entries_.push_back(First);
  Log_.append(std::move(First));
  persist(std::move(Write), Context);
  resetElectionTimer(Context.Now_);
}

void ReplicatedLog::handleBody(const JoinRequest &Request,
                               const ReplicationMessage &Message,
                               CallContext &Context) {
  const Voter &From = Message.From_;
  std::erase_if(PendingJoins_, [&](const auto &Pending) {
    return Context.Now_ >
           Pending.second.LastRequestAt_ + Settings_.JoinRequestLifetime_;
  });
  if (!members().isVoter(From) && (PendingJoins_.contains(From.Id_) ||
                                   PendingJoins_.size() < MaxPendingJoins)) {
    auto [Known, IsNew] = PendingJoins_.try_emplace(From.Id_);
    PendingJoin &Join = Known->second;
    if (IsNew || Join.Generation_ != From.Generation_)
      Join.FirstRequestAt_ = Context.Now_;
    Join.Generation_ = From.Generation_;
    Join.IsEmpty_ = Request.IsEmpty_;
    Join.LastRequestAt_ = Context.Now_;
  }
  if (Log_.isEmpty())
    return formLogIfAllFoldersEmpty(Context);
  // The formation offer to this voter may have been lost.
  if (Request.IsEmpty_ && Log_.firstIndex() == LogIndex(1)) {
    const auto *First = std::get_if<VoterSet>(&Log_.at(LogIndex(1)).Content_);
    if (First && First->isVoter(From))
      sendAfterSync(From.Id_, FormationOffer{Log_.at(LogIndex(1))}, Context);
  }
  if (isLeader()) {
    abandonLostFolder(From, Context);
    return replaceLostFolder(From, Context);
  }
  // Forwards the request, as a joining member may know only followers.
  if (Leader_ && *Leader_ != From.Id_)
    Context.Effects_.push_back(SendReplication{
        *Leader_, ReplicationMessage{From, Message.Term_, Request}});
}

std::optional<TimePoint> ReplicatedLog::lastContact(const Voter &Member) const {
  auto Found = Progress_.find(Member);
  if (!isLeader() || Found == Progress_.end())
    return std::nullopt;
  return Found->second.LastContact_;
}

void ReplicatedLog::handleBody(const FormationOffer &Offer,
                               const ReplicationMessage &,
                               CallContext &Context) {
  const auto *First = std::get_if<VoterSet>(&Offer.First_.Content_);
  if (Log_.isEmpty() && First && Offer.First_.Index_ == LogIndex(1) &&
      First->isVoter(Self_))
    adoptFirstEntry(Offer.First_, Context);
}

bool ReplicatedLog::canChangeMembers() const {
  return isLeader() && CommitIndex_ >= LeaderStartIndex_ &&
         CommitIndex_ >= Log_.membersIndex();
}

void ReplicatedLog::abandonLostFolder(const Voter &Joining,
                                      CallContext &Context) {
  const std::optional<Replacement> &Planned = members().Replacement_;
  if (!canChangeMembers() || !Planned || members().isVoter(Planned->Joining_) ||
      Planned->Joining_.Id_ != Joining.Id_ || Planned->Joining_ == Joining)
    return;
  // A member that still answers has not lost its folder: the request is a
  // delayed copy from before it did.
  if (Context.Now_ <=
      Progress_.at(Planned->Joining_).LastContact_ + Settings_.ElectionTimeout_)
    return;
  appendAsLeader(members().withReplacementAbandoned(), Context);
}

void ReplicatedLog::replaceLostFolder(const Voter &Joining,
                                      CallContext &Context) {
  std::optional<Voter> Lost = members().findVoter(Joining.Id_);
  if (!canChangeMembers() || members().Replacement_ || !Lost ||
      *Lost == Joining)
    return;
  // A voter that still answers has not lost its folder: the request is a
  // delayed copy from before an earlier replacement.
  auto Found = Progress_.find(*Lost);
  if (Found == Progress_.end() ||
      Context.Now_ <= Found->second.LastContact_ + Settings_.ElectionTimeout_)
    return;
  appendAsLeader(members().withReplacement(Replacement{Joining, Lost}),
                 Context);
}

void ReplicatedLog::handleEvent(const ReplaceMemberRequest &Replace,
                                CallContext &Context) {
  auto Refuse = [&](ErrorCode Code, std::string Reason) {
    Context.Effects_.push_back(ProposalResponse{
        Replace.Id_, Error{Code, std::move(Reason), {}}, false, Leader_});
  };
  if (!canChangeMembers())
    return Refuse(ErrorCode::Unavailable,
                  isLeader() ? "another membership change is in progress"
                             : "not the leader");
  if (members().Replacement_)
    return Refuse(ErrorCode::Conflict, "a replacement is in progress");
  std::optional<Voter> Leaving;
  if (Replace.Leaving_) {
    Leaving = members().findVoter(*Replace.Leaving_);
    if (!Leaving)
      return Refuse(ErrorCode::NotFound,
                    Replace.Leaving_->text() + " is not a voter");
  }
  if (!Leaving && members().Voters_.size() >= VoterSet::MaxVoters)
    return Refuse(ErrorCode::Full, "the maximum number of voters is reached");
  auto Found = PendingJoins_.find(Replace.Joining_);
  if (Found == PendingJoins_.end())
    return Refuse(ErrorCode::NotFound,
                  Replace.Joining_.text() + " has not asked to join");
  Voter Joining{Replace.Joining_, Found->second.Generation_};
  if (members().isVoter(Joining))
    return Refuse(ErrorCode::Conflict,
                  Replace.Joining_.text() + " is already a voter");
  LogIndex Index = appendAsLeader(
      members().withReplacement(Replacement{Joining, Leaving}), Context);
  PendingProposals_.emplace(Index, Replace.Id_);
}

/// Starts the next step of a replacement once the previous one is committed.
void ReplicatedLog::continueReplacement(CallContext &Context) {
  if (!canChangeMembers())
    return;
  if (!isVoter())
    return becomeFollower(term(), Context);
  const VoterSet &Current = members();
  if (!Current.Replacement_)
    return;
  const Voter &Joining = Current.Replacement_->Joining_;
  if (Current.isVoter(Joining)) {
    appendAsLeader(Current.withReplacementFinished(), Context);
    return;
  }
  const FollowerProgress &Progress = Progress_.at(Joining);
  if (Progress.MatchIndex_ >= CommitIndex_)
    appendAsLeader(Current.withJoiningVoter(), Context);
  else if (Context.Now_ > Progress.LastContact_ + Settings_.JoinerTimeout_)
    appendAsLeader(Current.withReplacementAbandoned(), Context);
}

} // namespace jaybridge
