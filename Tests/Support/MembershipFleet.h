#pragma once

#include <LibMembership/Membership.h>
#include <Support/Simulation.h>

namespace jaybridge {

/// Peer address of a simulated member. Addresses repeat after 60,000 numbers.
inline Endpoint memberAddressFor(std::size_t Number) {
  auto MemberPort = Port(static_cast<std::uint16_t>(1 + Number % 60'000));
  return Endpoint::create("127.0.0.1", MemberPort).takeValue();
}

/// Record of a simulated member. Failure domains are assigned round-robin;
/// the members 0 to 2 are control members.
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

/// Membership of a simulated member; members 0 and 1 are the seeds.
inline Membership membershipFor(std::size_t Number, std::uint64_t Version = 1) {
  return Membership::create({memberRecordFor(Number, Version),
                             {memberAddressFor(0), memberAddressFor(1)},
                             RandomSeed(1000 * Version + Number)})
      .takeValue();
}

/// Delivers the messages of the members and records their other effects.
struct MembershipRecorder {
  std::map<Endpoint, MemberId> Addresses_;
  /// Pairs of the member that reported a death and the dead member.
  std::vector<std::pair<MemberId, MemberId>> Deaths_;
  std::size_t LeavesFinished_ = 0;

  void operator()(Simulation<Membership> &Sim, const MemberId &From,
                  const Membership::Effect &Emitted) {
    auto Send = [&](const MemberId &To, const MembershipMessage &Message) {
      Sim.send(From, To, FromMember<MembershipMessage>{From, Message});
    };
    std::visit(Overloaded{[&](const SendToMember<MembershipMessage> &Effect) {
                            Send(Effect.To_, Effect.Message_);
                          },
                          [&](const SendToEndpoint &Effect) {
                            if (auto To = Addresses_.find(Effect.To_);
                                To != Addresses_.end())
                              Send(To->second, Effect.Message_);
                          },
                          [&](const MemberChanged &Effect) {
                            if (Effect.Record_.State_ == MemberState::Dead)
                              Deaths_.emplace_back(From, Effect.Record_.Id_);
                          },
                          [&](const LeaveFinished &) { ++LeavesFinished_; }},
               Emitted);
  }
};

/// A simulated fleet of memberships that discover each other from two seeds.
struct MembershipFleet {
  MembershipRecorder Recorder_;
  Simulation<Membership> Simulation_;

  MembershipFleet(std::size_t Count, LinkFaults Faults, RandomSeed Seed)
      : Simulation_(
            [this](auto &Sim, const auto &From, const auto &Emitted) {
              Recorder_(Sim, From, Emitted);
            },
            Faults, Seed) {
    for (std::size_t I = 0; I < Count; ++I) {
      Recorder_.Addresses_.emplace(memberAddressFor(I), memberIdFor(I));
      Simulation_.start(memberIdFor(I), membershipFor(I));
    }
  }
  MembershipFleet(const MembershipFleet &) = delete;
  MembershipFleet &operator=(const MembershipFleet &) = delete;

  /// Number of running members that consider exactly `Live` others live.
  std::size_t countMembersSeeing(std::size_t Live) {
    std::size_t Count = 0;
    for (const MemberId &Id : Simulation_.members())
      Count += Simulation_.role(Id).others().liveCount() == Live ? 1 : 0;
    return Count;
  }
};

} // namespace jaybridge
