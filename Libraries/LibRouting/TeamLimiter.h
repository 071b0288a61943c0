#pragma once

#include <LibCore/Random.h>
#include <LibCore/Units.h>
#include <LibProfile/TeamDirectory.h>
#include <LibQuota/GatewayTokens.h>
#include <LibRouting/GatewayMessages.h>

#include <deque>
#include <map>
#include <variant>
#include <vector>

namespace jaybridge {

/// The request may be sent to an instance.
struct TokenSpent {};
/// The team's limit is reached.
struct LimitReached {
  Duration RetryAfter_;
};
/// No control member answered in time.
struct NoTokenAnswer {};
/// The request waits for a token; its verdict follows.
struct AwaitsToken {};
using TokenVerdict =
    std::variant<TokenSpent, LimitReached, NoTokenAnswer, AwaitsToken>;

/// The verdict about a request that waited.
struct TokenDecided {
  RequestId Id_;
  TokenVerdict Verdict_;
};

/// Lets each request of a limited team take a token before its first attempt. A
/// request without one waits for the answer of the control member.
class TeamLimiter {
public:
  static constexpr Duration MaxWait = 150ms;
  static constexpr std::size_t MaxWaiting = 4096;
  /// A shorter time would only make the caller's retry one of many.
  static constexpr Duration MinRetryAfter = 100ms;
  /// The limiter has ended to refuse when it refused nothing for this time.
  static constexpr Duration RefusalEndDelay = 1s;

  explicit TeamLimiter(RandomSeed Seed);

  void setTeams(const TeamDirectory &Teams);
  bool isLimited(const TeamName &Team) const { return Tokens_.isLimited(Team); }

  /// Decides about a new request of a limited team.
  TokenVerdict admit(const RequestId &Id, const TeamName &Team, TimePoint Now);
  /// The caller of a waiting request is gone.
  void cancel(const RequestId &Id);
  /// The request has its answer; if it did not run, its token is returned.
  void finish(const RequestId &Id, bool IsNotRun, TimePoint Now);
  void accept(const TokenGrant &Grant, TimePoint Now,
              std::vector<TokenDecided> &Out);
  /// Decides about requests that waited too long.
  void advance(TimePoint Now, std::vector<TokenDecided> &Out);
  /// The next message to the control member, if one is due.
  std::optional<TokenRequest> takeRequest(TimePoint Now) {
    return Tokens_.takeRequest(Now);
  }
  std::optional<TimePoint> nextDeadline() const;
  std::vector<TeamRefusalChanged> takeRefusalChanges();

  const TeamLimiterCounts &counts() const { return Counts_; }
  bool isIdle() const { return Waiting_.empty(); }

private:
  struct WaitingRequest {
    RequestId Id_;
    TeamName Team_;
    TimePoint ExpiresAt_;
  };
  struct OpenRequest {
    TeamName Team_;
    SpentToken Token_;
  };
  LimitReached refuse(const TeamName &Team, Duration Wait, TimePoint Now);
  bool trySpend(const RequestId &Id, const TeamName &Team, TimePoint Now);

  GatewayTokens Tokens_;
  Random Random_;
  /// In the order of their arrival.
  std::deque<WaitingRequest> Waiting_;
  std::map<RequestId, OpenRequest> Open_;
  /// When a team that refuses requests did so last.
  std::map<TeamName, TimePoint> RefusedAt_;
  std::vector<TeamRefusalChanged> RefusalChanges_;
  TeamLimiterCounts Counts_;
};

} // namespace jaybridge
