#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Result.h>
#include <LibLease/LeaseMessages.h>

#include <map>

namespace jaybridge {

/// One control member's votes on who is the authority for each service (leases:
/// Gray and Cheriton 1989). Votes are kept in memory: after its start the voter
/// abstains for one term, until every vote it may have forgotten has run out.
class LeaseVoter {
public:
  using Event = std::variant<FromMember<LeaseMessage>>;
  using Effect = std::variant<SendToMember<LeaseMessage>>;

  /// Bound of the memory; above twice the services expected in two years.
  static constexpr std::size_t GreatestVoteCount = 8192;

  /// Fence numbers start above `Floor`, which must exceed what the voter
  /// granted in earlier runs: milliseconds since 1970 at its start do so unless
  /// its clock was set back by more than its last run took.
  explicit LeaseVoter(FenceNumber Floor) : Floor_(Floor), Highest_(Floor) {}

  void handle(const Event &Happened, TimePoint Now,
              std::vector<Effect> &Effects);
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const;

  std::size_t voteCount() const { return Votes_.size(); }

private:
  struct Vote {
    MemberId Holder_;
    FenceNumber Fence_;
    TimePoint Until_;
  };

  void answer(const MemberId &From, const LeaseRenewal &Got, TimePoint Now,
              LeaseAnswer &Answer);
  void answer(const MemberId &From, const LeaseRequest &Got, TimePoint Now,
              LeaseAnswer &Answer);
  void release(const MemberId &From, const LeaseRelease &Got);
  bool renew(const MemberId &From, const LeaseClaim &Held, TimePoint Now);
  bool grant(const MemberId &From, const LeaseClaim &Claim, TimePoint Now);
  /// False when the votes are full.
  bool store(const ServiceName &Service, Vote Given);

  std::map<ServiceName, Vote> Votes_;
  /// Services voted for each holder, so that a renewal visits only its own.
  std::map<MemberId, std::vector<ServiceName>> ByHolder_;
  /// Fences of services without a vote must be above this.
  FenceNumber Floor_;
  FenceNumber Highest_;
  std::optional<TimePoint> AbstainUntil_;
};

static_assert(DecisionRole<LeaseVoter>);

} // namespace jaybridge
