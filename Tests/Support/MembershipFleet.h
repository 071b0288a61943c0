#pragma once

#include <LibMembership/Membership.h>
#include <Support/Fleet.h>

namespace jaybridge {

/// Address of a member of a test fleet, distinct for each number.
inline Endpoint addressOf(std::size_t Number) {
  auto Port1 = Port(static_cast<std::uint16_t>(1 + Number % 60'000));
  return Endpoint::create("127.0.0.1", Port1).takeValue();
}

inline MemberRecord recordOf(std::size_t Number, std::uint64_t Version = 1) {
  const char *Domains[] = {"shah-alam", "petaling-jaya", "klang-utara"};
  return MemberRecord{memberNumber(Number),
                      addressOf(Number),
                      FailureDomain(Domains[Number % 3]),
                      Number < 3,
                      MemberState::Alive,
                      Incarnation(Version)};
}

/// Members 0 and 1 are the seeds of every fleet.
inline Membership membershipOf(std::size_t Number, std::uint64_t Version = 1) {
  return Membership::create({recordOf(Number, Version),
                             {addressOf(0), addressOf(1)},
                             RandomSeed(1000 * Version + Number)})
      .takeValue();
}

/// Counts what members tell their daemons and passes their messages on.
struct MembershipWatch {
  std::map<Endpoint, MemberId> Addresses_;
  /// Members declared dead, by whom.
  std::vector<std::pair<MemberId, MemberId>> Deaths_;
  std::size_t LeavesFinished_ = 0;

  void operator()(Fleet<Membership> &Run, const MemberId &From,
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
  MembershipWatch Watch_;
  Fleet<Membership> Run_;

  MembershipFleet(std::size_t Count, LinkFaults Faults, RandomSeed Seed)
      : Run_([this](auto &Run, const auto &From,
                    const auto &Given) { Watch_(Run, From, Given); },
             Faults, Seed) {
    for (std::size_t I = 0; I < Count; ++I) {
      Watch_.Addresses_.emplace(addressOf(I), memberNumber(I));
      Run_.start(memberNumber(I), membershipOf(I));
    }
  }
  MembershipFleet(const MembershipFleet &) = delete;
  MembershipFleet &operator=(const MembershipFleet &) = delete;

  /// Running members that see exactly `Live` others as live.
  std::size_t countSeeing(std::size_t Live) {
    std::size_t Count = 0;
    for (const MemberId &Id : Run_.members())
      Count += Run_.role(Id).others().liveCount() == Live ? 1 : 0;
    return Count;
  }
};

} // namespace jaybridge
