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

struct LeaseCandidateSettings {
  MemberId Self_;
  /// Must differ in each run of the daemon.
  RandomSeed Seed_;
};

/// Claims and renews leases of services. The members ranked highest among the
/// live ones by rendezvous hashing are the candidates for a service; the first
/// in rank claims its lease in each round, the others less often. The services
/// of a group share a ranking, so that few daemons hold many leases each and
/// renew them with one message.
class LeaseCandidate {
public:
  using Event = std::variant<FromMember<LeaseMessage>, MemberChanged,
                             ServicesChanged, VotersChanged>;
  using Effect = std::variant<SendToMember<LeaseMessage>, LeaseHeld, LeaseLost>;

  static constexpr Duration RenewalInterval = 2s;
  /// Number of members that claim the lease of a service, by rank.
  static constexpr HomeCount CandidateCount{3};
  /// The first in rank claims in each round. A candidate of rank r, where the
  /// first has rank 0, waits 2 r to 3 r times this interval between its claims.
  static constexpr Duration ClaimInterval = 2s;
  /// A holder that is no longer ranked first keeps its lease for this long, so
  /// that short membership changes move no leases.
  static constexpr Duration HandoverDelay = 60s;
  /// Number of groups that the services are divided into. It limits the number
  /// of holders and thereby the messages that a voter receives.
  static constexpr std::size_t GroupCount = 64;
  static constexpr std::size_t MaxServices = 8192;
  static constexpr std::size_t MaxClaimsPerRequest = 128;
  /// Older rounds are dropped: a lease granted by their answers would already
  /// have expired.
  static constexpr std::size_t MaxPendingRounds =
      LeaseDuration / RenewalInterval;

  /// Error when the member id is empty.
  static Result<LeaseCandidate> create(LeaseCandidateSettings Settings);

  void handle(const Event &Received, TimePoint Now,
              std::vector<Effect> &Effects);
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const;

  /// Members that may hold the lease of the service, by rank.
  std::vector<MemberId> candidatesFor(const ServiceName &Service) const;
  /// Whether this daemon holds the lease of the service.
  bool isHolding(const ServiceName &Service, TimePoint Now) const;
  std::size_t heldLeaseCount() const { return HeldLeases_.size(); }

private:
  using Effects = std::vector<Effect>;
  struct Lease {
    FenceNumber Fence_;
    TimePoint Until_;
    /// Since when another member has been ranked first.
    std::optional<TimePoint> OutrankedSince_;
  };
  /// One set of requests to all voters and the votes received for it.
  struct Round {
    LeaseRound Number_;
    TimePoint SentAt_;
    std::vector<LeaseClaim> Held_;
    std::vector<LeaseClaim> Claims_;
    std::map<ServiceName, std::set<MemberId>> Votes_;
  };

  explicit LeaseCandidate(LeaseCandidateSettings Settings);

  void handleAnswer(const MemberId &From, const LeaseAnswer &Answer,
                    TimePoint Now, Effects &Out);
  void countVote(Round &PendingRound, const MemberId &Voter,
                 const LeaseClaim &Claim, TimePoint Now, Effects &Out);
  void dropExpiredLeases(TimePoint Now, Effects &Out);
  void startRound(TimePoint Now, Effects &Out);
  void releaseOutrankedLeases(TimePoint Now, Effects &Out);
  void updateRanks(TimePoint Now);
  std::size_t groupOf(const ServiceName &Service) const;
  bool isRankedFirst(std::size_t Group) const;
  void send(const MemberId &To, LeaseMessage Message, Effects &Out) const;

  MemberId Self_;
  Random Random_;
  MemberRanking Ranking_;
  bool AreRanksOutdated_ = true;
  std::map<std::size_t, Rank> Ranks_;
  std::set<MemberId> Voters_;
  /// Voters whose votes may differ from `HeldLeases_`; they receive the full
  /// list of held leases instead of its digest.
  std::set<MemberId> OutOfSyncVoters_;
  /// Earliest time of the next claim, by listed service.
  std::map<ServiceName, TimePoint> NextClaimAt_;
  std::map<ServiceName, Lease> HeldLeases_;
  /// The greatest fence number of a lease held in this run, by service.
  std::map<ServiceName, FenceNumber> MaxUsedFences_;
  std::deque<Round> PendingRounds_;
  LeaseRound LastRound_;
  FenceNumber HighestFence_;
  TimePoint NextRoundAt_;
  bool HasStarted_ = false;
};

static_assert(DecisionRole<LeaseCandidate>);

} // namespace jaybridge
