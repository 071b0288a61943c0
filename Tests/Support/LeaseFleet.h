#pragma once

#include <LibLease/LeaseCandidate.h>
#include <LibLease/LeaseVoter.h>
#include <Support/MembershipFleet.h>

namespace jaybridge {

/// A candidate, and a voter beside it on a control member.
class LeaseMember {
public:
  using Event = LeaseCandidate::Event;
  using Effect = LeaseCandidate::Effect;

  LeaseMember(LeaseCandidate Seeker, std::optional<LeaseVoter> Voting)
      : Seeker_(std::move(Seeker)), Voting_(std::move(Voting)) {}

  void handle(const Event &Happened, TimePoint Now,
              std::vector<Effect> &Effects) {
    const auto *Got = std::get_if<FromMember<LeaseMessage>>(&Happened);
    if (Got && !std::holds_alternative<LeaseAnswer>(Got->Message_)) {
      std::vector<LeaseVoter::Effect> Answers;
      if (Voting_)
        Voting_->handle(*Got, Now, Answers);
      for (auto &Each : Answers)
        Effects.emplace_back(std::get<0>(std::move(Each)));
      return;
    }
    Seeker_.handle(Happened, Now, Effects);
  }
  void advance(TimePoint Now, std::vector<Effect> &Effects) {
    std::vector<LeaseVoter::Effect> None;
    if (Voting_)
      Voting_->advance(Now, None);
    Seeker_.advance(Now, Effects);
  }
  std::optional<TimePoint> nextDeadline() const {
    return Seeker_.nextDeadline();
  }
  const LeaseCandidate &candidate() const { return Seeker_; }

private:
  LeaseCandidate Seeker_;
  std::optional<LeaseVoter> Voting_;
};

/// Checks that each service has at most one holder and that fence numbers of
/// successive holders rise.
struct LeaseRecorder {
  std::map<ServiceName, LeaseHeld> Last_;
  std::map<ServiceName, MemberId> Holder_;
  std::size_t Overlaps_ = 0;
  std::size_t FenceRegressions_ = 0;
  std::size_t Takeovers_ = 0;
  std::size_t Messages_ = 0;

  void operator()(Simulation<LeaseMember> &Run, const MemberId &From,
                  const LeaseMember::Effect &Given) {
    std::visit(
        Overloaded{[&](const SendToMember<LeaseMessage> &Each) {
                     ++Messages_;
                     Run.send(From, Each.To_,
                              FromMember<LeaseMessage>{From, Each.Message_});
                   },
                   [&](const LeaseHeld &Each) { hold(From, Each, Run.now()); },
                   [&](const LeaseLost &Each) {
                     auto Known = Last_.find(Each.Service_);
                     if (Known != Last_.end() &&
                         Known->second.Fence_ == Each.Fence_)
                       Known->second.Until_ = Run.now();
                   }},
        Given);
  }
  void hold(const MemberId &By, const LeaseHeld &Held, TimePoint Now) {
    auto Known = Last_.find(Held.Service_);
    if (Known != Last_.end() && Holder_[Held.Service_] != By) {
      ++Takeovers_;
      Overlaps_ += Known->second.Until_ > Now ? 1 : 0;
    }
    if (Known != Last_.end() && Known->second.Fence_ != Held.Fence_)
      FenceRegressions_ += Known->second.Fence_ > Held.Fence_ ? 1 : 0;
    Last_[Held.Service_] = Held;
    Holder_[Held.Service_] = By;
  }
};

/// A fleet whose members 0 to 2 vote.
struct LeaseFleet {
  static constexpr std::size_t VoterCount = 3;
  std::size_t Count_;
  std::vector<ServiceName> Services_;
  LeaseRecorder Recorder_;
  Simulation<LeaseMember> Simulation_;

  LeaseFleet(std::size_t Count, std::size_t Services, LinkFaults Faults,
             RandomSeed Seed)
      : Count_(Count),
        Simulation_([this](auto &Run, const auto &From,
                           const auto &Given) { Recorder_(Run, From, Given); },
                    Faults, Seed) {
    for (std::size_t I = 0; I < Services; ++I)
      Services_.emplace_back("service-" + std::to_string(I));
    for (std::size_t I = 0; I < Count; ++I)
      start(I, 1);
  }
  LeaseFleet(const LeaseFleet &) = delete;
  LeaseFleet &operator=(const LeaseFleet &) = delete;

  void start(std::size_t Number, std::uint64_t Run) {
    MemberId Id = memberIdFor(Number);
    std::optional<LeaseVoter> Voting;
    if (Number < VoterCount)
      Voting.emplace(FenceNumber(static_cast<std::uint64_t>(
          Simulation_.now().time_since_epoch() / 1ms)));
    auto Seeker = LeaseCandidate::create({Id, RandomSeed(1000 * Run + Number)});
    Simulation_.start(Id, LeaseMember(Seeker.takeValue(), std::move(Voting)));
    for (std::size_t Other = 0; Other < Count_; ++Other)
      Simulation_.inject(Id, MemberChanged{memberRecordFor(Other)});
    VotersChanged Voters;
    for (std::size_t I = 0; I < VoterCount; ++I)
      Voters.Voters_.push_back(memberIdFor(I));
    Simulation_.inject(Id, Voters);
    Simulation_.inject(Id, ServicesListed{Services_});
  }
  /// Tells every running member that one died or returned.
  void setMemberAlive(std::size_t Number, bool IsAlive) {
    MemberRecord Record = memberRecordFor(Number);
    Record.State_ = IsAlive ? MemberState::Alive : MemberState::Dead;
    for (const MemberId &Id : Simulation_.members())
      Simulation_.inject(Id, MemberChanged{Record});
  }
  std::size_t countHeldLeases() {
    std::size_t Held = 0;
    for (const MemberId &Id : Simulation_.members())
      for (const ServiceName &Each : Services_)
        Held +=
            Simulation_.role(Id).candidate().isHolding(Each, Simulation_.now())
                ? 1
                : 0;
    return Held;
  }
};

} // namespace jaybridge
