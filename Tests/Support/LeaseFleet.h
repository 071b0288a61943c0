#pragma once

#include <LibLease/LeaseCandidate.h>
#include <LibLease/LeaseVoter.h>
#include <Support/MembershipFleet.h>

namespace jaybridge {

/// The lease candidate of a member and, on a control member, its lease voter.
class LeaseMember {
public:
  using Event = LeaseCandidate::Event;
  using Effect = LeaseCandidate::Effect;

  LeaseMember(LeaseCandidate Candidate, std::optional<LeaseVoter> Voter)
      : Candidate_(std::move(Candidate)), Voter_(std::move(Voter)) {}

  void handle(const Event &Received, TimePoint Now,
              std::vector<Effect> &Effects) {
    const auto *Message = std::get_if<FromMember<LeaseMessage>>(&Received);
    if (Message && !std::holds_alternative<LeaseAnswer>(Message->Message_)) {
      std::vector<LeaseVoter::Effect> Answers;
      if (Voter_)
        Voter_->handle(*Message, Now, Answers);
      for (auto &Answer : Answers)
        Effects.emplace_back(std::get<0>(std::move(Answer)));
      return;
    }
    Candidate_.handle(Received, Now, Effects);
  }
  void advance(TimePoint Now, std::vector<Effect> &Effects) {
    std::vector<LeaseVoter::Effect> IgnoredAnswers;
    if (Voter_)
      Voter_->advance(Now, IgnoredAnswers);
    Candidate_.advance(Now, Effects);
  }
  std::optional<TimePoint> nextDeadline() const {
    return Candidate_.nextDeadline();
  }
  const LeaseCandidate &candidate() const { return Candidate_; }

private:
  LeaseCandidate Candidate_;
  std::optional<LeaseVoter> Voter_;
};

/// Delivers the messages and checks that each service has at most one holder at
/// a time and that the fence numbers of successive holders rise.
struct LeaseRecorder {
  /// The last lease of each service.
  std::map<ServiceName, LeaseHeld> LastLeases_;
  std::map<ServiceName, MemberId> Holders_;
  /// Leases granted while another member's lease had not expired.
  std::size_t Overlaps_ = 0;
  std::size_t FenceRegressions_ = 0;
  std::size_t Takeovers_ = 0;
  std::size_t Messages_ = 0;

  void operator()(Simulation<LeaseMember> &Sim, const MemberId &From,
                  const LeaseMember::Effect &Emitted) {
    std::visit(
        Overloaded{[&](const SendToMember<LeaseMessage> &Effect) {
                     ++Messages_;
                     Sim.send(From, Effect.To_,
                              FromMember<LeaseMessage>{From, Effect.Message_});
                   },
                   [&](const LeaseHeld &Effect) {
                     recordLease(From, Effect, Sim.now());
                   },
                   [&](const LeaseLost &Effect) {
                     auto Last = LastLeases_.find(Effect.Service_);
                     if (Last != LastLeases_.end() &&
                         Last->second.Fence_ == Effect.Fence_)
                       Last->second.Until_ = Sim.now();
                   }},
        Emitted);
  }
  void recordLease(const MemberId &By, const LeaseHeld &Held, TimePoint Now) {
    auto Last = LastLeases_.find(Held.Service_);
    if (Last != LastLeases_.end() && Holders_[Held.Service_] != By) {
      ++Takeovers_;
      Overlaps_ += Last->second.Until_ > Now ? 1 : 0;
    }
    if (Last != LastLeases_.end() && Last->second.Fence_ != Held.Fence_)
      FenceRegressions_ += Last->second.Fence_ > Held.Fence_ ? 1 : 0;
    LastLeases_[Held.Service_] = Held;
    Holders_[Held.Service_] = By;
  }
};

/// A simulated fleet of lease candidates; the members 0 to 2 are voters.
struct LeaseFleet {
  static constexpr std::size_t VoterCount = 3;
  std::size_t Count_;
  std::vector<ServiceName> Services_;
  LeaseRecorder Recorder_;
  Simulation<LeaseMember> Simulation_;

  LeaseFleet(std::size_t Count, std::size_t Services, LinkFaults Faults,
             RandomSeed Seed)
      : Count_(Count),
        Simulation_(
            [this](auto &Sim, const auto &From, const auto &Emitted) {
              Recorder_(Sim, From, Emitted);
            },
            Faults, Seed) {
    for (std::size_t I = 0; I < Services; ++I)
      Services_.emplace_back("service-" + std::to_string(I));
    for (std::size_t I = 0; I < Count; ++I)
      start(I, 1);
  }
  LeaseFleet(const LeaseFleet &) = delete;
  LeaseFleet &operator=(const LeaseFleet &) = delete;

  /// Starts or restarts a member. Each run has a seed of its own.
  void start(std::size_t Number, std::uint64_t RunNumber) {
    MemberId Id = memberIdFor(Number);
    std::optional<LeaseVoter> Voter;
    if (Number < VoterCount)
      Voter.emplace(FenceNumber(static_cast<std::uint64_t>(
          Simulation_.now().time_since_epoch() / 1ms)));
    auto Candidate =
        LeaseCandidate::create({Id, RandomSeed(1000 * RunNumber + Number)});
    Simulation_.start(Id, LeaseMember(Candidate.takeValue(), std::move(Voter)));
    for (std::size_t Other = 0; Other < Count_; ++Other)
      Simulation_.inject(Id, MemberChanged{memberRecordFor(Other)});
    VotersChanged Voters;
    for (std::size_t I = 0; I < VoterCount; ++I)
      Voters.Voters_.push_back(memberIdFor(I));
    Simulation_.inject(Id, Voters);
    Simulation_.inject(Id, ServicesChanged{Services_});
  }
  /// Reports to every running member that a member died or returned.
  void setMemberAlive(std::size_t Number, bool IsAlive) {
    MemberRecord Record = memberRecordFor(Number);
    Record.State_ = IsAlive ? MemberState::Alive : MemberState::Dead;
    for (const MemberId &Id : Simulation_.members())
      Simulation_.inject(Id, MemberChanged{Record});
  }
  /// Number of leases held at the current simulated time.
  std::size_t countHeldLeases() {
    std::size_t Held = 0;
    for (const MemberId &Id : Simulation_.members())
      for (const ServiceName &Service : Services_)
        Held += Simulation_.role(Id).candidate().isHolding(Service,
                                                           Simulation_.now())
                    ? 1
                    : 0;
    return Held;
  }
};

} // namespace jaybridge
