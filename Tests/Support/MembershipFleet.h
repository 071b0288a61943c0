#pragma once

#include <LibMembership/Membership.h>
#include <Support/Simulation.h>

namespace jaybridge {

/// Address of a member of a test fleet, distinct for each number.
inline Endpoint memberAddressFor(std::size_t Number) {
  auto Port1 = Port(static_cast<std::uint16_t>(1 + Number % 60'000));
  return Endpoint::create("127.0.0.1", Port1).takeValue();
}

inline MemberRecord memberRecordFor(std::size_t Number,
                                    std::uint64_t Version = 1) {
  const char *Domains[] = {"shah-alam", "petaling-jaya", "klang-utara"};
  return MemberRecord{memberIdFor(Number),
                      memberAddressFor(Number),
                      FailureDomain(Domains[Number % 3]),
                      Number < 3,
                      MemberState::Alive,
                      Incarnation(Version)};
}

/// Members 0 and 1 are the seeds of every fleet.
inline Membership membershipFor(std::size_t Number, std::uint64_t Version = 1) {
  return Membership::create({memberRecordFor(Number, Version),
                             {memberAddressFor(0), memberAddressFor(1)},
                             RandomSeed(1000 * Version + Number)})
      .takeValue();
}

/// Counts what members tell their daemons and passes their messages on.
struct MembershipRecorder {
  std::map<Endpoint, MemberId> Addresses_;
  /// Members declared dead, by whom.
  std::vector<std::pair<MemberId, MemberId>> Deaths_;
  std::size_t LeavesFinished_ = 0;

  void operator()(Simulation<Membership> &Run, const MemberId &From,
                  const Membership::Effect &Given) {
    auto Send = [&](const MemberId &To, const MembershipMessage &Sent) {
      Run.send(From, To, FromMember<MembershipMessage>{From, Sent});
    };
    std::visit(Overloaded{[&](const SendToMember<MembershipMessage> &Each) {
                            Send(Each.To_, Each.Message_);
                          },
                          [&](const SendToEndpoint &Each) {
                            if (auto To = Addresses_.find(Each.To_);
                                To != Addresses_.end())
                              Send(To->second, Each.Message_);
                          },
                          [&](const MemberChanged &Each) {
                            if (Each.Record_.State_ == MemberState::Dead)
                              Deaths_.emplace_back(From, Each.Record_.Id_);
                          },
                          [&](const LeaveFinished &) { ++LeavesFinished_; }},
               Given);
  }
};

/// A fleet of memberships that learns of each other from two seeds.
struct MembershipFleet {
  MembershipRecorder Recorder_;
  Simulation<Membership> Simulation_;

  MembershipFleet(std::size_t Count, LinkFaults Faults, RandomSeed Seed)
      : Simulation_([this](auto &Run, const auto &From,
                           const auto &Given) { Recorder_(Run, From, Given); },
                    Faults, Seed) {
    for (std::size_t I = 0; I < Count; ++I) {
      Recorder_.Addresses_.emplace(memberAddressFor(I), memberIdFor(I));
      Simulation_.start(memberIdFor(I), membershipFor(I));
    }
  }
  MembershipFleet(const MembershipFleet &) = delete;
  MembershipFleet &operator=(const MembershipFleet &) = delete;

  /// Running members that see exactly `Live` others as live.
  std::size_t countMembersSeeing(std::size_t Live) {
    std::size_t Count = 0;
    for (const MemberId &Id : Simulation_.members())
      Count += Simulation_.role(Id).others().liveCount() == Live ? 1 : 0;
    return Count;
  }
};

} // namespace jaybridge
