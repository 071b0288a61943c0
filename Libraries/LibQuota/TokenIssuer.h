#pragma once

#include <LibQuota/HolderContacts.h>
#include <LibQuota/TeamLedger.h>
#include <LibQuota/TokenBucket.h>

namespace jaybridge {

/// Issues the tokens of all limited teams on the leader of the control members;
/// its holders are the members. What is issued and not yet spent or expired,
/// together with the level of the bucket, stays within the burst and the
/// refill of one TokenLifetime, so that returned tokens do not accumulate.
class TokenIssuer {
public:
  /// This member became the leader. Tokens of a previous leader may be spent
  /// for TokenLifetime; the buckets are empty and refill after that.
  void start(TimePoint Now);
  /// Applies the limits of a configuration. A team that becomes limited starts
  /// with its burst, unless another leader may have issued it lately.
  void setLimits(const TeamLimits &Limits, TimePoint Now);
  /// Grants what the buckets hold, and all that is wanted of a team without a
  /// limit: the sender has an older configuration.
  TokenGrant handle(const MemberId &From, const TokenRequest &Request,
                    TimePoint Now);
  /// Reserves the rates of members that became silent.
  void advance(TimePoint Now);

  bool hasLimits() const { return !Teams_.empty(); }

private:
  struct Team {
    TokenBucket Bucket_;
    TeamLedger Ledger_;
  };
  TokenShare grant(Team &Limited, const MemberId &From, TokenRound Round,
                   const TokenWish &Wish, TimePoint Now);
  void refill(Team &Limited, TimePoint Now);

  std::map<TeamName, Team> Teams_;
  HolderContacts Members_;
  TimePoint StartedAt_{};
};

} // namespace jaybridge
