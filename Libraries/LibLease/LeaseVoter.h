#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Result.h>
#include <LibLease/LeaseMessages.h>

#include <map>

namespace jaybridge {

/// Votes of one control member on the authority for each service. A majority of
/// votes grants a lease (Gray and Cheriton, "Leases", 1989). Votes are kept in
/// memory only: after a start the voter abstains for one `VoteDuration`, until
/// every vote that it may have given before has expired.
class LeaseVoter {
public:
  using Event = std::variant<FromMember<LeaseMessage>>;
  using Effect = std::variant<SendToMember<LeaseMessage>>;

  /// Limits the memory; more than twice the number of services expected in two
  /// years.
  static constexpr std::size_t MaxVotes = 8192;

  /// Fence numbers start above `Floor`, which must exceed all numbers that the
  /// voter granted in earlier runs. The start time in milliseconds since 1970
  /// does so unless the clock was set back by more than the duration of the
  /// last run.
  explicit LeaseVoter(FenceNumber Floor)
      : FenceFloor_(Floor), HighestFence_(Floor) {}

  void handle(const Event &Received, TimePoint Now,
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

  void answer(const MemberId &From, const LeaseRenewal &Renewal, TimePoint Now,
              LeaseAnswer &Answer);
  void answer(const MemberId &From, const LeaseRequest &Request, TimePoint Now,
              LeaseAnswer &Answer);
  void release(const MemberId &From, const LeaseRelease &Release);
  bool renew(const MemberId &From, const LeaseClaim &Held, TimePoint Now);
  bool grant(const MemberId &From, const LeaseClaim &Claim, TimePoint Now);
  /// Returns false when the voter has reached `MaxVotes`.
  bool store(const ServiceName &Service, Vote NewVote);

  std::map<ServiceName, Vote> Votes_;
  /// Services whose vote went to a holder, so that a renewal visits only these.
  std::map<MemberId, std::vector<ServiceName>> ServicesByHolder_;
  /// Fence numbers claimed for services without a vote must exceed this.
  FenceNumber FenceFloor_;
  FenceNumber HighestFence_;
  std::optional<TimePoint> AbstainUntil_;
};

static_assert(DecisionRole<LeaseVoter>);

} // namespace jaybridge
