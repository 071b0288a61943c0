#pragma once

#include <LibDirectory/ConfigurationDistributor.h>
#include <Support/MembershipFleet.h>

namespace jaybridge {

/// Delivers the messages and checks that the versions in force rise: by one
/// with an entry, by any number with a snapshot.
struct DistributionRecorder {
  std::map<MemberId, ConfigurationVersion> VersionsInForce_;
  /// Versions that came into force out of order.
  std::size_t Faults_ = 0;
  std::size_t SnapshotsInstalled_ = 0;
  /// Members that reported that their configuration is current.
  std::set<MemberId> CurrentMembers_;

  void operator()(Simulation<ConfigurationDistributor> &Sim,
                  const MemberId &From,
                  const ConfigurationDistributor::Effect &Emitted) {
    auto SetInForce = [&](ConfigurationVersion Version, bool IsSnapshot) {
      bool IsNext = Version == VersionsInForce_[From].next();
      Faults_ +=
          Version <= VersionsInForce_[From] || (!IsNext && !IsSnapshot) ? 1 : 0;
      VersionsInForce_[From] = Version;
    };
    std::visit(
        Overloaded{
            [&](const SendToMember<DistributionMessage> &Effect) {
              Sim.send(From, Effect.To_,
                       FromMember<DistributionMessage>{From, Effect.Message_});
            },
            [&](const EntryApplied &Effect) {
              SetInForce(Effect.Version_, false);
            },
            [&](const SnapshotApplied &Effect) {
              ++SnapshotsInstalled_;
              SetInForce(Effect.Version_, true);
            },
            [&](const SnapshotNeeded &) {
              Sim.inject(From,
                         SnapshotProvided{VersionsInForce_[From],
                                          snapshotAt(VersionsInForce_[From])});
            },
            [&](const ConfigurationUpToDate &) {
              CurrentMembers_.insert(From);
            }},
        Emitted);
  }
  /// Snapshot of 100 kB, large next to the entries.
  static ConfigurationBytes snapshotAt(ConfigurationVersion Version) {
    return ConfigurationBytes(std::string(100'000, 's') +
                              std::to_string(Version.value()));
  }
};

/// A simulated fleet that distributes configuration versions. All members know
/// each other; member 0 commits.
struct DistributionFleet {
  std::size_t Count_;
  DistributionRecorder Recorder_;
  Simulation<ConfigurationDistributor> Simulation_;

  DistributionFleet(std::size_t Count, LinkFaults Faults, RandomSeed Seed)
      : Count_(Count),
        Simulation_(
            [this](auto &Sim, const auto &From, const auto &Emitted) {
              Recorder_(Sim, From, Emitted);
            },
            Faults, Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      start(I, 1);
  }
  DistributionFleet(const DistributionFleet &) = delete;
  DistributionFleet &operator=(const DistributionFleet &) = delete;

  /// Starts or restarts a member. Each run has a seed of its own.
  void start(std::size_t Number, std::uint64_t RunNumber) {
    MemberId Id = memberIdFor(Number);
    Recorder_.VersionsInForce_.erase(Id);
    Recorder_.CurrentMembers_.erase(Id);
    Simulation_.start(Id, ConfigurationDistributor::create(
                              {Id, memberRecordFor(Number).Domain_,
                               RandomSeed(1000 * RunNumber + Number)})
                              .takeValue());
    for (std::size_t Other = 0; Other < Count_; ++Other)
      Simulation_.inject(Id, MemberChanged{memberRecordFor(Other)});
  }
  void commit(std::uint64_t Version) {
    Simulation_.inject(
        memberIdFor(0),
        EntryCommitted{ConfigurationVersion(Version),
                       ConfigurationBytes(std::string(200, 'e'))});
  }
  /// Number of members at which this version is in force.
  std::size_t countMembersAt(std::uint64_t Version) {
    std::size_t Count = 0;
    for (const MemberId &Id : Simulation_.members())
      Count += Simulation_.role(Id).currentVersion().value() == Version ? 1 : 0;
    return Count;
  }
};

} // namespace jaybridge
