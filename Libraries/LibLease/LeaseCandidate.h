#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Random.h>
#include <LibCore/Result.h>
#include <LibLease/LeaseMessages.h>
#include <LibMembership/ServiceHomes.h>

#include <deque>
#include <map>
#include <set>

namespace jaybridge {

struct CandidateDraft {
  MemberId Self_;
  /// Different in each run of the daemon.
  RandomSeed Seed_;
};

/// Seeks and renews the leases of the services for which this daemon is ranked
/// first among the live members; the next in rank try less often. Services
/// share a ranking per group, so that few daemons hold many leases each and
/// renew them with one message.
class LeaseCandidate {
public:
  using Event = std::variant<FromMember<LeaseMessage>, MemberChanged,
                             ServicesChanged, VotersChanged>;
  using Effect = std::variant<SendToMember<LeaseMessage>, LeaseHeld, LeaseLost>;

  static constexpr Duration RenewPeriod = 2s;
  /// Members that try to hold a lease, the first in rank first.
  static constexpr HomeCount Candidates{3};
  /// The first in rank claims in each round; a candidate of rank r waits 2 r to
  /// 3 r times this.
  static constexpr Duration ClaimPeriod = 2s;
  /// A holder that is no longer ranked first keeps its lease for this long, so
  /// that short changes of the membership move nothing.
  static constexpr Duration HandOverDelay = 60s;
  /// Groups that services are divided into; bounds the number of holders and
  /// with it the messages at a voter.
  static constexpr std::size_t GroupCount = 64;
  static constexpr std::size_t GreatestServiceCount = 8192;
  static constexpr std::size_t ClaimsPerRequest = 128;
  /// Answers that take longer than a lease are of no use.
  static constexpr std::size_t GreatestRounds = LeaseTerm / RenewPeriod;

  static Result<LeaseCandidate> create(CandidateDraft Draft);

  void handle(const Event &Happened, TimePoint Now,
              std::vector<Effect> &Effects);
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const;

  /// Members that may hold the service's lease, the likeliest first.
  std::vector<MemberId> candidatesFor(const ServiceName &Service) const;
  bool isHolding(const ServiceName &Service, TimePoint Now) const;
  std::size_t heldCount() const { return Held_.size(); }

private:
  using Effects = std::vector<Effect>;
  struct Lease {
    FenceNumber Fence_;
    TimePoint Until_;
    std::optional<TimePoint> OutrankedSince_;
  };
  struct Round {
    LeaseRound Number_;
    TimePoint SentAt_;
    std::vector<LeaseClaim> Held_;
    std::vector<LeaseClaim> Claims_;
    std::map<ServiceName, std::set<MemberId>> Votes_;
  };

  explicit LeaseCandidate(CandidateDraft Draft);

  void receive(const MemberId &From, const LeaseAnswer &Got, TimePoint Now,
               Effects &Out);
  void count(Round &Counted, const MemberId &Voter, const LeaseClaim &Claim,
             TimePoint Now, Effects &Out);
  void dropLost(TimePoint Now, Effects &Out);
  void startRound(TimePoint Now, Effects &Out);
  void handOver(TimePoint Now, Effects &Out);
  void updateRanks(TimePoint Now);
  std::size_t groupOf(const ServiceName &Service) const;
  bool isFirst(std::size_t Group) const;
  void send(const MemberId &To, LeaseMessage Message, Effects &Out) const;

  MemberId Self_;
  Random Numbers_;
  MemberRanking Ranking_;
  bool AreRanksOutdated_ = true;
  std::map<std::size_t, Rank> Ranks_;
  std::set<MemberId> Voters_;
  /// Voters whose votes differ from the own view and need the whole list.
  std::set<MemberId> Differing_;
  std::map<ServiceName, TimePoint> ClaimAt_;
  std::map<ServiceName, Lease> Held_;
  /// The greatest fence used for each service in this run.
  std::map<ServiceName, FenceNumber> Used_;
  std::deque<Round> Rounds_;
  LeaseRound LastRound_;
  FenceNumber Highest_;
  TimePoint NextRoundAt_;
  bool HasStarted_ = false;
};

static_assert(DecisionRole<LeaseCandidate>);

} // namespace jaybridge
