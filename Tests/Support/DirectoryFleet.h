#pragma once

#include <LibDirectory/InstanceDirectory.h>
#include <Support/MembershipFleet.h>

namespace jaybridge {

/// Record of a simulated instance; 50 successive numbers share a service.
inline InstanceRecord instanceRecordFor(std::size_t Number,
                                        std::uint64_t Version = 1) {
  return InstanceRecord{
      InstanceId("pengeluar-tiket-" + std::to_string(Number)),
      ServiceName("pengeluar-tiket-" + std::to_string(Number / 50)),
      memberAddressFor(Number),
      memberRecordFor(Number).Domain_,
      SlotCount(4),
      InstanceState::Serving,
      Incarnation(Version)};
}

/// Delivers the messages of the directories and records their other effects.
struct DirectoryRecorder {
  /// Number of load reports that each member received.
  std::map<MemberId, std::size_t> LoadReportCounts_;
  /// Successive confirmation states of each member.
  std::map<MemberId, std::vector<bool>> Confirmations_;
  std::vector<AnnouncementAnswered> Answers_;
  /// Updates that reported an instance as lapsed, over all members.
  std::size_t Lapses_ = 0;
  std::size_t RenewalMessages_ = 0;

  void operator()(Simulation<InstanceDirectory> &Sim, const MemberId &From,
                  const InstanceDirectory::Effect &Emitted) {
    std::visit(
        Overloaded{
            [&](const SendToMember<DirectoryMessage> &Effect) {
              RenewalMessages_ +=
                  std::holds_alternative<LeaseRenewals>(Effect.Message_) ? 1
                                                                         : 0;
              Sim.send(From, Effect.To_,
                       FromMember<DirectoryMessage>{From, Effect.Message_});
            },
            [&](const InstanceUpdated &Effect) {
              Lapses_ += Effect.Record_.State_ == InstanceState::Lapsed ? 1 : 0;
            },
            [&](const AnnouncementAnswered &Effect) {
              Answers_.push_back(Effect);
            },
            [&](const ConfirmationChanged &Effect) {
              Confirmations_[From].push_back(Effect.IsConfirmed_);
            },
            [&](const LoadReportReceived &) { ++LoadReportCounts_[From]; }},
        Emitted);
  }
};

/// A simulated fleet of directories whose members all know each other.
struct DirectoryFleet {
  std::size_t Count_;
  DirectoryRecorder Recorder_;
  Simulation<InstanceDirectory> Simulation_;

  DirectoryFleet(std::size_t Count, LinkFaults Faults, RandomSeed Seed)
      : Count_(Count),
        Simulation_(
            [this](auto &Sim, const auto &From, const auto &Emitted) {
              Recorder_(Sim, From, Emitted);
            },
            Faults, Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      start(I, 1);
  }
  DirectoryFleet(const DirectoryFleet &) = delete;
  DirectoryFleet &operator=(const DirectoryFleet &) = delete;

  /// Starts or restarts a member. Each run has a seed of its own.
  void start(std::size_t Number, std::uint64_t RunNumber) {
    InstanceDirectorySettings Settings{
        memberIdFor(Number), memberRecordFor(Number).Domain_, HomeCount(1),
        RandomSeed(1000 * RunNumber + Number)};
    Simulation_.start(
        memberIdFor(Number),
        InstanceDirectory::create(std::move(Settings)).takeValue());
    for (std::size_t Other = 0; Other < Count_; ++Other)
      Simulation_.inject(memberIdFor(Number),
                         MemberChanged{memberRecordFor(Other)});
  }
  void announce(std::size_t Member, const InstanceRecord &Record) {
    Simulation_.inject(memberIdFor(Member), InstanceAnnounced{Record});
  }
  /// Cuts the links between this member and all others.
  void isolate(std::size_t Member) {
    for (std::size_t Other = 0; Other < Count_; ++Other)
      Simulation_.cutBothWays(memberIdFor(Member), memberIdFor(Other));
  }
  /// Number of daemons whose directory holds the instance in this state.
  std::size_t countDaemonsKnowing(const InstanceId &Id, InstanceState State) {
    std::size_t Count = 0;
    for (const MemberId &Member : Simulation_.members()) {
      const InstanceRecord *Known =
          Simulation_.role(Member).records().find(keyOf(Id));
      Count += Known && Known->State_ == State ? 1 : 0;
    }
    return Count;
  }
};

} // namespace jaybridge
