#include <LibRouting/TeamLimiter.h>

#include <algorithm>
#include <utility>

namespace jaybridge {

TeamLimiter::TeamLimiter(RandomSeed Seed)
    // Starts of the process use different rounds; 28 bits keep messages short.
    : Tokens_(TokenRound(Random(Seed).next() >> 36)), Random_(Seed) {}

void TeamLimiter::setTeams(const TeamDirectory &Teams) {
  Tokens_.setLimits(Teams.limits());
}

TokenVerdict TeamLimiter::admit(const RequestId &Id, const TeamName &Team,
                                TimePoint Now) {
  if (trySpend(Id, Team, Now))
    return TokenSpent{};
  if (const auto Wait = Tokens_.refusalTime(Team, Now))
    return refuse(Team, *Wait, Now);
  // Without contact an answer is unlikely, but the request ends that state.
  if (!Tokens_.request(Team, Now) || !Tokens_.hasContact(Now) ||
      Waiting_.size() >= MaxWaiting)
    return NoTokenAnswer{};
  Counts_.Waited_ += EventCount(1);
  Waiting_.push_back({Id, Team, Now + MaxWait});
  return AwaitsToken{};
}

bool TeamLimiter::trySpend(const RequestId &Id, const TeamName &Team,
                           TimePoint Now) {
  auto Token = Tokens_.take(Team, Now);
  if (!Token)
    return false;
  Open_.insert_or_assign(Id, OpenRequest{Team, *Token});
  return true;
}

LimitReached TeamLimiter::refuse(const TeamName &Team, Duration Wait,
                                 TimePoint Now) {
  Counts_.OverLimit_ += EventCount(1);
  if (RefusedAt_.insert_or_assign(Team, Now).second)
    RefusalChanges_.push_back({Team, true});
  const Duration Shortest = std::max(Wait, MinRetryAfter);
  return {Shortest +
          std::chrono::duration_cast<Duration>(Shortest * Random_.unit())};
}

void TeamLimiter::cancel(const RequestId &Id) {
  std::erase_if(Waiting_,
                [&](const WaitingRequest &Each) { return Each.Id_ == Id; });
}

void TeamLimiter::finish(const RequestId &Id, bool IsNotRun, TimePoint Now) {
  const auto Known = Open_.find(Id);
  if (Known == Open_.end())
    return;
  if (IsNotRun) {
    Counts_.TokensReturned_ += EventCount(1);
    Tokens_.putBack(Known->second.Team_, Known->second.Token_, Now);
  }
  Open_.erase(Known);
}

void TeamLimiter::accept(const TokenGrant &Grant, TimePoint Now,
                         std::vector<TokenDecided> &Out) {
  if (!Tokens_.accept(Grant, Now))
    return;
  for (const TokenShare &Share : Grant.Shares_)
    Counts_.TokensGranted_ +=
        EventCount(static_cast<std::uint64_t>(Share.Granted_.value()));
  advance(Now, Out);
}

void TeamLimiter::advance(TimePoint Now, std::vector<TokenDecided> &Out) {
  std::erase_if(Waiting_, [&](const WaitingRequest &Each) {
    const auto Wait = Tokens_.refusalTime(Each.Team_, Now);
    if (!Tokens_.isLimited(Each.Team_) || trySpend(Each.Id_, Each.Team_, Now))
      Out.push_back({Each.Id_, TokenSpent{}});
    else if (Wait)
      Out.push_back({Each.Id_, refuse(Each.Team_, *Wait, Now)});
    else if (Now >= Each.ExpiresAt_)
      Out.push_back({Each.Id_, NoTokenAnswer{}});
    else
      return false;
    return true;
  });
  std::erase_if(RefusedAt_, [&](const auto &Refused) {
    const bool IsOver = Now >= Refused.second + RefusalEndDelay;
    if (IsOver)
      RefusalChanges_.push_back({Refused.first, false});
    return IsOver;
  });
}

std::optional<TimePoint> TeamLimiter::nextDeadline() const {
  std::optional<TimePoint> Next = Tokens_.nextDeadline();
  auto Include = [&](TimePoint Due) {
    Next = std::min(Next.value_or(Due), Due);
  };
  if (!Waiting_.empty())
    Include(Waiting_.front().ExpiresAt_);
  for (const auto &[Team, At] : RefusedAt_)
    Include(At + RefusalEndDelay);
  return Next;
}

std::vector<TeamRefusalChanged> TeamLimiter::takeRefusalChanges() {
  return std::exchange(RefusalChanges_, {});
}

} // namespace jaybridge
