#include <LibReplication/ReplicatedLog.h>

namespace jaybridge {

void ReplicatedLog::askToJoin(Step &S) {
  NextJoinRequest_ = S.Now_ + Settings_.ElectionTimeout_;
  for (const MemberId &Each : Settings_.Members_)
    send(Each, JoinRequest{Log_.isEmpty()}, S);
  formIfAllEmpty(S);
}

/// The least member forms the log, and only when no configured member can hold
/// an older one. A member whose disk was lost meets members that are not empty.
void ReplicatedLog::formIfAllEmpty(Step &S) {
  if (!Settings_.CanFormLog_ || !Log_.isEmpty() ||
      (!Settings_.Members_.empty() &&
       Settings_.Members_.front() < Settings_.Self_))
    return;
  VoterSet First;
  First.Voters_.push_back(Self_);
  for (const MemberId &Each : Settings_.Members_) {
    auto Found = Joiners_.find(Each);
    if (Found == Joiners_.end() || !Found->second.IsEmpty_ ||
        S.Now_ > Found->second.LastRequestAt_ + 2 * Settings_.ElectionTimeout_)
      return;
    First.Voters_.push_back(Voter{Each, Found->second.Generation_});
  }
  // The term comes from the folder, so that a second attempt after a lost disk
  // cannot be taken for the first one.
  constexpr std::uint64_t TermMask = 0xffffffff;
  Term Formed(1 + (Self_.Generation_.value() & TermMask));
  LogEntry Entry{LogIndex(1), Formed, std::move(First)};
  adoptFirst(Entry, S);
  for (const MemberId &Each : Settings_.Members_)
    send(Each, FormationOffer{Entry}, S);
}

void ReplicatedLog::adoptFirst(LogEntry First, Step &S) {
  Vote_ = TermVote{std::max(term(), First.Term_), std::nullopt};
  PersistLog Write;
  Write.Vote_ = Vote_;
  Write.Entries_.push_back(First);
  Log_.append(std::move(First));
  persist(std::move(Write), S);
  resetElectionTimer(S.Now_);
}

void ReplicatedLog::handleBody(const JoinRequest &Request,
                               const ReplicationMessage &Message, Step &S) {
  const Voter &From = Message.From_;
  std::erase_if(Joiners_, [&](const auto &Each) {
    return S.Now_ > Each.second.LastRequestAt_ + Settings_.JoinTimeout_;
  });
  if (Joiners_.contains(From.Id_) || Joiners_.size() < GreatestJoiners) {
    auto [Known, IsNew] = Joiners_.try_emplace(From.Id_);
    Joiner &Asking = Known->second;
    if (IsNew || Asking.Generation_ != From.Generation_)
      Asking.FirstRequestAt_ = S.Now_;
    Asking.Generation_ = From.Generation_;
    Asking.IsEmpty_ = Request.IsEmpty_;
    Asking.LastRequestAt_ = S.Now_;
  }
  if (Log_.isEmpty())
    return formIfAllEmpty(S);
  // The first entry may have been lost on its way to a member that it names.
  if (Request.IsEmpty_ && Log_.firstIndex() == LogIndex(1)) {
    const auto *First = std::get_if<VoterSet>(&Log_.at(LogIndex(1)).Content_);
    if (First && First->isVoter(From))
      send(From.Id_, FormationOffer{Log_.at(LogIndex(1))}, S);
  }
  if (isLeader())
    return replaceLostFolder(From, S);
  // A joining member may know only members that do not lead.
  if (Leader_ && *Leader_ != From.Id_)
    S.Out_.push_back(SendReplication{
        *Leader_, ReplicationMessage{From, Message.Term_, Request}});
}

std::optional<TimePoint> ReplicatedLog::lastContact(const Voter &Asked) const {
  auto Found = Progress_.find(Asked);
  if (!isLeader() || Found == Progress_.end())
    return std::nullopt;
  return Found->second.LastHeard_;
}

void ReplicatedLog::handleBody(const FormationOffer &Offer,
                               const ReplicationMessage &, Step &S) {
  const auto *First = std::get_if<VoterSet>(&Offer.First_.Content_);
  if (Log_.isEmpty() && First && Offer.First_.Index_ == LogIndex(1) &&
      First->isVoter(Self_))
    adoptFirst(Offer.First_, S);
}

bool ReplicatedLog::canChangeMembers() const {
  return isLeader() && CommitIndex_ >= LeaderStartIndex_ &&
         CommitIndex_ >= Log_.membersIndex();
}

void ReplicatedLog::replaceLostFolder(const Voter &Joining, Step &S) {
  std::optional<Voter> Lost = members().findVoter(Joining.Id_);
  if (!canChangeMembers() || members().Replacement_ || !Lost ||
      *Lost == Joining)
    return;
  // A voter that still answers has not lost its folder: the request is a late
  // copy from before an earlier replacement.
  auto Found = Progress_.find(*Lost);
  if (Found == Progress_.end() ||
      S.Now_ <= Found->second.LastHeard_ + Settings_.ElectionTimeout_)
    return;
  appendOwn(members().withReplacement(Replacement{Joining, Lost}), S);
}

void ReplicatedLog::receive(const ReplaceMember &Replace, Step &S) {
  auto Refuse = [&](ErrorCode Code, std::string Reason) {
    S.Out_.push_back(ProposalAnswer{
        Replace.Id_, Error{Code, std::move(Reason), {}}, false, Leader_});
  };
  if (!canChangeMembers())
    return Refuse(ErrorCode::Unavailable,
                  isLeader() ? "another change of members is not finished"
                             : "not the leader");
  if (members().Replacement_)
    return Refuse(ErrorCode::Conflict, "a replacement is under way");
  std::optional<Voter> Leaving;
  if (Replace.Leaving_) {
    Leaving = members().findVoter(*Replace.Leaving_);
    if (!Leaving)
      return Refuse(ErrorCode::NotFound,
                    Replace.Leaving_->text() + " is not a voter");
  }
  if (!Leaving && members().Voters_.size() >= VoterSet::MaxVoters)
    return Refuse(ErrorCode::Full, "there are enough voters");
  auto Found = Joiners_.find(Replace.Joining_);
  if (Found == Joiners_.end())
    return Refuse(ErrorCode::NotFound,
                  Replace.Joining_.text() + " has not asked to join");
  Voter Joining{Replace.Joining_, Found->second.Generation_};
  if (members().isVoter(Joining))
    return Refuse(ErrorCode::Conflict,
                  Replace.Joining_.text() + " is a voter already");
  LogIndex Index =
      appendOwn(members().withReplacement(Replacement{Joining, Leaving}), S);
  Proposals_.emplace(Index, Replace.Id_);
}

/// Takes the next step of a replacement once the one before is committed.
void ReplicatedLog::continueReplacement(Step &S) {
  if (!canChangeMembers())
    return;
  if (!isVoter())
    return becomeFollower(term(), S);
  const VoterSet &Current = members();
  if (!Current.Replacement_)
    return;
  const Voter &Joining = Current.Replacement_->Joining_;
  if (Current.isVoter(Joining)) {
    appendOwn(Current.withReplacementFinished(), S);
    return;
  }
  const FollowerProgress &Progress = Progress_.at(Joining);
  if (Progress.Match_ >= CommitIndex_)
    appendOwn(Current.withJoiningVoter(), S);
  else if (S.Now_ > Progress.LastHeard_ + Settings_.JoinTimeout_)
    appendOwn(Current.withReplacementAbandoned(), S);
}

} // namespace jaybridge
